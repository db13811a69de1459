"""The query path: entry, relay, coordinator, plan, fan-out, merge and coverage.

Owns a query from its arrival to its single outcome; the policies it applies are in
:mod:`tinrudder.node.decisions`.
"""
