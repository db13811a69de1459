"""What back ends, clients and the run itself note, for the checks of a gateway's promises."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IssuedAnswer:
    """A whole, good answer that a back end signed."""

    request_id: str
    service: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a back end.

    :param ran: the back end began to work on it.
    :param tenant: on whose behalf it was asked, as it was told; empty: nobody's.
    :param credentials: a client's key came with it.
    :param started_ms: when the back end's process started, Unix milliseconds.
    """

    at: float
    request_id: str
    service: str
    backend_id: str
    target: str
    deadline_ms: int | None
    ran: bool
    tenant: str = ""
    credentials: bool = False
    started_ms: int = 0

    @property
    def life(self) -> str:
        """Return what names this start of the back end."""
        return life_of(self.backend_id, self.started_ms)


def life_of(backend_id: str, started_ms: int) -> str:
    """Return what names one start of a back end that may keep its id."""
    return f"{backend_id}@{started_ms}" if started_ms else backend_id


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as its client sent it; ``key`` is empty for none.

    :param host: the address of the gateway that it was sent to.
    """

    key: str
    at: float
    host: str = ""


@dataclass(slots=True)
class HeldKey:
    """A key of a tenant, from a configuration's acknowledgement to that of one without it."""

    tenant: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class ClientResult:
    """What a client got; status 0 for none."""

    request_id: str
    target: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict[str, str]
    body: bytes
    repeatable: bool = True
    services: tuple[str, ...] = ()
    top_records: int = 0
    minimum_share: float = 0.0
    gone: bool = False


@dataclass(slots=True)
class Disturbance:
    """A time in which a gateway's process was killed, stopped, paused or starting."""

    host: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class EndedBackend:
    """A back end that ended under a request which ends whatever runs it.

    :param target: what such requests of one client have in common.
    """

    at: float
    backend_id: str
    request_id: str
    target: str


@dataclass(frozen=True, slots=True)
class BrokenPromise:
    """A promise that a run broke, with what shows it."""

    promise: str
    what: str


@dataclass(slots=True)
class EvacuatedZone:
    """A zone whose back ends were to get nothing between two moments."""

    zone: str
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class UnreadableSpan:
    """A time in which a back end's entry could not be read."""

    backend_id: str
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class StoreOutage:
    """A time in which no gateway could learn anything from the store.

    :param until: when it served again and every watch that it had lost was over.
    """

    since: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class ColdSpan:
    """A time in which a back end bears few requests a second."""

    backend_id: str
    since: float
    until: float
