"""Coordination of many processes as a library: membership, replicated state, claims.

Opens no socket, starts no task for membership, reads no clock and draws no random number that was
not passed in. Owns what one process believes of the others; relies on the interfaces
:mod:`tinrudder.peers` and :mod:`tinrudder.timers`. Used by the loopback node and by embedders
(docs/EMBEDDING.md); the gateway does without it.
"""
