"""The calls of one shard under any order of connections, failures, rejections and answers.

The oracle counts the calls sent to each replica, without those that the replica rejected.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from zlib import crc32

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.backends.load_reports import LoadReports
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.decisions.admission.poison_requests import PoisonRequests, RequestStanding
from tinrudder.gateway.model.configuration import BackendEntry, HeaderNames, RepeatBounds, Route
from tinrudder.gateway.model.http_messages import (
    Answered,
    Broken,
    HttpAnswer,
    HttpRequest,
    NotSent,
    Rejected,
    UpstreamCall,
    Withdrawn,
)
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.runs.request_bytes import RequestBytes
from tinrudder.gateway.runs.retry_rule import MAX_SENDS
from tinrudder.gateway.runs.run_context import NEVER, RunContext
from tinrudder.gateway.runs.shard_calls import ShardCalls
from tinrudder.platform.load_header import decode_load_report

SERVICE = "shard-0"
NAMES = HeaderNames(
    *(
        name.encode()
        for name in ("id", "deadline", "stamp", "expect", "load", "not-run", "p", "m", "t")
    )
)


class ManualLoop:
    """A clock that the test sets."""

    now = 100.0

    def time(self) -> float:
        return self.now

    def call_later(self, _delay: float, callback: Callable[..., None], *arguments: object) -> None:
        callback(*arguments)


@dataclass
class FakePool:
    """Queues calls until the test establishes a connection or lets it fail."""

    connected: bool
    waiting: list[UpstreamCall] = field(default_factory=list)
    sent: list[UpstreamCall] = field(default_factory=list)
    arrivals: int = 0
    keeps_connection: bool = False

    def has_connection_older_than(self, _moment: float) -> bool:
        return self.keeps_connection

    def start(self, call: UpstreamCall) -> None:
        if self.connected:
            self.send(call)
        else:
            self.waiting.append(call)

    def send(self, call: UpstreamCall) -> None:
        if call.make_bytes() is None:
            call.finish(Withdrawn())
            return
        self.arrivals += 1
        self.sent.append(call)

    def cancel(self, call: UpstreamCall) -> None:
        call.finished = True


class FakeDirectory:
    """Replicas of one shard, all usable."""

    def __init__(self, replicas: int, connected: list[bool]) -> None:
        self.replicas = []
        for index in range(replicas):
            entry = BackendEntry(f"b{index}", SERVICE, "10.0.0.1", index, "zone", 2, False)
            self.replicas.append(Backend(entry, FakePool(connected[index])))  # type: ignore[arg-type]

    def usable(self, _: str) -> list[Backend]:
        return [one for one in self.replicas if not one.address_reused]

    def may_send_to(self, backend: Backend) -> bool:
        return not backend.address_reused

    def note_call(self, backend: Backend) -> None:
        assert self.may_send_to(backend)

    def reason_for_none(self, _: str) -> str:
        return "none is left"


class LocalEvidence:
    """Crash evidence of a single gateway."""

    def __init__(self, loop: ManualLoop) -> None:
        self.loop = loop
        self.requests = PoisonRequests()

    @property
    def has_no_evidence(self) -> bool:
        return not len(self.requests)

    def assess(self, fingerprint: bytes, origin: bytes) -> RequestStanding:
        return self.requests.assess(fingerprint, origin, self.loop.now)

    def note_crash(
        self, fingerprint: bytes, origin: bytes, incarnation_id: str, *, trial: bool
    ) -> None:
        number = crc32(incarnation_id.encode())
        self.requests.note_crash(fingerprint, origin, number, self.loop.now, trial=trial)

    def withdraw_crash(self, fingerprint: bytes, incarnation_id: str) -> None:
        self.requests.withdraw_crash(fingerprint, crc32(incarnation_id.encode()))

    def note_alive(self, incarnation_id: str, sent_at: float) -> None:
        for fingerprint in self.requests.requests_cleared_by(
            crc32(incarnation_id.encode()), sent_at
        ):
            self.withdraw_crash(fingerprint, incarnation_id)

    def note_answer(self, fingerprint: bytes) -> None:
        self.requests.note_answer(fingerprint, self.loop.now)

    def begin_trial(self, fingerprint: bytes) -> None:
        self.requests.begin_trial(fingerprint, self.loop.now)


class ShardCallsMachine(RuleBasedStateMachine):
    """Drives one shard; the oracle counts the unrejected calls of each replica."""

    @initialize(
        replicas=st.integers(1, 5),
        attempts=st.integers(1, 4),
        connected=st.lists(st.booleans(), min_size=5, max_size=5),
        repeatable=st.booleans(),
    )
    def begin(
        self,
        replicas: int,
        attempts: int,
        connected: list[bool],
        repeatable: bool,
    ) -> None:
        self.loop = ManualLoop()
        self.directory = FakeDirectory(replicas, connected)
        self.attempts = attempts
        self.repeatable = repeatable
        self.may_have_run: dict[str, int] = {}
        self.source = random.Random(0)
        call_context = CallContext(
            load_reports=LoadReports(decode_load_report, self.loop.time),
            loop=self.loop,  # type: ignore[arg-type]
            names=NAMES,
            zone="zone",
            directory=self.directory,  # type: ignore[arg-type]
            bounds=RepeatBounds(1.0, 1000.0, 10.0),
            budget_parts=lambda service: 1.0,
            started_at=0.0,
            evidence=LocalEvidence(self.loop),
        )
        route = Route("r", "h", "/", repeatable, 5.0, 0.1, attempts, 0, shards=(SERVICE,))
        request = HttpRequest(b"GET", b"/", (), b"")
        deadlines = Deadlines(self.loop.now, self.loop.now + 0.085, self.loop.now + 5.0)
        encoded = RequestBytes(request, b"id", deadlines, NAMES)
        run = RunContext.of(call_context, route, encoded, deadlines)
        self.shard = ShardCalls(SERVICE, run, lambda shard: None)
        self.shard.start(self.loop.now)

    @property
    def pools(self) -> list[tuple[str, FakePool]]:
        return [(one.backend_id, one.pool) for one in self.directory.replicas]  # type: ignore[misc]

    def waiting(self) -> list[tuple[FakePool, UpstreamCall]]:
        return [(pool, call) for _, pool in self.pools for call in pool.waiting]

    def running(self) -> list[tuple[str, FakePool, UpstreamCall]]:
        return [(name, pool, call) for name, pool in self.pools for call in pool.sent]

    @precondition(lambda self: self.waiting())
    @rule(choice=st.integers(0, 100))
    def connection_comes_up(self, choice: int) -> None:
        waiting = self.waiting()
        pool, call = waiting[choice % len(waiting)]
        pool.waiting.remove(call)
        if not call.finished:
            pool.send(call)

    @precondition(lambda self: self.waiting())
    @rule(choice=st.integers(0, 100))
    def connection_fails(self, choice: int) -> None:
        waiting = self.waiting()
        pool, call = waiting[choice % len(waiting)]
        pool.waiting.remove(call)
        call.finish(NotSent("connect: refused"))

    @precondition(lambda self: self.running())
    @rule(choice=st.integers(0, 100), status=st.sampled_from((200, 500)))
    def answer_comes(self, choice: int, status: int) -> None:
        name, call = self.take_running(choice)
        self.note_run(name)
        call.finish(Answered(HttpAnswer(status, b"", (), b"")))

    @precondition(lambda self: self.running())
    @rule(choice=st.integers(0, 100), unanswered=st.booleans())
    def call_breaks(self, choice: int, unanswered: bool) -> None:
        name, call = self.take_running(choice)
        self.note_run(name)
        call.finish(Broken("connection lost", unanswered))

    @precondition(lambda self: self.running())
    @rule(choice=st.integers(0, 100), wrong_backend=st.booleans())
    def call_is_rejected(self, choice: int, wrong_backend: bool) -> None:
        _, call = self.take_running(choice)
        call.finish(Rejected(421 if wrong_backend else 503, wrong_backend))

    @rule(seconds=st.sampled_from((0.01, 0.05, 0.1, 1.0)))
    def time_passes(self, seconds: float) -> None:
        self.loop.now += seconds
        self.shard.on_due(self.loop.now)

    @rule(index=st.integers(0, 4), connected=st.booleans())
    def replica_changes(self, index: int, connected: bool) -> None:
        if index < len(self.directory.replicas):
            self.directory.replicas[index].pool.connected = connected  # type: ignore[attr-defined]

    def take_running(self, choice: int) -> tuple[str, UpstreamCall]:
        running = self.running()
        name, pool, call = running[choice % len(running)]
        pool.sent.remove(call)
        return name, call

    def note_run(self, name: str) -> None:
        self.may_have_run[name] = self.may_have_run.get(name, 0) + 1

    def replicas_that_may_have_run(self) -> set[str]:
        """Return the replicas that may have run the request, or may still run it."""
        return {name for name, _, _ in self.running()} | set(self.may_have_run)

    @invariant()
    def no_more_replicas_than_attempts(self) -> None:
        assert len(self.replicas_that_may_have_run()) <= self.attempts

    @invariant()
    def may_have_run_matches_the_calls_sent(self) -> None:
        assert self.shard.may_have_run == bool(self.replicas_that_may_have_run())

    @invariant()
    def an_unrepeatable_request_runs_once(self) -> None:
        if not self.repeatable:
            assert len(self.running()) + sum(self.may_have_run.values()) <= 1

    @invariant()
    def sends_stay_few(self) -> None:
        assert self.shard.sends <= MAX_SENDS
        assert self.shard.next_at == NEVER or self.shard.part is None


ShardCallsMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, deadline=None, derandomize=True
)
TestShardCalls = ShardCallsMachine.TestCase
