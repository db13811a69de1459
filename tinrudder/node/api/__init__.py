"""HTTP applications of a node: queries, operations, resources, metrics and health.

They translate requests into queries and outcomes into responses.  The query core selects
back ends.
"""
