"""Loopback addresses of one soak, so that several can run on one machine.

Owns the reservation: a socket bound to an address of the network, released with the soak.
"""

from __future__ import annotations

import random
import socket

LOOPBACK = 127
NETWORKS = range(2, 255)
RESERVED_PORT = 9
"""Port of the socket that reserves a network; nothing of a site listens on it."""


class NoFreeNetworkError(Exception):
    """Every loopback network is in use."""


class LoopbackNetwork:
    """The addresses ``127.NETWORK.0.0`` to ``127.NETWORK.255.255``, while reserved."""

    def __init__(self, number: int) -> None:
        """Reserve a network.

        :raises OSError: another site uses it.
        """
        self.number = number
        self._reservation = socket.socket()
        try:
            self._reservation.bind((self.host(0, 0), RESERVED_PORT))
        except OSError:
            self._reservation.close()
            raise

    def host(self, block: int, number: int) -> str:
        """Return an address; blocks are a third octet, hosts beyond 254 take the next ones."""
        subnet, host = divmod(number, 254)
        return f"{LOOPBACK}.{self.number}.{block + subnet}.{host + 1}"

    def host_beside(self, host: str, block: int, other_block: int) -> str:
        """Return the address in another block that corresponds to an address in ``block``."""
        *network, subnet, last = host.split(".")
        return ".".join((*network, str(int(subnet) - block + other_block), last))

    def release(self) -> None:
        """Let another site use the network."""
        self._reservation.close()


def reserve_network() -> LoopbackNetwork:
    """Reserve a random network that no other site uses.

    :raises NoFreeNetworkError: all are in use.
    """
    for number in random.sample(NETWORKS, len(NETWORKS)):
        try:
            return LoopbackNetwork(number)
        except OSError:
            continue
    raise NoFreeNetworkError(f"all of {LOOPBACK}.{NETWORKS.start}.0.0 and above are in use")
