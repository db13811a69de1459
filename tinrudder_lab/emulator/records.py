"""Records of what back ends, clients and fault injection did, for the checks of a run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IssuedAnswer:
    """A complete, valid answer that a back end signed."""

    request_id: str
    service: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a back end.

    :param ran: whether the back end accepted it for execution.
    :param tenant: value of the tenant header; empty if there was none.
    :param credentials: whether it carried the client's ``Authorization`` header.
    :param started_ms: when the back end's process started, Unix milliseconds; 0: unknown.
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
    body: bytes = b""

    @property
    def incarnation(self) -> str:
        """Return the id of the back end's incarnation."""
        return incarnation_of(self.backend_id, self.started_ms)


def incarnation_of(backend_id: str, started_ms: int) -> str:
    """Return the id of one incarnation of a back end, which may restart under its id."""
    return f"{backend_id}@{started_ms}" if started_ms else backend_id


@dataclass(frozen=True, slots=True)
class SentRequest:
    """When and where a client sent a request, and with which API key (empty: none).

    :param host: address of the gateway that it was sent to.
    """

    key: str
    at: float
    host: str = ""


@dataclass(slots=True)
class KeySpan:
    """A span in which a key was valid for a tenant.

    It begins with the write of the first configuration that has the key for this tenant and ends
    with the write of the first one that does not.
    """

    tenant: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class ClientResult:
    """The answer that a client got; status 0 if there was none.

    :param patience_s: time after which the client would have given up.
    """

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
    disconnected_early: bool = False
    patience_s: float = float("inf")


@dataclass(slots=True)
class Disturbance:
    """A span in which a gateway's process was killed, stopped, paused or starting."""

    host: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class CrashedBackend:
    """A back end that crashed while running a request which crashes every back end.

    :param target: target of the request, shared by all its repeats from one client.
    """

    at: float
    backend_id: str
    request_id: str
    target: str


@dataclass(frozen=True, slots=True)
class ContractViolation:
    """A violation of a gateway guarantee in a run, with the evidence."""

    promise: str
    what: str


@dataclass(slots=True)
class EvacuatedZone:
    """A span in which a zone was evacuated, so its back ends must get no requests."""

    zone: str
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class UnreadableSpan:
    """A span in which a back end's entry in the store was not readable."""

    backend_id: str
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class StoreOutage:
    """A span in which no gateway could learn of changes from the store.

    :param until: when the store served again and every watch that it had lost had timed out.
    """

    since: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class ColdSpan:
    """A span in which a cold back end accepts only few requests a second."""

    backend_id: str
    since: float
    until: float
