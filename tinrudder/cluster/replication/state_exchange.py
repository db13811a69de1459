"""Spreads a replicated state between nodes: rumours after a change, anti-entropy for the rest.

A node whose state changed tells a few random peers in each of several rounds; whoever hears of a
state that differs from its own pulls the difference from the sender.  Besides, every node tells
one random peer now and then, which heals lost rumours and joins zones after a cut.  Weighed and
measured in docs/CONFIGURATION.md.
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
"""Failures of a pull that the next notice repairs."""

ASK_NEXT_S = 0.1
"""Seconds between the further peers that a starting node asks, so that those that cannot be
reached cost little.  Chosen, not measured."""
ENOUGH_ANSWERS = 2
"""A second opinion: the first peer that answers may itself have been cut off."""


@dataclass(frozen=True, slots=True)
class ExchangeSettings:
    """How eagerly states spread.

    :param fanout: peers told in each round; :param rounds: rounds after a change.
    :param round_s: seconds between rounds.
    :param anti_entropy_s: mean seconds between notices to one random peer at other times.
    :param first_peers: peers asked at most by a node that has just started.
    """

    fanout: int = 3
    rounds: int = 6
    round_s: float = 0.3
    anti_entropy_s: float = 5.0
    first_peers: int = 5


class StateExchange:
    """Keeps one node's state in step with its peers'."""

    def __init__(
        self,
        state: ReplicatedState,
        transport: PeerTransport,
        timers: Timers,
        source: random.Random,
        peers: PeerSource,
        settings: ExchangeSettings | None = None,
    ) -> None:
        """Exchange ``state`` with whoever ``peers`` names; this node is not among them."""
        self._state = state
        self._transport = transport
        self._timers = timers
        self._random = source
        self._peers = peers
        self._settings = settings or ExchangeSettings()
        self._rounds_left = 0
        self._round_timer: TimerHandle | None = None
        self._idle_timer: TimerHandle | None = None
        self._pulling: asyncio.Task[None] | None = None
        self._next_peer: PeerAddress | None = None
        self._stopped = False
        transport.listen(self._on_notice, self._on_request)

    def start(self) -> None:
        """Begin anti-entropy."""
        self._set_idle_timer()

    def stop(self) -> None:
        """End everything this part does by itself; requests are still answered."""
        self._stopped = True
        for timer in (self._round_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        if self._pulling is not None:
            self._pulling.cancel()

    def announce(self) -> None:
        """Tell others of a change of our state."""
        self._rounds_left = self._settings.rounds
        if self._round_timer is None and not self._stopped:
            self._run_round()

    async def learn_from_peers(self) -> bool:
        """Ask a few random peers for their state, as a node does that has just started.

        As many as are enough are asked at once and each further one a little later, so that peers
        that can't be reached cost little.

        :returns: whether any answered.
        """
        peers = self._sample(self._settings.first_peers)
        asking = [
            asyncio.create_task(self._ask(peer, max(0, number + 1 - ENOUGH_ANSWERS) * ASK_NEXT_S))
            for number, peer in enumerate(peers)
        ]
        answers = 0
        try:
            for finished in asyncio.as_completed(asking):
                answers += await finished
                if answers >= ENOUGH_ANSWERS:
                    break
        finally:
            for task in asking:
                task.cancel()
        return answers > 0

    async def _ask(self, peer: PeerAddress, delay_s: float) -> bool:
        """Pull from a peer after a while; return whether it answered."""
        await asyncio.sleep(delay_s)
        try:
            await pull_state(self._state, self._transport, peer)
        except PULL_ERRORS:
            return False
        return True

    def refresh_now(self) -> None:
        """Compare with a few peers at once: after a pause our state may be far behind."""
        for peer in self._sample(self._settings.fanout):
            self._send_notice(peer)

    def on_newer_revision(self, peer: PeerAddress, revision: int) -> None:
        """Take another part's word that ``peer`` enforces a revision."""
        if revision > self._state.header().revision:
            self._pull(peer)

    def _on_notice(self, source: PeerAddress, payload: bytes) -> None:
        """Compare a peer's state with ours: pull if it has something, tell it if it lags."""
        try:
            theirs = decode_notice(payload)
        except MalformedUpdateError as error:
            log_problem("unreadable notice", {"peer": str(source), "error": str(error)})
            return
        ours = self._state.header()
        if theirs.state_digest == ours.state_digest:
            return
        if theirs.document >= ours.document:
            self._pull(source)
        else:
            self._send_notice(source)

    async def _on_request(self, source: PeerAddress, payload: bytes) -> bytes:
        """Answer a pull."""
        return answer_pull(self._state, payload)

    def _pull(self, peer: PeerAddress) -> None:
        """Pull from a peer; while a pull runs, only the latest further peer is remembered."""
        if self._stopped:
            return
        self._next_peer = peer
        if self._pulling is None or self._pulling.done():
            self._pulling = asyncio.create_task(self._run_pulls())

    async def _run_pulls(self) -> None:
        """Pull until no further peer is known to differ."""
        while self._next_peer is not None:
            peer, self._next_peer = self._next_peer, None
            try:
                answer = await pull_state(self._state, self._transport, peer)
            except PULL_ERRORS as error:
                # Harmless: its rumour returns by another peer, or by anti-entropy.
                log_problem("pull failed", {"peer": str(peer), "error": str(error)})
                continue
            self._after_pull(peer, answer.header)

    def _after_pull(self, peer: PeerAddress, theirs: StateHeader) -> None:
        """Tell the peer if we hold something it does not."""
        if self._state.header().state_digest != theirs.state_digest:
            self._send_notice(peer)

    def _run_round(self) -> None:
        """Tell a few peers; again after a while, as long as rounds are left."""
        self._round_timer = None
        if self._rounds_left <= 0 or self._stopped:
            return
        self._rounds_left -= 1
        for peer in self._sample(self._settings.fanout):
            self._send_notice(peer)
        delay = self._settings.round_s * self._random.uniform(0.5, 1.5)
        self._round_timer = self._timers.call_at(self._timers.time() + delay, self._run_round)

    def _set_idle_timer(self) -> None:
        delay = self._settings.anti_entropy_s * self._random.uniform(0.5, 1.5)
        self._idle_timer = self._timers.call_at(self._timers.time() + delay, self._on_idle)

    def _on_idle(self) -> None:
        """Tell one random peer."""
        for peer in self._sample(1):
            self._send_notice(peer)
        self._set_idle_timer()

    def _send_notice(self, peer: PeerAddress) -> None:
        self._transport.send_datagram(peer, encode_notice(self._state.header()))

    def _sample(self, count: int) -> list[PeerAddress]:
        """Return up to ``count`` distinct random peers."""
        peers = self._peers()
        return self._random.sample(peers, min(count, len(peers)))
