"""The ``tinrudder`` command, and the entry points of gateway and node processes.

``gateway_process`` is the entry point on production machines; the ``gateway`` and ``serve``
subcommands run a gateway and a node; ``story`` reads gateway logs.  ``node_commands`` contains the
commands that talk to a running node.
"""
