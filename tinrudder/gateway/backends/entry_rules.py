"""Validates the fields of a back end's entry, whichever client wrote it.

Owns no state. Adapters call it on each decoded entry; a violated rule raises an error that names
the field and the rule.
"""

from __future__ import annotations

import socket

from tinrudder.gateway.model.configuration import BackendEntry

MAX_ENTRY_BYTES = 65_536
"""Largest entry, bytes: two hundred times the usual size. Gateways send each other hundreds of
entries in one message."""
MAX_SLOTS = 10_000
"""Largest number of slots of one back end: far more requests than a machine processes at once.
Replicas are selected by free slots, so one absurd value would attract every call."""
MAX_COLD_S = 86_400.0
"""Longest cold time of a back end, seconds: a day. A cold back end gets few calls."""
STARTED_LIMIT_MS = 2**53
"""Exclusive upper bound of start times, ms since the epoch: not every JSON encoder keeps larger
integers exact."""
PORTS = range(1, 65_536)


def check_entry(entry: BackendEntry, length: int) -> None:
    """Reject an entry whose fields have the right types but unusable values.

    The id becomes a header of every call, so it must be visible ASCII. The host must be an IP
    address: a name would be resolved for every connection, and some names make the resolver raise
    errors where the connection is opened.

    :param length: size of the encoded entry, bytes.
    :raises ValueError: the message names the field.
    """
    if length > MAX_ENTRY_BYTES:
        raise ValueError(f"entry: {length} bytes, at most {MAX_ENTRY_BYTES} are accepted")
    if not _is_visible_ascii(entry.backend_id):
        raise ValueError("id: must be visible ASCII")
    if not entry.service:
        raise ValueError("service: must not be empty")
    if entry.port not in PORTS:
        raise ValueError(f"address: invalid port {entry.port}")
    if not _is_ip_address(entry.host):
        raise ValueError("address: must be an IP address")
    if not 0 < entry.slots <= MAX_SLOTS:
        raise ValueError(f"slots: must be 1 to {MAX_SLOTS}")
    if not 0 <= entry.cold_left_s <= MAX_COLD_S:
        raise ValueError(f"cold time: must be at most {MAX_COLD_S} s")
    if not 0 <= entry.started_ms < STARTED_LIMIT_MS:
        raise ValueError(f"start: must be below {STARTED_LIMIT_MS} ms")


def _is_visible_ascii(text: str) -> bool:
    """Whether a text is a valid header value without spaces."""
    return bool(text) and text.isascii() and text.isprintable() and " " not in text


def _is_ip_address(host: str) -> bool:
    """Whether a connection to a host needs no name resolution.

    ``inet_pton`` takes 0.12 us and Python's ``ipaddress`` 2.5 us; hundreds of entries are read at a
    start.
    """
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except (OSError, ValueError):
            continue
        return True
    return False
