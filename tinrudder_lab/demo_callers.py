"""The demo's callers: they poll readiness, send queries over HTTP and check the answers."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError

from tinrudder.node.api.health import HealthBody
from tinrudder.node.api.outcome_mapping import OutcomeBody
from tinrudder_lab.demo_cluster import DemoNode
from tinrudder_lab.deployment import QueryKind

WORKERS = 24
PAUSE_S = 0.08
READINESS_CHECK_S = 0.1
ROWS_WANTED = 20
ANSWERED = ("complete", "partial")
OK = 200
CONNECTION_ERRORS = (OSError, EOFError, AiosonicError)


@dataclass(slots=True)
class CallerStatistics:
    """Statistics of the callers' queries."""

    queries: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    latencies_ms: list[float] = field(default_factory=list)
    needed_shards: int = 0
    coverage: list[float] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    by_kind: dict[str, list[float]] = field(default_factory=dict)
    unanswered: dict[str, int] = field(default_factory=dict)

    def record(self, kind: QueryKind, body: OutcomeBody, elapsed_ms: float) -> None:
        """Count one answer and check its rows against its version and coverage."""
        self.queries += 1
        self.outcomes[body.outcome] = self.outcomes.get(body.outcome, 0) + 1
        if body.outcome not in ANSWERED:
            reason = f"{kind.rule}: {body.outcome}, {body.reason}: {body.detail}"
            self.unanswered[reason] = self.unanswered.get(reason, 0) + 1
        self.latencies_ms.append(elapsed_ms)
        self.by_kind.setdefault(kind.rule.rstrip("-0123456789"), []).append(elapsed_ms)
        if body.coverage is None:
            return
        self.coverage.append(body.coverage.ratio)
        missing = (len(owner.missing) for owner in body.coverage.missing_by_owner.values())
        self.needed_shards += len(body.coverage.included) + sum(missing)
        versions = {msgspec.json.decode(row)["version"] for row in body.rows}
        if versions - {body.version}:
            self.violations.append(f"{body.query_id}: rows of versions {versions}")
        shards = {msgspec.json.decode(row)["row_id"].split("-")[0] for row in body.rows}
        if shards - set(body.coverage.included):
            self.violations.append(f"{body.query_id}: rows of shards not in the coverage")


class DemoCallers:
    """All callers of the demo; each query goes to a random ready node of the kind's region."""

    def __init__(self, nodes: list[DemoNode], kinds: list[QueryKind]) -> None:
        """Send queries of ``kinds`` to ``nodes``."""
        self.tally = CallerStatistics()
        self.client = aiosonic.HTTPClient()
        self.revisions: dict[str, int] = {}
        self._nodes = nodes
        self._kinds = kinds
        self._ready: list[DemoNode] = []

    @property
    def ready_nodes(self) -> list[DemoNode]:
        """Return the nodes that were ready at the last check."""
        return self._ready

    async def wait_until_ready(self, seconds: float) -> None:
        """Wait until every node is ready.

        :raises TimeoutError: some node is not ready in time.
        """
        async with asyncio.timeout(seconds):
            while len(self._ready) < len(self._nodes):
                await self._check_readiness()
                await asyncio.sleep(READINESS_CHECK_S)

    async def follow_readiness(self) -> None:
        """Poll the readiness of all nodes, as a load balancer does."""
        while True:
            await self._check_readiness()
            await asyncio.sleep(READINESS_CHECK_S)

    async def run(self, seconds: float) -> None:
        """Run all callers for some seconds."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._work(end, number) for number in range(WORKERS)))

    async def _check_readiness(self) -> None:
        answers = await asyncio.gather(*(self._is_ready(node) for node in self._nodes))
        self._ready = [node for node, ready in zip(self._nodes, answers, strict=True) if ready]

    async def _is_ready(self, node: DemoNode) -> bool:
        """Return whether a node is ready; record the revision that it enforces."""
        try:
            response = await self.client.get(f"{node.url}/readyz")
            body = msgspec.json.decode(await response.content(), type=HealthBody)
        except (*CONNECTION_ERRORS, msgspec.MsgspecError):
            self.revisions.pop(node.name, None)
            return False
        self.revisions[node.name] = body.revision
        return bool(response.status_code == OK)

    async def _work(self, end: float, number: int) -> None:
        """Run one caller: query, check the answer, pause, repeat."""
        source = random.Random(number)
        while time.monotonic() < end:
            kind = source.choice(self._kinds)
            node = source.choice([node for node in self._ready if node.region == kind.region])
            started = time.monotonic()
            try:
                body = await self._query(node, kind)
            except CONNECTION_ERRORS as error:
                self.tally.violations.append(
                    f"{node.name}: connection failed during a request: {error!r}"
                )
                continue
            self.tally.record(kind, body, (time.monotonic() - started) * 1000)
            await asyncio.sleep(PAUSE_S * source.random() * 2)

    async def _query(self, node: DemoNode, kind: QueryKind) -> OutcomeBody:
        content = {"index": kind.index, "rule": kind.rule, "limit": ROWS_WANTED}
        response = await self.client.post(
            f"{node.url}/v1/query",
            headers={
                "Authorization": kind.caller.authorization,
                "Content-Type": "application/json",
            },
            data=msgspec.json.encode(content),
        )
        return msgspec.json.decode(await response.content(), type=OutcomeBody)
