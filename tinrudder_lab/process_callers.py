"""Callers of real nodes: closed loops that query and buy over HTTP and record what they get."""

from __future__ import annotations

import asyncio
import random
import time

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError

from tinrudder_lab.deployment import QueryKind
from tinrudder_lab.history import LOST, QueryEnded, QuerySent
from tinrudder_lab.process_cluster import ProcessCluster
from tinrudder_lab.sim.callers import read_outcome
from tinrudder_lab.topology import PAGE_LIMIT

CONNECTION_ERRORS = (OSError, EOFError, AiosonicError)
QUERY_WORKERS = 8
PURCHASE_WORKERS = 2
PAUSE_S = 0.05
READY_TIMEOUT_S = 30.0
VALIDITY_S = 3.0
RESUBMIT_S = 0.3
PURCHASE_RULE = "gate-purchase"


class ProcessCallers:
    """All callers of one run."""

    def __init__(self, cluster: ProcessCluster, client: aiosonic.HTTPClient, seed: int) -> None:
        """Ask the open nodes of ``cluster``."""
        self._cluster = cluster
        self._client = client
        self._random = random.Random(f"callers/{seed}")
        self._kinds = list(cluster.deployment.query_kinds)
        self._queries = 0

    async def wait_until_ready(self) -> None:
        """Return when every node answers queries."""
        end = time.monotonic() + READY_TIMEOUT_S
        for node in self._cluster.nodes:
            kind = next(kind for kind in self._kinds if kind.region == node.region)
            while time.monotonic() < end:
                try:
                    content = {"index": kind.index, "rule": kind.rule, "limit": 1}
                    await self._post(node.url + "/v1/query", kind, content)
                    break
                except CONNECTION_ERRORS:
                    await asyncio.sleep(0.2)

    async def work(self, duration_s: float) -> None:
        """Let all callers work for a while."""
        end = time.monotonic() + duration_s
        querying = [self._query_loop(end) for _ in range(QUERY_WORKERS)]
        buying = [self._purchase_loop(end) for _ in range(PURCHASE_WORKERS)]
        await asyncio.gather(*querying, *buying)

    async def _query_loop(self, end: float) -> None:
        while time.monotonic() < end:
            kind = self._random.choice(self._kinds)
            content: dict[str, object] = {
                "index": kind.index,
                "rule": kind.rule,
                "limit": PAGE_LIMIT,
            }
            await self._send("/v1/query", kind, content)
            await asyncio.sleep(PAUSE_S * 2 * self._random.random())

    async def _purchase_loop(self, end: float) -> None:
        """Submit requests at most once: each twice at once, then again until settled."""
        gate = next(kind for kind in self._kinds if kind.rule == "gate")
        kind = QueryKind(gate.caller, gate.index, PURCHASE_RULE, gate.region)
        while time.monotonic() < end:
            key = f"purchase-{self._random.getrandbits(40):010x}"
            valid_until = self._cluster.now() + VALIDITY_S
            ended = await asyncio.gather(
                self._submit(kind, key, valid_until, again=False),
                self._submit(kind, key, valid_until, again=False),
            )
            if not any(one.outcome == "complete" for one in ended):
                await asyncio.sleep(RESUBMIT_S)
                await self._submit(kind, key, valid_until, again=True)

    async def _submit(
        self, kind: QueryKind, key: str, valid_until: float, *, again: bool
    ) -> QueryEnded:
        content: dict[str, object] = {
            "index": kind.index,
            "rule": kind.rule,
            "operation": "purchase",
            "key": key,
            "valid_until": self._cluster.started_at + valid_until,
            "resubmission": again,
        }
        return await self._send("/v1/operations", kind, content, key, valid_until, again=again)

    async def _send(
        self,
        path: str,
        kind: QueryKind,
        content: dict[str, object],
        key: str | None = None,
        valid_until: float | None = None,
        *,
        again: bool = False,
    ) -> QueryEnded:
        """Send one request to an open node; record it and its end."""
        self._queries += 1
        number = self._queries
        nodes = [node for node in self._cluster.open.values() if node.region == kind.region]
        node = self._random.choice(nodes)
        history = self._cluster.history
        history.sent[number] = QuerySent(
            at=self._cluster.now(),
            query=number,
            tenant=kind.caller.tenant,
            index=kind.index,
            rule=kind.rule,
            node=node.name,
            limit=PAGE_LIMIT,
            request_key=key,
            valid_until=valid_until,
            resubmission=again,
        )
        try:
            body = await self._post(node.url + path, kind, content)
            ended, _ = read_outcome(self._cluster.now(), number, body)
        except CONNECTION_ERRORS as error:
            ended = QueryEnded(self._cluster.now(), number, "", LOST, detail=repr(error))
        history.end_query(ended)
        return ended

    async def _post(self, url: str, kind: QueryKind, content: dict[str, object]) -> bytes:
        headers = {
            "Authorization": kind.caller.authorization,
            "Content-Type": "application/json",
        }
        response = await self._client.post(url, headers=headers, data=msgspec.json.encode(content))
        body: bytes = await response.content()
        return body
