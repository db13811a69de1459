"""The way of a query: entry, relay, coordinator, plan, fan-out, merge and coverage.

Owns a query from its arrival to its one outcome; the decisions on the way are in
:mod:`tinrudder.node.decisions`.
"""
