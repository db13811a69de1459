"""Coordination of many processes as a library: membership, replicated state, claims.

Opens no socket, starts no task for membership, and uses only the clocks and random sources that are
passed in. Owns one process's view of the others; relies on the interfaces :mod:`tinrudder.peers`
and :mod:`tinrudder.timers`. Used by the loopback node and by embedders (docs/EMBEDDING.md), but not
by the gateway.
"""
