"""A group of shards that another gateway calls for a scatter, since their replicas are in its zone.

Owns the group's part of the answer, and whether the group may have run. The gateway that merges the
scatter decides what happens to unanswered shards.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import replace

from tinrudder.common.address import Address
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import Merged, NotRun
from tinrudder.gateway.peers.peer_messages import MissingShard, ScatterEnd, ScatterRequest
from tinrudder.gateway.runs.run_guard import POISON_REFUSAL
from tinrudder.gateway.scatters.delegation import (
    LostAfterStart,
    NotStarted,
    Unconfirmed,
    delegate,
    may_begin_at_once,
    whole_scatter,
)
from tinrudder.gateway.scatters.delegation_context import DelegationContext


class Delegation(Struct, frozen=True):
    """A group of shards and the gateway that should call them.

    :param minimum_share: the smallest share of these shards that can make the answer sufficient.
    """

    services: tuple[str, ...]
    coordinator: Address
    minimum_share: float


def minimum_share_of_group(shards: int, group: int, minimum_share: float) -> float:
    """Return the smallest share of a group that can suffice if all other shards answer.

    >>> minimum_share_of_group(20, 5, 0.89)
    0.6
    >>> minimum_share_of_group(20, 2, 0.5)
    0.0
    """
    missing = math.floor(shards * (1.0 - minimum_share) + 1e-9)
    return max(0, group - missing) / group


class DelegatedShards:
    """One delegated group; reports its end exactly once, unless it is cancelled first.

    :ivar part: the merged answer of the group, once there is one.
    :ivar may_have_run: back ends may have received the request.
    :ivar may_run_locally: this gateway may call the shards: the other one sends no calls, or calls
        by both cannot exceed the attempt limit.
    """

    def __init__(
        self,
        delegation: Delegation,
        route: Route,
        request: HttpRequest,
        request_id: bytes,
        deadlines: Deadlines,
        delegation_context: DelegationContext,
    ) -> None:
        """Prepare the group; the caller sets :attr:`on_end` before :meth:`start`."""
        self.services = delegation.services
        self.on_end: Callable[[DelegatedShards], None] = lambda _: None
        self.pending = True
        self.part: Merged | None = None
        self.may_have_run = False
        self.may_run_locally = False
        self.repeats = 0
        self._missing: tuple[MissingShard, ...] = ()
        self._failure = "no answer yet"
        self._delegation = delegation
        self._route = route
        self._request = request
        self._request_id = request_id
        self._deadlines = deadlines
        self._delegation_context = delegation_context
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Ask the other gateway."""
        self.may_have_run = True
        call_context = self._delegation_context.call_context
        call_context.counters.delegated += 1
        self._task = call_context.loop.create_task(self._run())

    def cancel_unstarted(self) -> None:
        """End the group without asking the other gateway: the request crashes back ends."""
        self.pending = False
        self._failure = POISON_REFUSAL

    def cancel(self) -> None:
        """Cancel the request to the other gateway."""
        if self._task is not None:
            self._task.cancel()

    @property
    def included(self) -> int:
        """Return how many of the shards have answered."""
        return len(self.part.stamps) if self.part is not None else 0

    @property
    def outstanding(self) -> int:
        """Return how many of the shards may still answer."""
        return len(self.services) if self.pending else 0

    @property
    def missing_shards(self) -> tuple[MissingShard, ...]:
        """Return the shards without an answer, and why."""
        if self.part is not None:
            return self._missing
        return tuple(MissingShard(service, self._failure) for service in self.services)

    async def _run(self) -> None:
        """Ask the other gateway once; the caller handles shards that were not answered."""
        delegation = self._delegation
        scatter = self._scatter_request()
        outcome = await delegate(
            self._delegation_context,
            delegation.coordinator,
            scatter,
            self._deadlines,
            begin_at_once=may_begin_at_once(self._delegation_context, self._route, self.services),
        )
        self.pending = False
        match outcome:
            case ScatterEnd():
                self._process_answer(outcome)
            case NotStarted(detail=detail):
                self._failure = detail
                self.may_have_run = False
                self.may_run_locally = True
            case Unconfirmed(detail=detail):
                self._failure = detail
                self.may_run_locally = True
            case LostAfterStart(detail=detail):
                self._failure = detail
        self.on_end(self)

    def _process_answer(self, end: ScatterEnd) -> None:
        """Process the other gateway's answer."""
        self.repeats = end.repeats
        self._missing = end.missing_shards
        if isinstance(end.outcome, Merged):
            self.part = end.outcome
        else:
            self._failure = end.outcome.__class__.__name__
            self.may_have_run = not isinstance(end.outcome, NotRun)

    def _scatter_request(self) -> ScatterRequest:
        """Return the request to the other gateway, with the time now left to it."""
        whole = whole_scatter(
            self._delegation_context,
            self._delegation.coordinator,
            self._request,
            self._request_id,
            self._deadlines,
        )
        return replace(whole, shards=self.services, minimum_share=self._delegation.minimum_share)
