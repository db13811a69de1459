"""An emulated back end with slots, a queue, pauses and injected response faults."""

from __future__ import annotations

import asyncio
import enum
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from tinrudder_lab.emulator.http_server import ServedRequest, ServerConnection, encode_response
from tinrudder_lab.emulator.ledger import Ledger
from tinrudder_lab.emulator.records import Arrival, incarnation_of

RECORD_BYTES = 16
ANSWER_RECORDS = 6
QUEUE_CAPACITY = 12
CLOCK_STEP_S = 0.001


class Fault(enum.Enum):
    """Faults that a back end injects into its responses.

    In-memory connections either close in order or stay open, so resets in the middle of a response
    are tested on the connection itself (tests/unit/gateway/test_upstream_connection.py).
    """

    NONE = "none"
    LOST = "lost"
    CLOSED = "closed"
    CUT_SHORT = "cut_short"
    SPOILED = "spoiled"
    SURPLUS = "surplus"
    SURPLUS_LATE = "surplus_late"
    UNFRAMED = "unframed"
    FOREIGN = "foreign"
    ENCODED = "encoded"
    UNSIGNED = "unsigned"
    ERROR = "error"
    SHED = "shed"


@dataclass(slots=True, eq=False)
class _Job:
    """One accepted request."""

    request: ServedRequest
    connection: ServerConnection
    dropped: bool = False


