"""Callers over real connections: they page, go away, and submit operations twice at once."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec

from tinrudder.node.resources.model import QueryRuleSpec
from tinrudder_lab.demo_cluster import DemoNode
from tinrudder_lab.deployment import OPERATION_DATASETS, OPERATION_RULE_SUFFIX, QueryKind
from tinrudder_lab.history import LEFT, LOST, QueryEnded, QuerySent
from tinrudder_lab.process_mode.exchange import ExchangeLostError, send_request
from tinrudder_lab.process_mode.load_balancer import LoadBalancer
from tinrudder_lab.process_mode.recorder import Recorder
from tinrudder_lab.sim.callers import read_outcome
from tinrudder_lab.topology import PAGE_LIMIT, PATIENCE_S, Arrival, Topology, draw_trace

QUERY_PATH = "/v1/query"
OPERATION_PATH = "/v1/operations"
OPERATION = "book"
VALIDITY_S = 9.5
RESUBMIT_S = 0.4
MAX_RESUBMISSIONS = 4
OPERATION_ROWS = QueryRuleSpec(service="").max_rows
"""Operations carry no limit of their own: the default of their rules holds."""

SETTLED = frozenset({"complete", "failed"})


@dataclass(frozen=True, slots=True)
class Submission:
    """What all submissions of one operation have in common.

    :param valid_until: seconds since the start of the run.
    :param valid_until_wall: the same moment in seconds since 1970, as it is sent.
    """

    kind: QueryKind
    key: str
    valid_until: float
    valid_until_wall: float


class ProcessCallers:
    """All callers of one run."""

    def __init__(self, topology: Topology, balancer: LoadBalancer, recorder: Recorder) -> None:
        """Ask the nodes that ``balancer`` finds ready."""
        self._topology = topology
        self._balancer = balancer
        self._recorder = recorder
        self._history = recorder.history
        self._queries = 0
        self._running: set[asyncio.Task[None]] = set()

    async def query(self, duration_s: float, source: random.Random) -> None:
        """Send the topology's queries at their times."""
        started = self._recorder.now()
        for arrival in draw_trace(self._topology.streams, duration_s, source):
            await asyncio.sleep(started + arrival.at - self._recorder.now())
            self._spawn(self._read_pages(arrival))

    async def purchase(self, duration_s: float, rate: float, source: random.Random) -> None:
        """Submit operations, each twice at once through two nodes of its region."""
        kinds = self._topology.deployment.query_kinds
        kinds = [kind for kind in kinds if kind.index.endswith(OPERATION_DATASETS)]
        end = self._recorder.now() + duration_s
        number = 0
        while rate and self._recorder.now() < end:
            number += 1
            self._spawn(self._submit_twice(source.choice(kinds), number, source))
            await asyncio.sleep(source.expovariate(rate))

    async def finish(self) -> None:
        """Wait until every caller has its outcome."""
        while self._running:
            for task in (await asyncio.wait(self._running))[0]:
                task.result()

    def _spawn(self, act: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(act)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _read_pages(self, arrival: Arrival) -> None:
        """Read a listing page by page."""
        kind = arrival.kind
        cursor: str | None = None
        session = self._queries + 1
        after: tuple[float, str] | None = None
        for _ in range(arrival.pages):
            nodes = self._balancer.ready_in(kind.region)
            node = nodes[int(arrival.node_draw * len(nodes))]
            sent = self._sent(kind, kind.rule, node, arrival.match, session, after)
            content: dict[str, object] = {
                "index": sent.index,
                "rule": sent.rule,
                "match": sent.match,
                "limit": sent.limit,
            }
            if cursor is not None:
                content["cursor"] = cursor
            ended, cursor = await self._send(
                kind, node, sent, QUERY_PATH, content, arrival.patience_s
            )
            if cursor is None:
                return
            after = (ended.rows[-1].time, ended.rows[-1].row_id)

    async def _submit_twice(self, kind: QueryKind, number: int, source: random.Random) -> None:
        """Submit one operation twice at once, then again until its outcome is known."""
        submission = Submission(
            kind,
            f"purchase-{number:08d}",
            self._recorder.now() + VALIDITY_S,
            time.time() + VALIDITY_S,
        )
        nodes = self._balancer.ready_in(kind.region)
        two = source.sample(nodes, min(2, len(nodes)))
        ended = await asyncio.gather(*(self._submit(submission, node, again=False) for node in two))
        for _ in range(MAX_RESUBMISSIONS):
            if any(one.outcome in SETTLED for one in ended):
                return
            await asyncio.sleep(RESUBMIT_S)
            if self._recorder.now() > submission.valid_until:
                return
            node = source.choice(self._balancer.ready_in(kind.region))
            ended = [await self._submit(submission, node, again=True)]

    async def _submit(self, submission: Submission, node: DemoNode, *, again: bool) -> QueryEnded:
        kind = submission.kind
        rule = kind.rule + OPERATION_RULE_SUFFIX
        sent = self._sent(kind, rule, node, {}, submission=submission, again=again)
        content: dict[str, object] = {
            "index": sent.index,
            "rule": sent.rule,
            "operation": OPERATION,
            "key": submission.key,
            "valid_until": submission.valid_until_wall,
            "resubmission": again,
        }
        ended, _ = await self._send(kind, node, sent, OPERATION_PATH, content, PATIENCE_S)
        return ended

    def _sent(
        self,
        kind: QueryKind,
        rule: str,
        node: DemoNode,
        match: dict[str, str],
        session: int | None = None,
        after: tuple[float, str] | None = None,
        *,
        submission: Submission | None = None,
        again: bool = False,
    ) -> QuerySent:
        """Record that a caller sends something now."""
        self._queries += 1
        sent = QuerySent(
            at=self._recorder.now(),
            query=self._queries,
            tenant=kind.caller.tenant,
            index=kind.index,
            rule=rule,
            node=node.name,
            limit=PAGE_LIMIT if submission is None else OPERATION_ROWS,
            match=match,
            request_key=submission.key if submission is not None else None,
            valid_until=submission.valid_until if submission is not None else None,
            resubmission=again,
            session=session,
            after=after,
        )
        self._history.sent[sent.query] = sent
        return sent

    async def _send(
        self,
        kind: QueryKind,
        node: DemoNode,
        sent: QuerySent,
        path: str,
        content: dict[str, object],
        patience_s: float,
    ) -> tuple[QueryEnded, str | None]:
        """Send one request; record and return its end and the cursor of the next page."""
        body = msgspec.json.encode(content)
        authorization = kind.caller.authorization
        cursor: str | None = None
        try:
            async with asyncio.timeout(patience_s):
                reply = await send_request(node.caller_port, "POST", path, body, authorization)
            event, cursor = read_outcome(self._recorder.now(), sent.query, reply.body)
        except TimeoutError:
            outcome = LOST if patience_s >= PATIENCE_S else LEFT
            event = QueryEnded(self._recorder.now(), sent.query, "", outcome)
        except ExchangeLostError as error:
            event = QueryEnded(self._recorder.now(), sent.query, "", LOST, detail=str(error))
        self._history.end_query(event)
        return event, cursor
