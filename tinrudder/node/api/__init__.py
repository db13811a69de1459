"""HTTP applications for callers, operations, metrics and health of a node.

Translates requests into queries and outcomes into answers; decides nothing about back ends.
"""
