"""Operator commands for nodes run by ``tinrudder serve``, one module per command."""
