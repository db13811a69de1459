"""The loopback program, ``tinrudder serve``: JSON queries, resources and operations on every node.

Owns the node's wiring and lifecycle (``node.py`` and the ``node_*`` modules), its settings and its
metrics. Uses :mod:`tinrudder.cluster` for coordination. This package and the gateway do not import
each other.
"""
