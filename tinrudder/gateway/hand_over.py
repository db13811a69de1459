"""Hands a scatter, or some of its shards, to another gateway, and says how far that came."""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.gateway.client_moments import Moments
from tinrudder.gateway.model import Address
from tinrudder.gateway.peer_messages import Declined, ScatterEnd, ScatterRequest
from tinrudder.gateway.relaying import Relaying
from tinrudder.gateway.request_log import log_coordinator_failed
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError
from tinrudder.wire.gateway_relay_codec import decode_answer, encode_request
from tinrudder.wire.snapshot_codec import MalformedPeerMessageError

ACCEPTANCE_SHARE = 0.3
SHORTEST_ACCEPTANCE_S = 0.025
LONGEST_ACCEPTANCE_S = 0.1


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The other gateway sent nothing and never will, also where it only did not answer in time."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """It had begun, and no usable answer came: its calls cannot be counted."""

    detail: str


HandOverOutcome = ScatterEnd | NotTaken | Lost


async def hand_over(
    relaying: Relaying, coordinator: Address, scatter: ScatterRequest, moments: Moments
) -> HandOverOutcome:
    """Ask one gateway; one that does not serve is left alone for a while."""
    outcome = await _ask(relaying, coordinator, scatter, moments)
    if isinstance(outcome, ScatterEnd):
        relaying.coordinators.succeeded(coordinator)
        return outcome
    log_coordinator_failed(scatter.request_id, coordinator, outcome.detail)
    relaying.forwarding.counters.relays_failed += 1
    relaying.coordinators.failed(coordinator)
    return outcome


async def _ask(
    relaying: Relaying, coordinator: Address, scatter: ScatterRequest, moments: Moments
) -> HandOverOutcome:
    """Send the request and wait for the answer, or for signs that none will come."""
    now = relaying.forwarding.loop.time()
    left_s = moments.deadline_at - now
    acceptance_s = min(_acceptance_s(moments, now), left_s)
    address = PeerAddress(coordinator.host, coordinator.port)
    payload = encode_request(scatter)
    try:
        answer = decode_answer(
            await relaying.client.request(address, payload, left_s, acceptance_s)
        )
    except PeerNotSentError as error:
        return NotTaken(str(error))
    except PeerLostError as error:
        return Lost(str(error))
    except MalformedPeerMessageError as error:
        return Lost(f"{coordinator}: {error}")
    if isinstance(answer, Declined):
        return NotTaken(f"{coordinator}: {answer.detail}")
    took_s = relaying.forwarding.loop.time() - now
    relaying.path_time(coordinator).observe(took_s - answer.elapsed_s)
    return answer


def _acceptance_s(moments: Moments, now: float) -> float:
    """Return how long to wait for the word that the other gateway has begun."""
    share_s = ACCEPTANCE_SHARE * (moments.objective_at - now)
    return min(LONGEST_ACCEPTANCE_S, max(SHORTEST_ACCEPTANCE_S, share_s))
