"""The loopback program, ``tinrudder serve``: JSON queries, resources and operations on every node.

Owns the node's wiring and lifecycle (``node.py`` and the ``node_*`` modules), its settings and its
metrics. Relies on :mod:`tinrudder.cluster` for coordination. The gateway neither imports it nor
is imported by it.
"""
