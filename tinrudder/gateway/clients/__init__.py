"""Connections from clients: whole requests in, answers out, and the memory held for them.

Owns client sockets and the account of bytes held; hands each request to
:mod:`tinrudder.gateway.requests`.
"""
