"""Records what was sent, answered and run, and writes it to a file in the order of time."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path


@dataclass
class Sent:
    """One client request: a single try with an id of its own."""

    request_id: str
    at: float
    gateway: str
    note: str = ""
    status: int | None = None
    answered_at: float | None = None


@dataclass
class Arrival:
    """One request that reached a back end; ``ran`` tells whether the back end began to work."""

    request_id: str
    at: float
    backend: str
    ran: bool
    tenant: str | None
    note: str = ""


@dataclass
class Record:
    """Everything that clients, back ends and the operator have seen."""

    began_at: float = field(default_factory=time.monotonic)
    sent: list[Sent] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    lines: list[tuple[float, str]] = field(default_factory=list)

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self.began_at

    def note(self, text: str) -> None:
        """Record an action of the test, a process or the operator."""
        self.lines.append((self.now(), text))

    def note_sent(self, request_id: str, gateway: str, note: str = "") -> Sent:
        """Record a request that is being sent."""
        one = Sent(request_id, self.now(), gateway, note)
        self.sent.append(one)
        return one

    def note_answered(self, one: Sent, status: int | None) -> None:
        """Record the end of a request; ``None``: its connection ended without an answer."""
        one.status = status
        one.answered_at = self.now()

    def note_arrival(
        self, request_id: str, backend: str, *, ran: bool, tenant: str | None, note: str = ""
    ) -> None:
        """Record a request at a back end."""
        self.arrivals.append(Arrival(request_id, self.now(), backend, ran, tenant, note))

    def write(self, path: Path) -> None:
        """Write the record."""
        lines = [(at, f"-- {text}") for at, text in self.lines]
        for one in self.sent:
            lines.append((one.at, f"sent {one.request_id} to {one.gateway} {one.note}".rstrip()))
            if one.answered_at is not None:
                status = "connection ended" if one.status is None else str(one.status)
                lines.append((one.answered_at, f"answered {one.request_id} {status}"))
        for run in self.arrivals:
            verb = "ran" if run.ran else "rejected"
            tenant = "" if run.tenant is None else f" tenant={run.tenant}"
            text = f"{verb} {run.request_id} at {run.backend}{tenant} {run.note}"
            lines.append((run.at, text.rstrip()))
        lines.sort(key=lambda line: line[0])
        path.write_text("".join(f"{at:10.4f} {text}\n" for at, text in lines))
