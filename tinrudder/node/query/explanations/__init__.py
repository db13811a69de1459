"""Explanations of finished queries: recorded where a query ran, looked up from any node.

Owns the records of the queries that this node ran or received.
"""
