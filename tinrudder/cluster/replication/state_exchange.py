"""Replicates a state between nodes by gossip after a change, and by periodic anti-entropy.

Owns the timers and the pulls in progress.  After a change a node sends a notice with its state's
header to a few random peers in each of several rounds.  A peer whose state differs pulls the
difference from the sender, or sends a notice back if the sender's document is older.  In addition,
every node periodically sends a notice to one random peer, which makes up for lost notices and
reconciles zones after a partition.  docs/CONFIGURATION.md discusses the design and gives
measurements.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from tinrudder.cluster.replication.replicated_state import (
    MalformedUpdateError,
    ReplicatedState,
    StateHeader,
)
from tinrudder.cluster.replication.state_pull import StateChangedError, answer_pull, pull_state
from tinrudder.cluster.wire.configuration_codec import decode_notice, encode_notice
from tinrudder.common.logs import log_problem
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError, PeerTransport
from tinrudder.timers import TimerHandle, Timers

PeerSource = Callable[[], Sequence[PeerAddress]]
PULL_ERRORS = (MalformedUpdateError, StateChangedError, PeerNotSentError, PeerLostError)
"""Errors of a pull that need no handling, because a later notice causes another pull."""

PULL_STAGGER_S = 0.1
"""Seconds between the starts of further pulls by a starting node, so that unreachable peers delay
it little."""
SUFFICIENT_ANSWERS = 2
"""Peers whose answers a starting node waits for: two, because the first peer to answer may itself
have been partitioned from the others."""


@dataclass(frozen=True, slots=True)
class ExchangeSettings:
    """Parameters of the exchange.

    :param fanout: peers that receive a notice in each round.
    :param rounds: rounds after a change.
    :param round_s: mean seconds between rounds.
    :param anti_entropy_s: mean seconds between the periodic notices to one random peer.
    :param first_peers: most peers that a starting node pulls from.
    """

    fanout: int = 3
    rounds: int = 6
    round_s: float = 0.3
    anti_entropy_s: float = 5.0
    first_peers: int = 5


class StateExchange:
    """Synchronizes one node's state with its peers."""

    def __init__(
        self,
        state: ReplicatedState,
        transport: PeerTransport,
        timers: Timers,
        source: random.Random,
        peers: PeerSource,
        settings: ExchangeSettings | None = None,
    ) -> None:
        """Exchange ``state`` with the peers that ``peers`` returns, which excludes this node."""
        self._state = state
        self._transport = transport
        self._timers = timers
        self._random = source
        self._peers = peers
        self._settings = settings or ExchangeSettings()
        self._rounds_left = 0
        self._round_timer: TimerHandle | None = None
        self._anti_entropy_timer: TimerHandle | None = None
        self._pull_task: asyncio.Task[None] | None = None
        self._next_peer: PeerAddress | None = None
        self._stopped = False
        transport.listen(self._on_notice, self._on_request)

    def start(self) -> None:
        """Start anti-entropy."""
        self._schedule_anti_entropy()

    def stop(self) -> None:
        """Stop the timers and pulls; notices and requests from peers are still answered."""
        self._stopped = True
        for timer in (self._round_timer, self._anti_entropy_timer):
            if timer is not None:
                timer.cancel()
        if self._pull_task is not None:
            self._pull_task.cancel()

    def announce(self) -> None:
        """Start rounds of notices after a change of this node's state."""
        self._rounds_left = self._settings.rounds
        if self._round_timer is None and not self._stopped:
            self._run_round()

    async def learn_from_peers(self) -> bool:
        """Pull from a few random peers when the node starts.

        The first ``SUFFICIENT_ANSWERS`` pulls start at once.  Each further pull starts a little
        later than the one before, so that unreachable peers cause little delay.

        :returns: whether any peer answered.
        """
        peers = self._sample(self._settings.first_peers)
        pulls = [
            asyncio.create_task(
                self._pull_after_delay(
                    peer, max(0, number + 1 - SUFFICIENT_ANSWERS) * PULL_STAGGER_S
                )
            )
            for number, peer in enumerate(peers)
        ]
        answers = 0
        try:
            for finished in asyncio.as_completed(pulls):
                answers += await finished
                if answers >= SUFFICIENT_ANSWERS:
                    break
        finally:
            for task in pulls:
                task.cancel()
        return answers > 0

    async def _pull_after_delay(self, peer: PeerAddress, delay_s: float) -> bool:
        """Pull from a peer after a delay; return whether the pull succeeded."""
        await asyncio.sleep(delay_s)
        try:
            await pull_state(self._state, self._transport, peer)
        except PULL_ERRORS:
            return False
        return True

    def refresh_now(self) -> None:
        """Send a notice to a few peers at once: after a pause this state may be far behind."""
        for peer in self._sample(self._settings.fanout):
            self._send_notice(peer)

    def on_newer_revision(self, peer: PeerAddress, revision: int) -> None:
        """Pull from ``peer``, which enforces ``revision``, if that is newer than this state's."""
        if revision > self._state.header().revision:
            self._request_pull(peer)

    def _on_notice(self, source: PeerAddress, payload: bytes) -> None:
        """Pull if the peer's state differs and is not older; send it a notice if it is older."""
        try:
            theirs = decode_notice(payload)
        except MalformedUpdateError as error:
            log_problem("unreadable notice", {"peer": str(source), "error": str(error)})
            return
        ours = self._state.header()
        if theirs.state_digest == ours.state_digest:
            return
        if theirs.document >= ours.document:
            self._request_pull(source)
        else:
            self._send_notice(source)

    async def _on_request(self, source: PeerAddress, payload: bytes) -> bytes:
        """Answer a peer's pull request."""
        return answer_pull(self._state, payload)

    def _request_pull(self, peer: PeerAddress) -> None:
        """Pull from a peer now, or after the running pull.

        Only the latest peer is remembered for the next pull.
        """
        if self._stopped:
            return
        self._next_peer = peer
        if self._pull_task is None or self._pull_task.done():
            self._pull_task = asyncio.create_task(self._run_pulls())

    async def _run_pulls(self) -> None:
        """Pull from the remembered peers until there is none left."""
        while self._next_peer is not None:
            peer, self._next_peer = self._next_peer, None
            try:
                answer = await pull_state(self._state, self._transport, peer)
            except PULL_ERRORS as error:
                # Safe to skip: another peer's notice or anti-entropy causes a later pull.
                log_problem("pull failed", {"peer": str(peer), "error": str(error)})
                continue
            self._notify_if_different(peer, answer.header)

    def _notify_if_different(self, peer: PeerAddress, theirs: StateHeader) -> None:
        """Send the peer a notice if this state still differs, so that it pulls what it lacks."""
        if self._state.header().state_digest != theirs.state_digest:
            self._send_notice(peer)

    def _run_round(self) -> None:
        """Send notices to a few peers and schedule the next round, if any rounds are left."""
        self._round_timer = None
        if self._rounds_left <= 0 or self._stopped:
            return
        self._rounds_left -= 1
        for peer in self._sample(self._settings.fanout):
            self._send_notice(peer)
        delay = self._settings.round_s * self._random.uniform(0.5, 1.5)
        self._round_timer = self._timers.call_at(self._timers.time() + delay, self._run_round)

    def _schedule_anti_entropy(self) -> None:
        delay = self._settings.anti_entropy_s * self._random.uniform(0.5, 1.5)
        self._anti_entropy_timer = self._timers.call_at(
            self._timers.time() + delay, self._run_anti_entropy
        )

    def _run_anti_entropy(self) -> None:
        """Send a notice to one random peer and schedule the next one."""
        for peer in self._sample(1):
            self._send_notice(peer)
        self._schedule_anti_entropy()

    def _send_notice(self, peer: PeerAddress) -> None:
        self._transport.send_datagram(peer, encode_notice(self._state.header()))

    def _sample(self, count: int) -> list[PeerAddress]:
        """Return up to ``count`` distinct random peers."""
        peers = self._peers()
        return self._random.sample(peers, min(count, len(peers)))
