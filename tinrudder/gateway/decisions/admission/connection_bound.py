"""How many client connections may be open?

Covers clients that open connections and keep them: a process without a free descriptor can open
none to a back end, the store or a peer, and cannot answer whether it is ready.

Inputs: the descriptors that the process may have open.

Answer: the client connections that may be open at once. One more closes the oldest idle one, or is
closed itself if none is idle.

Owns: nothing; gateway/clients/connection_limit.py counts the connections.

Shown by: metrics ``tinrudder_gateway_connections_evicted`` and
``tinrudder_gateway_connections_refused``.

When an input is missing or old: without a known limit on descriptors there is no bound.
"""

from __future__ import annotations

import math

RESERVED_SHARE = 0.25
"""Fraction of the descriptors kept for back ends, the store, peers and readiness."""
MIN_RESERVED = 64
"""Smallest number of descriptors kept for them: a connection to each back end of a scatter."""
MIN_CLIENTS = 16
"""Smallest bound: a gateway that takes no clients is useless."""


def max_client_connections(descriptors: float) -> float:
    """Return how many client connections may be open.

    >>> max_client_connections(4100), max_client_connections(200), max_client_connections(math.inf)
    (3075.0, 136, inf)
    """
    if math.isinf(descriptors):
        return math.inf
    return max(MIN_CLIENTS, descriptors - max(MIN_RESERVED, descriptors * RESERVED_SHARE))
