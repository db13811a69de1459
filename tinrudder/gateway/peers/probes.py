"""Probes peers with single datagrams, and matches their answers to the time of sending.

The number in an answer identifies the probe and thereby when it was sent.  However late or often
an answer arrives, it describes the peer at that time or later, never before.

Owns the probes in flight; relies on the datagrams between gateways, and on a callback that
describes what this gateway knows.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.gateway.peers.correlation_ids import first_correlation_id
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_messages import Probe, ProbeAnswer

PROBE_TIMEOUT_S = 5.0
"""Seconds for which a probe waits for its answer: a later one would be too old to be of use."""


class SentProbe(Struct, frozen=True):
    """A probe in flight."""

    peer: Address
    sent_at: float


AnswerListener = Callable[[SentProbe, ProbeAnswer], None]


class Probes:
    """Sends probes, answers those of peers, and notifies listeners of answers."""

    def __init__(
        self,
        datagrams: PeerDatagrams,
        describe: Callable[[int], ProbeAnswer],
        clock: Callable[[], float],
    ) -> None:
        """Answer each probe of a peer with what ``describe`` returns for its number."""
        self._datagrams = datagrams
        self._describe = describe
        self._clock = clock
        self._number = first_correlation_id()
        self._sent: dict[int, SentProbe] = {}
        self._listeners: list[AnswerListener] = []
        datagrams.handle(Probe, self._on_probe)
        datagrams.handle(ProbeAnswer, self._on_answer)

    def subscribe(self, listener: AnswerListener) -> None:
        """Call ``listener`` with every probe that is answered, and its answer."""
        self._listeners.append(listener)

    def send_probes(self, *peers: Address) -> None:
        """Send a probe to each of the peers."""
        now = self._clock()
        self._drop_expired(now)
        for peer in peers:
            self._number += 1
            self._sent[self._number] = SentProbe(peer, now)
            self._datagrams.send(Probe(self._number), peer)

    def _drop_expired(self, now: float) -> None:
        """Drop probes that have timed out; ``_sent`` is in the order of sending."""
        for number, sent in tuple(self._sent.items()):
            if sent.sent_at > now - PROBE_TIMEOUT_S:
                return
            del self._sent[number]

    def _on_probe(self, probe: Probe, peer: Address) -> None:
        self._datagrams.send(self._describe(probe.number), peer)

    def _on_answer(self, answer: ProbeAnswer, _peer: Address) -> None:
        sent = self._sent.pop(answer.number, None)
        if sent is None:
            return
        for listener in self._listeners:
            listener(sent, answer)
