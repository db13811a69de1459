"""Messages between the hollow measurement and its workers, one JSON object a line."""

from __future__ import annotations

import msgspec


class HollowAddress(msgspec.Struct, frozen=True):
    """Where a hollow node listens."""

    name: str
    host: str
    port: int


class Start(msgspec.Struct, frozen=True, tag=True):
    """Start all nodes; each may contact any of these."""

    listed: tuple[HollowAddress, ...]


class Kill(msgspec.Struct, frozen=True, tag=True):
    """Let some nodes fall silent; every worker is told, whoever runs them."""

    names: tuple[str, ...]


class Offer(msgspec.Struct, frozen=True, tag=True):
    """Give one node a new revision of the configuration."""

    name: str
    revision: int


class Publish(msgspec.Struct, frozen=True, tag=True):
    """Let one node say that a back end is leaving."""

    name: str
    backend: str


class Ask(msgspec.Struct, frozen=True, tag=True):
    """Ask for the worker's state.

    :param revision: counted are nodes that enforce it and that know it enforced everywhere.
    :param live: counted are nodes that hold exactly this many members.
    """

    revision: int
    live: int
    backend: str


class Stop(msgspec.Struct, frozen=True, tag=True):
    """End the process."""


Command = Start | Kill | Offer | Publish | Ask | Stop


class Opened(msgspec.Struct, frozen=True, tag=True):
    """Where the worker's nodes listen."""

    addresses: tuple[HollowAddress, ...]


class State(msgspec.Struct, frozen=True, tag=True):
    """The worker's state, summed over its running nodes.

    :param agreed: nodes that hold exactly the running ones; :param avoiding: nodes that would
        give no new work to a killed one.
    :param memory_bytes: resident memory of the process.
    :param empty_memory_bytes: the same before the first node started.
    """

    nodes: int
    processor_s: float
    memory_bytes: int
    empty_memory_bytes: int
    datagrams: int
    datagram_bytes: int
    request_bytes: int
    agreed: int
    avoiding: int
    enforcing: int
    know_enforced: int
    heard: int
    false_deaths: int
    false_suspicions: int
    oversized: int


Reply = Opened | State