class EmulatedBackend:
    """Serves one service at one address."""

    def __init__(
        self,
        backend_id: str,
        service: str,
        ledger: Ledger,
        random_source: random.Random,
        work_s: Callable[[], float],
        slots: int = 2,
        started_ms: int = 0,
    ) -> None:
        """Record answers in ``ledger``; each request holds a slot for ``work_s()`` seconds."""
        self.backend_id = backend_id
        self.started_ms = started_ms
        self.service = service
        self.choose_fault: Callable[[], Fault] = lambda: Fault.NONE
        self.crashes_on: Callable[[ServedRequest], bool] = lambda request: False
        self.on_crash: Callable[[ServedRequest], None] = lambda request: None
        self.slots = slots
        self.answer_record_count: Callable[[ServedRequest], int] = lambda request: ANSWER_RECORDS
        self.stated_work_s: Callable[[ServedRequest], float | None] = lambda request: None
        self.open_connections: set[ServerConnection] = set()
        self.peak_connections = 0
        self._ledger = ledger
        self._random = random_source
        self._work_s = work_s
        self._loop = asyncio.get_running_loop()
        self._running: set[_Job] = set()
        self._queue: deque[_Job] = deque()
        self._paused_until = 0.0
        self._server: asyncio.Server | None = None
        self.listen_address = ("", 0)

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        self.listen_address = (host, port)
        self._server = await self._loop.create_server(self._accept, host, port)

    def stop(self) -> None:
        """Crash: drop all connections, running jobs and queued jobs."""
        for job in (*self._running, *self._queue):
            job.dropped = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.open_connections):
            connection.abort()

    @property
    def incarnation(self) -> str:
        """Return the id of this incarnation of the back end."""
        return incarnation_of(self.backend_id, self.started_ms)

    def pause(self, seconds: float) -> None:
        """Finish no work for this time."""
        self._paused_until = self._loop.time() + seconds

    def load_header(self) -> str:
        """Return the load header of an answer; the slowdown field is always 100 (per cent)."""
        return f"{len(self._running)},{len(self._queue)},{self.slots},100"

    def _accept(self) -> ServerConnection:
        """Create the handler of a new connection."""
        connection = ServerConnection(self._on_request)
        self.open_connections.add(connection)
        connection.on_close.append(lambda: self.open_connections.discard(connection))
        self.peak_connections = max(self.peak_connections, len(self.open_connections))
        return connection

    def _on_request(self, request: ServedRequest, connection: ServerConnection) -> None:
        """Reject, queue or run a request."""
        expected = request.headers.get("tinrudder-expect-instance", self.backend_id)
        shed = self.choose_fault() is Fault.SHED
        full = len(self._queue) >= QUEUE_CAPACITY
        accepted = expected == self.backend_id and not full and not shed
        self._record_arrival(request, ran=accepted)
        if expected != self.backend_id:
            headers = {"Tinrudder-Instance": self.backend_id}
            self._write(request, connection, 421, headers)
        elif not accepted:
            self._write(request, connection, 503, {"Tinrudder-Not-Run": "1"})
        else:
            self._enqueue(_Job(request, connection))

    def _enqueue(self, job: _Job) -> None:
        """Queue a job until a slot is free."""
        job.connection.on_close.append(lambda: self._drop(job))
        self._queue.append(job)
        self._run_queue()

    def _run_queue(self) -> None:
        """Start the oldest queued jobs in the free slots."""
        while self._queue and len(self._running) < self.slots:
            job = self._queue.popleft()
            if job.dropped:
                continue
            self._running.add(job)
            begin = max(self._loop.time(), self._paused_until)
            stated_s = self.stated_work_s(job.request)
            work_s = stated_s if stated_s is not None else self._work_s()
            self._loop.call_at(begin + work_s, self._finish, job)

    def _drop(self, job: _Job) -> None:
        """Cancel the job of a caller that closed its connection."""
        job.dropped = True
        if job in self._running:
            self._running.discard(job)
            self._run_queue()

    def _finish(self, job: _Job) -> None:
        """Answer a finished job, or crash if its request is one that crashes back ends."""
        if job.dropped:
            return
        if self._loop.time() < self._paused_until:
            self._loop.call_at(self._paused_until + CLOCK_STEP_S, self._finish, job)
            return
        self._running.discard(job)
        if self.crashes_on(job.request):
            self.stop()
            self.on_crash(job.request)
            return
        self._answer(job)
        self._run_queue()

    def _answer(self, job: _Job) -> None:
        """Write the answer to a job, with at most one injected fault."""
        request, connection = job.request, job.connection
        fault = self.choose_fault()
        request_id = request.headers["tinrudder-request-id"]
        body = self._random.randbytes(RECORD_BYTES * self.answer_record_count(request))
        headers = {
            "Tinrudder-Request-Id": request_id,
            "Tinrudder-Backend-Load": self.load_header(),
        }
        if fault is Fault.LOST:
            return
        if fault is Fault.CLOSED:
            connection.abort()
            return
        if fault is Fault.ERROR:
            self._write(request, connection, 500, headers)
            return
        whole = fault not in (Fault.CUT_SHORT, Fault.SPOILED, Fault.FOREIGN)
        if whole and fault not in (Fault.ENCODED, Fault.UNSIGNED):
            headers["Tinrudder-Server-Stamp"] = self._ledger.issue(request_id, self.service, body)
        elif fault is not Fault.UNSIGNED:
            headers["Tinrudder-Server-Stamp"] = "bad.signature"
        if fault is Fault.FOREIGN:
            headers["Tinrudder-Request-Id"] = "somebody-elses"
        if fault is Fault.ENCODED:
            headers["Content-Encoding"] = "gzip"
        data = encode_response(200, headers, body, framed=fault.value.find("unframed") < 0)
        self._send(connection, data, fault)

    def _send(self, connection: ServerConnection, data: bytes, fault: Fault) -> None:
        """Send the bytes of an answer, changed as the fault requires."""
        if fault is Fault.CUT_SHORT:
            connection.write(data[:-10])
            connection.close()
        elif fault is Fault.SPOILED:
            connection.write(b"\x00\x01 no answer" + data)
        elif fault is Fault.SURPLUS:
            connection.write(data + data)
        elif fault is Fault.SURPLUS_LATE:
            connection.write(data)
            self._loop.call_later(0.05, connection.write, data)
        elif fault is Fault.UNFRAMED:
            connection.write(data)
            connection.close()
        else:
            connection.write(data)

    def _write(
        self,
        request: ServedRequest,
        connection: ServerConnection,
        status: int,
        headers: dict[str, str],
    ) -> None:
        """Write an answer that has no body."""
        request_id = request.headers.get("tinrudder-request-id", "")
        connection.write(
            encode_response(status, {"Tinrudder-Request-Id": request_id} | headers, b"")
        )

    def _record_arrival(self, request: ServedRequest, *, ran: bool) -> None:
        """Record in the ledger that a request arrived."""
        deadline = request.headers.get("tinrudder-deadline-ms")
        self._ledger.arrivals.append(
            Arrival(
                at=self._loop.time(),
                request_id=request.headers.get("tinrudder-request-id", ""),
                service=self.service,
                backend_id=self.backend_id,
                target=request.target,
                deadline_ms=int(deadline) if deadline is not None else None,
                ran=ran,
                tenant=request.headers.get("tinrudder-tenant", ""),
                credentials="authorization" in request.headers,
                started_ms=self.started_ms,
                body=request.body,
            )
        )
