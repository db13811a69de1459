"""How much of what was written to a connection the other side has taken.

Owns no state; asks the kernel (Linux) at each call.
"""

from __future__ import annotations

import asyncio
import socket
import struct

_BYTES_ACKNOWLEDGED = struct.Struct("@Q")
BYTES_ACKNOWLEDGED_AT = 120
"""Where ``tcpi_bytes_acked`` stands in the kernel's ``struct tcp_info``: behind 8 bytes, 24 words
and two paces (``linux/tcp.h``)."""
TCP_INFO_BYTES = BYTES_ACKNOWLEDGED_AT + _BYTES_ACKNOWLEDGED.size


def acknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the other side has acknowledged; 0 where that is not known.

    A socket takes more from the process only when a third of its buffer is free: at 1 KB a second
    that alone shows nothing for half a minute.
    """
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return 0
    try:
        info = tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (OSError, AttributeError):
        # Closed meanwhile, or a socket in memory, which has no such figure.
        return 0
    if len(info) < TCP_INFO_BYTES:
        return 0
    (taken,) = _BYTES_ACKNOWLEDGED.unpack_from(info, BYTES_ACKNOWLEDGED_AT)
    return int(taken)
