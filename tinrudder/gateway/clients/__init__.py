"""Client connections: parsed requests in, answers out, and the memory held for both.

Owns client sockets and the account of bytes held; passes each request to
:mod:`tinrudder.gateway.requests`.
"""
