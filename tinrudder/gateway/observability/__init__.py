"""Structured logs and metrics of a gateway, read from its other components at each use."""
