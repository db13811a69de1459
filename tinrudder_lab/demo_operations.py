"""The demo's purchases and ledger entries: each is sent to two nodes at the same time."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import aiosonic
import msgspec

from tinrudder.node.api.outcome_mapping import OutcomeBody
from tinrudder_lab.demo_callers import CONNECTION_ERRORS
from tinrudder_lab.demo_cluster import DemoNode
from tinrudder_lab.deployment import OPERATION_DATASETS, OPERATION_RULE_SUFFIX, QueryKind

VALID_S = 59.0
PAUSE_S = 0.1
NOT_RUN = "not_run"
COMPLETE = "complete"


@dataclass(slots=True)
class OperationTally:
    """Numbers of operations by the outcomes of their submissions."""

    sent: int = 0
    ran: int = 0
    not_run: int = 0
    unknown: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    cut_off: list[str] = field(default_factory=list)

    def record(self, answers: Sequence[OutcomeBody]) -> None:
        """Count one operation by the outcomes of its submissions."""
        self.sent += 1
        for body in answers:
            name = f"{body.outcome} {body.reason}".strip()
            self.outcomes[name] = self.outcomes.get(name, 0) + 1
        outcomes = [body.outcome for body in answers]
        if COMPLETE in outcomes:
            self.ran += 1
        elif all(outcome == NOT_RUN for outcome in outcomes):
            self.not_run += 1
        else:
            self.unknown += 1

    def violations(self, started: int) -> list[str]:
        """Return the violations, given how many operations the back ends started."""
        if self.ran <= started <= self.ran + self.unknown:
            return self.cut_off
        counts = f"{self.ran} reported as run, {self.unknown} unknown, {self.not_run} not run"
        detail = f"back ends started {started} operations of {self.sent}: {counts}"
        return [*self.cut_off, detail]


class DemoOperations:
    """Sends operations of random kinds, one at a time."""

    def __init__(
        self,
        client: aiosonic.HTTPClient,
        kinds: Sequence[QueryKind],
        ready: Callable[[], Sequence[DemoNode]],
    ) -> None:
        """Send through the nodes that ``ready`` returns."""
        self.tally = OperationTally()
        self._client = client
        self._kinds = [kind for kind in kinds if kind.index.endswith(OPERATION_DATASETS)]
        self._ready = ready

    async def run(self, seconds: float) -> None:
        """Send operations for some seconds."""
        end = time.monotonic() + seconds
        source = random.Random("operations")
        while time.monotonic() < end:
            kind = source.choice(self._kinds)
            nodes = [node for node in self._ready() if node.region == kind.region]
            node_pair = source.sample(nodes, 2)
            content = _content(kind, f"order-{self.tally.sent:06d}")
            try:
                answers = await asyncio.gather(
                    *(self._post(node, kind, content) for node in node_pair)
                )
            except CONNECTION_ERRORS as error:
                self.tally.cut_off.append(f"connection failed during an operation: {error!r}")
                continue
            self.tally.record(answers)
            await asyncio.sleep(PAUSE_S)

    async def _post(self, node: DemoNode, kind: QueryKind, content: bytes) -> OutcomeBody:
        response = await self._client.post(
            f"{node.url}/v1/operations",
            headers={
                "Authorization": kind.caller.authorization,
                "Content-Type": "application/json",
            },
            data=content,
        )
        return msgspec.json.decode(await response.content(), type=OutcomeBody)


def _content(kind: QueryKind, key: str) -> bytes:
    body = {
        "index": kind.index,
        "rule": kind.rule + OPERATION_RULE_SUFFIX,
        "operation": "book",
        "key": key,
        "valid_until": time.time() + VALID_S,
    }
    return msgspec.json.encode(body)
