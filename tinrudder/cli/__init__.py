"""The ``tinrudder`` command, and the entries of both programs' processes.

``gateway_process`` is what the users' machines run; ``gateway`` and ``serve`` start one process of
each program, ``story`` reads a gateway's logs. Commands for a running node are ``node_commands``.
"""
