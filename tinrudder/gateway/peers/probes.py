"""Questions of one datagram to other gateways, and what their answers prove.

An answer is matched by its number to the moment at which the question left.  Whatever delays it,
and however often it comes, it proves something of that moment or later, never of one before.

Owns the questions under way; relies on the datagrams between gateways, and on who answers to
describe what it knows.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.gateway.peers.correlation_ids import first_number
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_messages import Probe, ProbeAnswer

REMEMBERED_S = 5.0
"""How long an answer is waited for: what it proves would be too old to be of use later."""


class SentProbe(Struct, frozen=True):
    """A question under way."""

    peer: Address
    sent_at: float


AnswerListener = Callable[[SentProbe, ProbeAnswer], None]


class Probes:
    """Asks peers, answers theirs, and tells listeners of answers."""

    def __init__(
        self,
        datagrams: PeerDatagrams,
        describe: Callable[[int], ProbeAnswer],
        clock: Callable[[], float],
    ) -> None:
        """Answer what peers ask with what ``describe`` returns for a question's number."""
        self._datagrams = datagrams
        self._describe = describe
        self._clock = clock
        self._number = first_number()
        self._sent: dict[int, SentProbe] = {}
        self._listeners: list[AnswerListener] = []
        datagrams.handle(Probe, self._on_probe)
        datagrams.handle(ProbeAnswer, self._on_answer)

    def subscribe(self, listener: AnswerListener) -> None:
        """Tell ``listener`` of every answer."""
        self._listeners.append(listener)

    def ask(self, *peers: Address) -> None:
        """Ask some peers."""
        now = self._clock()
        self._forget(now)
        for peer in peers:
            self._number += 1
            self._sent[self._number] = SentProbe(peer, now)
            self._datagrams.send(Probe(self._number), peer)

    def _forget(self, now: float) -> None:
        """Drop questions that are too old; they stand in the order in which they left."""
        for number, sent in tuple(self._sent.items()):
            if sent.sent_at > now - REMEMBERED_S:
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
