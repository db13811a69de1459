"""Reads from the kernel how many bytes the other side of a connection has acknowledged.

Owns no state; queries the kernel (Linux) on each call.
"""

from __future__ import annotations

import asyncio
import socket
import struct

_BYTES_ACKNOWLEDGED = struct.Struct("@Q")
BYTES_ACKNOWLEDGED_OFFSET = 120
"""Byte offset of ``tcpi_bytes_acked`` in the kernel's ``struct tcp_info``: after 8 bytes, 24 words
and two 64-bit rates (``linux/tcp.h``)."""
TCP_INFO_BYTES = BYTES_ACKNOWLEDGED_OFFSET + _BYTES_ACKNOWLEDGED.size


def acknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the other side has acknowledged; 0 if unknown.

    The socket accepts more from the process only when a third of its buffer is free: at 1 KB a
    second that alone shows no progress for half a minute.
    """
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return 0
    try:
        info = tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (OSError, AttributeError):
        # The socket was closed meanwhile, or is an in-memory socket without TCP_INFO.
        return 0
    if len(info) < TCP_INFO_BYTES:
        return 0
    (acknowledged,) = _BYTES_ACKNOWLEDGED.unpack_from(info, BYTES_ACKNOWLEDGED_OFFSET)
    return int(acknowledged)
