"""An answer to a probe counts from the time the probe was sent, even if late, repeated or stray."""

from __future__ import annotations

from typing import Any

from tests.support.store_revisions import at
from tinrudder.common.address import Address
from tinrudder.gateway.peers.peer_messages import Probe, ProbeAnswer
from tinrudder.gateway.peers.probes import PROBE_TIMEOUT_S, Probes, SentProbe

PEER = Address("10.0.0.1", 80)


class FakeDatagrams:
    """Records sent datagrams, and delivers those that the test passes in."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.handlers: dict[Any, Any] = {}

    def handle(self, kind: Any, handler: Any) -> None:
        self.handlers[kind] = handler

    def send(self, datagram: Any, *peers: Address) -> None:
        self.sent += [(datagram, peer) for peer in peers]

    def arrive(self, datagram: Any) -> None:
        self.handlers[type(datagram)](datagram, PEER)


def make_probes() -> tuple[FakeDatagrams, Probes, list[float], list[tuple[SentProbe, ProbeAnswer]]]:
    datagrams, now = FakeDatagrams(), [100.0]
    answers: list[tuple[SentProbe, ProbeAnswer]] = []
    probes = Probes(
        datagrams,  # type: ignore[arg-type]
        lambda number: ProbeAnswer(number, at(7), 0.5),
        lambda: now[0],
    )
    probes.subscribe(lambda sent, answer: answers.append((sent, answer)))
    return datagrams, probes, now, answers


def test_an_answer_counts_from_when_the_question_left() -> None:
    datagrams, probes, now, answers = make_probes()
    probes.send_probes(PEER)
    (probe, _) = datagrams.sent[0]
    now[0] += 4.0
    answer = ProbeAnswer(probe.number, at(7), 0.5)
    datagrams.arrive(answer)
    assert answers == [(SentProbe(PEER, 100.0), answer)]


def test_an_answer_counts_once_and_only_if_it_was_asked_for() -> None:
    datagrams, probes, _, answers = make_probes()
    probes.send_probes(PEER)
    (probe, _) = datagrams.sent[0]
    for number in (probe.number, probe.number, probe.number + 1):
        datagrams.arrive(ProbeAnswer(number, at(7), 0.5))
    assert len(answers) == 1


def test_an_answer_to_the_process_before_matches_nothing() -> None:
    """Each process starts its numbering at another random number."""
    before, probes_before, _, _ = make_probes()
    datagrams, probes, _, answers = make_probes()
    probes_before.send_probes(PEER)
    probes.send_probes(PEER)
    (probe, _) = before.sent[0]
    datagrams.arrive(ProbeAnswer(probe.number, at(7), 0.5))
    assert answers == []


def test_questions_without_an_answer_are_forgotten() -> None:
    datagrams, probes, now, answers = make_probes()
    probes.send_probes(PEER)
    (probe, _) = datagrams.sent[0]
    now[0] += PROBE_TIMEOUT_S
    probes.send_probes(PEER)
    datagrams.arrive(ProbeAnswer(probe.number, at(7), 0.5))
    assert answers == []


def test_a_question_is_answered_with_its_number() -> None:
    datagrams, _, _, _ = make_probes()
    datagrams.arrive(Probe(42))
    assert datagrams.sent == [(ProbeAnswer(42, at(7), 0.5), PEER)]
