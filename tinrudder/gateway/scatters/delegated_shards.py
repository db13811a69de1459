"""Some shards of a scatter that another gateway asks, since their replicas are in its zone.

Owns the group's part of the answer and what is known of its having run. The gateway that merges
the scatter decides what happens to shards that were not answered.
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
from tinrudder.gateway.runs.run_guard import POISON
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
    """What is asked of whom.

    :param minimum_share: the least share of these shards with which the whole can suffice.
    """

    services: tuple[str, ...]
    coordinator: Address
    minimum_share: float


def minimum_share_of_group(shards: int, group: int, minimum_share: float) -> float:
    """Return the least share of a group with which a scatter can suffice if all others answer.

    >>> minimum_share_of_group(20, 5, 0.89)
    0.6
    >>> minimum_share_of_group(20, 2, 0.5)
    0.0
    """
    missing = math.floor(shards * (1.0 - minimum_share) + 1e-9)
    return max(0, group - missing) / group


class DelegatedShards:
    """One group; its end is reported once, unless it is cancelled before.

    :ivar part: the merged answer of the group, once there is one.
    :ivar may_have_run: back ends may have got the request.
    :ivar may_run_here: the other gateway sent nothing and never will, or it does no harm.
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
        """Prepare; set :attr:`on_end` before :meth:`start`."""
        self.services = delegation.services
        self.on_end: Callable[[DelegatedShards], None] = lambda _: None
        self.pending = True
        self.part: Merged | None = None
        self.may_have_run = False
        self.may_run_here = False
        self.repeats = 0
        self._missing: tuple[MissingShard, ...] = ()
        self._problem = "no answer yet"
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

    def withhold(self) -> None:
        """Note that the other gateway is not asked: back ends crash under the request."""
        self.pending = False
        self._problem = POISON

    def cancel(self) -> None:
        """Tell the other gateway that nobody waits any more."""
        if self._task is not None:
            self._task.cancel()

    @property
    def included(self) -> int:
        """Return how many of the shards have answered."""
        return len(self.part.stamps) if self.part is not None else 0

    @property
    def hopeful(self) -> int:
        """Return how many of the shards may still answer."""
        return len(self.services) if self.pending else 0

    @property
    def missing_shards(self) -> tuple[MissingShard, ...]:
        """Return the shards without an answer, and why."""
        if self.part is not None:
            return self._missing
        return tuple(MissingShard(service, self._problem) for service in self.services)

    async def _run(self) -> None:
        """Ask once; what the other gateway does not do is left to the caller."""
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
                self._take(outcome)
            case NotStarted(detail=detail):
                self._problem = detail
                self.may_have_run = False
                self.may_run_here = True
            case Unconfirmed(detail=detail):
                self._problem = detail
                self.may_run_here = True
            case LostAfterStart(detail=detail):
                self._problem = detail
        self.on_end(self)

    def _take(self, end: ScatterEnd) -> None:
        """Take the answer."""
        self.repeats = end.repeats
        self._missing = end.missing_shards
        if isinstance(end.outcome, Merged):
            self.part = end.outcome
        else:
            self._problem = end.outcome.__class__.__name__
            self.may_have_run = not isinstance(end.outcome, NotRun)

    def _scatter_request(self) -> ScatterRequest:
        """Say what is asked, with the time that is left now."""
        whole = whole_scatter(
            self._delegation_context,
            self._delegation.coordinator,
            self._request,
            self._request_id,
            self._deadlines,
        )
        return replace(whole, shards=self.services, minimum_share=self._delegation.minimum_share)
