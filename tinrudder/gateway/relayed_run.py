"""The entry's side of a scatter that a coordinator runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.gateway.client_moments import Moments
from tinrudder.gateway.coordinators import Coordinators
from tinrudder.gateway.forwarding import Forwarding
from tinrudder.gateway.messages import HttpRequest
from tinrudder.gateway.model import Address, Route
from tinrudder.gateway.outcomes import NoAnswer, NotRun, RequestOutcome, TimedOut
from tinrudder.gateway.peer_messages import (
    Declined,
    MissingShard,
    ScatterAnswer,
    ScatterEnd,
    ScatterRequest,
)
from tinrudder.gateway.request_log import log_coordinator_failed
from tinrudder.gateway.request_run import OutcomeListener, RequestRun
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError, PeerSilentError
from tinrudder.wire.gateway_relay_codec import decode_answer, encode_request
from tinrudder.wire.peer_client import PeerClient
from tinrudder.wire.snapshot_codec import MalformedPeerMessageError

ACCEPTANCE_SHARE = 0.3
SHORTEST_ACCEPTANCE_S = 0.025
LONGEST_ACCEPTANCE_S = 0.1
ANSWER_MARGIN_S = 0.01


@dataclass(frozen=True, slots=True)
class Relaying:
    """What every relayed run of a gateway needs.

    :param configuration_revision: returns the revision in force.
    """

    client: PeerClient
    coordinators: Coordinators
    forwarding: Forwarding
    configuration_revision: Callable[[], int]


class RelayedRun:
    """One scatter; coordinators are asked in turn, and the last resort is to run it here.

    A coordinator that does not even say that it has begun is taken for dead while there is time
    for another, which then may use one back end less for each shard and draws on the budget for
    every call: the first may have sent one call each before it read that it should give up.
    Where a coordinator had begun, its calls cannot be counted, so nothing is sent again.
    """

    def __init__(
        self,
        route: Route,
        request: HttpRequest,
        request_id: bytes,
        moments: Moments,
        relaying: Relaying,
        asked: tuple[Address, ...],
        run_here: Callable[[OutcomeListener], RequestRun],
        on_outcome: OutcomeListener,
    ) -> None:
        """Prepare; ``run_here`` makes the run of the last resort."""
        self.repeats = 0
        self.missing_shards: tuple[MissingShard, ...] = ()
        self._route = route
        self._request = request
        self._request_id = request_id
        self._moments = moments
        self._relaying = relaying
        self._asked = asked
        self._run_here = run_here
        self._on_outcome = on_outcome
        self._silent = 0
        self._begun = False
        self._problems: list[str] = []
        self._task: asyncio.Task[None] | None = None
        self._local: RequestRun | None = None

    def start(self) -> None:
        """Ask the first coordinator."""
        self._relaying.forwarding.counters.relayed += 1
        self._task = self._relaying.forwarding.loop.create_task(self._run())

    def abandon(self) -> None:
        """End for a client that has left; the coordinator is told."""
        if self._local is not None:
            self._local.abandon()
        elif self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Ask coordinators until one answers."""
        for coordinator in self._asked:
            if self._begun or self._attempts_left < 1:
                break
            answer = await self._ask(coordinator)
            if isinstance(answer, ScatterEnd):
                self.repeats = answer.repeats
                self.missing_shards = answer.missing_shards
                self._on_outcome(self._truthful(answer.outcome))
                return
        detail = "; ".join(self._problems)
        if not self._begun and not self._silent:
            self._run_local()
        elif self._left_s() <= ANSWER_MARGIN_S:
            self._on_outcome(TimedOut(detail))
        else:
            self._on_outcome(NoAnswer(detail))

    async def _ask(self, coordinator: Address) -> ScatterAnswer | None:
        """Ask one coordinator; ``None`` when it gave no usable answer."""
        relaying = self._relaying
        now = relaying.forwarding.loop.time()
        left_s = self._left_s()
        if left_s <= ANSWER_MARGIN_S:
            return None
        address = PeerAddress(coordinator.host, coordinator.port)
        payload = encode_request(self._scatter_request(now))
        acceptance_s = min(self._acceptance_s(now), left_s)
        try:
            answer = decode_answer(
                await relaying.client.request(address, payload, left_s, acceptance_s)
            )
        except (PeerNotSentError, PeerLostError) as error:
            self._note_error(error)
            self._fail(coordinator, str(error))
            return None
        except MalformedPeerMessageError as error:
            self._begun = True
            self._fail(coordinator, f"{coordinator}: {error}")
            return None
        if isinstance(answer, Declined):
            self._fail(coordinator, f"{coordinator}: {answer.detail}")
        else:
            relaying.coordinators.succeeded(coordinator)
        return answer

    def _truthful(self, outcome: RequestOutcome) -> RequestOutcome:
        """Promise that nothing ran only if no other coordinator can have begun."""
        if isinstance(outcome, NotRun) and self._silent:
            return NoAnswer(outcome.detail)
        return outcome

    @property
    def _attempts_left(self) -> int:
        """Return how many back ends each shard's part may still be sent to."""
        return self._route.attempts - self._silent

    def _note_error(self, error: Exception) -> None:
        """Note how far a coordinator that failed may have come."""
        if isinstance(error, PeerSilentError):
            self._silent += 1
        elif isinstance(error, PeerLostError):
            self._begun = True

    def _left_s(self) -> float:
        """Return the time until the final answer must leave."""
        return self._moments.deadline_at - self._relaying.forwarding.loop.time()

    def _scatter_request(self, now: float) -> ScatterRequest:
        """Say what is asked of a coordinator, with the time that is left now."""
        moments = self._moments
        return ScatterRequest(
            request=self._request,
            request_id=self._request_id,
            route=self._route.name,
            objective_left_s=moments.objective_at - now,
            deadline_left_s=moments.deadline_at - now - ANSWER_MARGIN_S,
            returning=moments.returning,
            configuration_revision=self._relaying.configuration_revision(),
            attempts=self._attempts_left,
            repeated=self._silent > 0,
        )

    def _acceptance_s(self, now: float) -> float:
        """Return how long to wait for a coordinator's word that it has begun."""
        share_s = ACCEPTANCE_SHARE * (self._moments.objective_at - now)
        return min(LONGEST_ACCEPTANCE_S, max(SHORTEST_ACCEPTANCE_S, share_s))

    def _fail(self, coordinator: Address, problem: str) -> None:
        """Note a coordinator that did not serve."""
        self._problems.append(problem)
        log_coordinator_failed(self._request_id, coordinator, problem)
        self._relaying.forwarding.counters.relays_failed += 1
        self._relaying.coordinators.failed(coordinator)

    def _run_local(self) -> None:
        """Run the scatter here."""
        self._relaying.forwarding.counters.relays_run_here += 1
        self._local = self._run_here(self._end_local)
        self._local.start()

    def _end_local(self, outcome: RequestOutcome) -> None:
        """Report the outcome of the run here."""
        assert self._local is not None
        self.repeats = self._local.repeats
        self.missing_shards = self._local.missing_shards
        self._on_outcome(outcome)
