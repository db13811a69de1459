"""Delegates a scatter, or some of its shards, to another gateway, and classifies the outcome.

Owns the timeouts for another gateway to accept a scatter and to answer it. Depends on the client
for requests between gateways, which guarantees that the other gateway does not begin before its
acceptance is confirmed, unless it was asked to begin at once. Reports every outcome to the
coordinators' back-off and the zone monitor.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tinrudder.common.address import Address
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.observability.request_log import log_coordinator_failed
from tinrudder.gateway.peers.peer_messages import Declined, ScatterEnd, ScatterRequest
from tinrudder.gateway.scatters.delegation_context import DelegationContext
from tinrudder.gateway.wire.gateway_relay_codec import decode_answer, encode_request
from tinrudder.gateway.wire.snapshot_codec import MalformedPeerMessageError
from tinrudder.peers import PeerLostError, PeerNotSentError, PeerSilentError

ANSWER_MARGIN_S = 0.01
"""How long before the client's deadline another gateway must answer, seconds: several times the
path between zones, and the merge."""
ACCEPTANCE_SHARE = 0.3
"""Part of the time to the objective in which another gateway must accept a scatter, so that most of
the time is left for a second gateway."""
MIN_ACCEPTANCE_S = 0.025
"""Shortest acceptance timeout, seconds: several round trips between zones (some 2 to 6 ms each), so
that a busy gateway is not treated as failed."""
MAX_ACCEPTANCE_S = 0.1
"""Longest acceptance timeout, seconds: the most that a gateway that does not answer costs."""


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The other gateway sent no calls and never will; this includes an acceptance timeout."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """The other gateway did not accept in time, and may begin nevertheless.

    A cancellation is sent, so that it sends calls only if it begins before it reads the
    cancellation.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class LostAfterStart:
    """The other gateway had begun and gave no usable answer, so its calls cannot be counted."""

    detail: str


DelegationOutcome = ScatterEnd | NotStarted | Unconfirmed | LostAfterStart


def whole_scatter(
    delegation_context: DelegationContext,
    coordinator: Address,
    request: HttpRequest,
    request_id: bytes,
    deadlines: Deadlines,
) -> ScatterRequest:
    """Return the request to a gateway for all shards, with the time now left to it."""
    now = delegation_context.call_context.loop.time()
    accepted = delegation_context.configuration()
    round_trip_s = delegation_context.round_trip(coordinator).allowance_s
    return ScatterRequest(
        request=request,
        request_id=request_id,
        objective_left_s=deadlines.objective_at - now - round_trip_s,
        deadline_left_s=deadlines.deadline_at - now - ANSWER_MARGIN_S,
        returning=deadlines.returning,
        configuration_revision=accepted.value.revision.number if accepted else 0,
        configuration_version=accepted.configuration.version if accepted else None,
    )


async def delegate(
    delegation_context: DelegationContext,
    coordinator: Address,
    scatter: ScatterRequest,
    deadlines: Deadlines,
    *,
    begin_at_once: bool,
) -> DelegationOutcome:
    """Ask one gateway; if it does not serve the scatter, its back-off starts.

    :param begin_at_once: see :func:`may_begin_at_once`.
    """
    asked_at = delegation_context.call_context.loop.time()
    outcome = await _ask(delegation_context, coordinator, scatter, deadlines, begin_at_once)
    if isinstance(outcome, ScatterEnd):
        delegation_context.coordinators.succeeded(coordinator)
        delegation_context.zone_monitor.answered_by(coordinator)
        return outcome
    delegation_context.zone_monitor.note_unanswered_by(coordinator, asked_at)
    log_coordinator_failed(scatter.request_id, coordinator, outcome.detail)
    delegation_context.call_context.counters.relays_failed += 1
    delegation_context.coordinators.failed(coordinator)
    return outcome


def may_begin_at_once(
    delegation_context: DelegationContext, route: Route, shards: Iterable[str]
) -> bool:
    """Return whether calls by two gateways to the same shards would stay within the attempt limit.

    A gateway that was paused may begin after another one has been asked in its place.  If both
    together could call too many replicas, a gateway begins only after its acceptance has been
    confirmed, which takes another round trip.
    """
    directory = delegation_context.call_context.directory
    return all(directory.attempts_cover_all_replicas(shard, route.attempts) for shard in shards)


async def _ask(
    delegation_context: DelegationContext,
    coordinator: Address,
    scatter: ScatterRequest,
    deadlines: Deadlines,
    begin_at_once: bool,
) -> DelegationOutcome:
    """Send the request and wait for the answer, a timeout or a connection failure."""
    now = delegation_context.call_context.loop.time()
    left_s = deadlines.deadline_at - now
    acceptance_s = min(_acceptance_s(deadlines, now), left_s)
    payload = encode_request(scatter)
    delegation_context.traffic.note(scatter, len(payload))
    try:
        answer = decode_answer(
            await delegation_context.client.request(
                coordinator, payload, left_s, acceptance_s, begin_at_once=begin_at_once
            )
        )
    except PeerSilentError as error:
        return Unconfirmed(str(error)) if begin_at_once else NotStarted(str(error))
    except PeerNotSentError as error:
        return NotStarted(str(error))
    except PeerLostError as error:
        return LostAfterStart(str(error))
    except MalformedPeerMessageError as error:
        return LostAfterStart(f"{coordinator}: {error}")
    if isinstance(answer, Declined):
        return NotStarted(f"{coordinator}: {answer.detail}")
    round_trip_s = delegation_context.call_context.loop.time() - now
    delegation_context.round_trip(coordinator).observe(round_trip_s - answer.elapsed_s)
    return answer


def _acceptance_s(deadlines: Deadlines, now: float) -> float:
    """Return the acceptance timeout, seconds."""
    share_s = ACCEPTANCE_SHARE * (deadlines.objective_at - now)
    return min(MAX_ACCEPTANCE_S, max(MIN_ACCEPTANCE_S, share_s))
