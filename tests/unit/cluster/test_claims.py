"""Voters, proposers and electorates: examples, the exhaustive model, and random histories.

Guards against a key that two proposers win, which could run its operation twice.
"""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    multiple,
    rule,
)

from tinrudder.cluster.claims.claim_proposer import ClaimPhase, ClaimProposer, DispatchWindow
from tinrudder.cluster.claims.claim_voter import ClaimVoter
from tinrudder.cluster.claims.claims import (
    Abstained,
    AbstainReason,
    ClaimLimits,
    Granted,
    Held,
    NeedElectorates,
    ProposerId,
    VoteRelease,
    VoteRequest,
    make_claim_key,
)
from tinrudder.cluster.claims.electorate import Voter, VoterList, VoterRanking, make_electorate
from tinrudder.cluster.claims.electorate_history import ElectorateHistory, ListedVoter
from tinrudder.peers import PeerAddress
from tinrudder_lab.claim_model import SMALL_SETUPS, Plant, explore

LIMITS = ClaimLimits(window_s=60.0, clock_skew_s=1.0, settle_s=60.0, removed_wait_s=180.0)
KEY = make_claim_key("plata", "order-1")


def voter(number: int, zone: int = 0) -> Voter:
    return Voter(f"node-{number:02}", f"zone-{zone}", PeerAddress("127.0.0.1", number + 1))


def proposer_id(number: int) -> ProposerId:
    return ProposerId(f"proposer-{number}", number, 1, PeerAddress("127.0.0.1", number + 101))


def request(number: int, valid_until: float = 1050.0, cited: tuple[int, ...] = ()) -> VoteRequest:
    return VoteRequest(KEY, proposer_id(number), valid_until, cited)


def test_a_voter_grants_a_key_once_until_it_expires_or_is_released():
    claim_voter = ClaimVoter(LIMITS, started_at=0.0)
    assert claim_voter.vote(request(1), (), 1000.0) == Granted()
    assert claim_voter.vote(request(1), (), 1001.0) == Granted()
    assert claim_voter.vote(request(2), (), 1002.0) == Held(proposer_id(1))
    claim_voter.release(VoteRelease(KEY, proposer_id(2)))
    assert claim_voter.vote(request(2), (), 1003.0) == Held(proposer_id(1))
    claim_voter.release(VoteRelease(KEY, proposer_id(1)))
    assert claim_voter.vote(request(2), (), 1004.0) == Granted()
    assert claim_voter.vote(request(1), (), 1050.0) == Abstained(AbstainReason.EXPIRED)
    assert claim_voter.held == 1
    claim_voter.vote(request(1), (), 1051.0)
    assert claim_voter.held == 0


@pytest.mark.parametrize(
    ("started_at", "now", "reason"),
    [
        (989.0, 1000.0, AbstainReason.JUST_STARTED),
        (0.0, 988.9, AbstainReason.WINDOW_TOO_LONG),
        (0.0, 1050.0, AbstainReason.EXPIRED),
    ],
)
def test_a_voter_abstains_when_it_cannot_know_whether_it_voted(started_at, now, reason):
    assert ClaimVoter(LIMITS, started_at).vote(request(1), (), now) == Abstained(reason)
    assert ClaimVoter(LIMITS, 988.9).vote(request(1), (), 1000.0) == Granted()


def test_a_clock_set_back_does_not_revive_a_forgotten_key():
    claim_voter = ClaimVoter(LIMITS, started_at=0.0)
    claim_voter.vote(request(1), (), 1000.0)
    claim_voter.vote(request(1), (), 1060.0)
    assert claim_voter.vote(request(2), (), 1000.0) == Abstained(AbstainReason.EXPIRED)


def test_a_proposer_learns_a_newer_list_from_the_voters_and_needs_both_majorities():
    old = make_electorate([voter(1), voter(2), voter(3)])
    new = make_electorate([voter(3), voter(4), voter(5)])
    window = DispatchWindow(50.0, 1050.0)
    proposer = ClaimProposer(proposer_id(1), KEY, 1050.0, window, (old,))
    for one in proposer.voters():
        proposer.request_to(one)
    proposer.on_reply(voter(1), Granted())
    asked = proposer.on_reply(voter(3), NeedElectorates((old, new)))
    assert asked == (voter(3), voter(4), voter(5))
    for one in asked:
        proposer.request_to(one)
    proposer.on_reply(voter(2), Granted())
    assert proposer.phase is ClaimPhase.ASKING
    proposer.on_reply(voter(3), Granted())
    proposer.on_reply(voter(5), Granted())
    assert proposer.phase is ClaimPhase.WON
    assert not proposer.begin_dispatch(50.0, 1000.0)
    assert not proposer.begin_dispatch(40.0, 1050.0)
    assert proposer.begin_dispatch(40.0, 1049.0)
    assert not proposer.begin_dispatch(40.0, 1049.0)
    assert not proposer.give_up()


def test_a_proposer_without_a_majority_in_reach_gives_up_for_good():
    electorate = make_electorate([voter(1), voter(2), voter(3)])
    proposer = ClaimProposer(
        proposer_id(1), KEY, 1050.0, DispatchWindow(50.0, 1050.0), (electorate,)
    )
    proposer.on_reply(voter(1), Held(proposer_id(2)))
    proposer.on_no_reply(voter(2))
    assert proposer.phase is ClaimPhase.GIVEN_UP
    for one in electorate.voters:
        proposer.on_reply(one, Granted())
    assert not proposer.begin_dispatch(0.0, 1000.0)
    without_electorates = ClaimProposer(
        proposer_id(1), KEY, 1050.0, DispatchWindow(50.0, 1050.0), ()
    )
    assert without_electorates.phase is ClaimPhase.GIVEN_UP


def test_one_name_at_two_addresses_is_two_voters():
    moved = Voter(voter(1).name, voter(1).zone, PeerAddress("127.0.0.2", 2))
    electorate = make_electorate([moved, voter(1), voter(2)])
    assert len(electorate.voters) == 3
    assert electorate.fingerprint != make_electorate([voter(1), voter(2), voter(3)]).fingerprint


@pytest.mark.parametrize(("nodes", "zones", "most"), [(12, 3, 2), (12, 4, 2), (4, 3, 1)])
def test_no_zone_has_a_majority_of_an_electorate(nodes, zones, most):
    everyone = [voter(number, number % zones) for number in range(nodes)]
    voters, ranking = VoterList(1, everyone), VoterRanking([*everyone, voter(99)])
    for number in range(200):
        chosen = voters.electorate(ranking.ranked(make_claim_key("t", str(number)).digest)).voters
        names = [one.zone for one in chosen]
        assert max(names.count(zone) for zone in names) <= most
        assert len(set(chosen)) == voters.size
        assert voter(99) not in chosen


def test_a_superseded_list_is_required_until_its_majority_moved_on():
    history = ElectorateHistory(dataclasses.replace(LIMITS, removed_wait_s=10_000.0))
    first = [ListedVoter(voter(number)) for number in (1, 2, 3)]
    second = [ListedVoter(voter(number)) for number in (4, 5, 6)]
    history.learn(1, first, 0.0)
    assert history.learn(2, second, 100.0)
    assert not history.learn(1, first, 101.0)

    def required(valid_until: float) -> list[str]:
        return [one.voters[0].name for one in history.required(KEY, valid_until)]

    assert required(400.0) == ["node-01", "node-04"]
    history.record_known_revision(voter(1).identity, 2, 110.0)
    assert required(400.0) == ["node-01", "node-04"]
    history.record_known_revision(voter(2).identity, 2, 200.0)
    assert required(262.0) == ["node-01", "node-04"]
    assert required(262.1) == ["node-04"]


def test_a_proposer_with_the_only_list_cited_every_electorate():
    history = ElectorateHistory(LIMITS)
    history.learn(1, [ListedVoter(voter(number)) for number in (1, 2, 3)], 0.0)
    assert history.possibly_uncited(KEY, 50.0, same_list=True) == ()
    assert history.possibly_uncited(KEY, 50.0, same_list=False) == history.required(KEY, 50.0) != ()
    history.learn(2, [ListedVoter(voter(number)) for number in (4, 5, 6)], 10.0)
    assert len(history.possibly_uncited(KEY, 50.0, same_list=True)) == 2


def test_machines_off_the_list_for_long_no_longer_count():
    history = ElectorateHistory(LIMITS)
    history.learn(1, [ListedVoter(voter(number)) for number in (1, 2, 3)], 0.0)
    history.learn(2, [ListedVoter(voter(number)) for number in (3, 4, 5)], 100.0)
    assert len(history.required(KEY, 342.0)) == 2
    assert len(history.required(KEY, 342.1)) == 1
    leaving = [ListedVoter(voter(3), leaving=True), *(ListedVoter(voter(n)) for n in (4, 5, 6))]
    history.learn(3, leaving, 1000.0)
    history.learn(4, [ListedVoter(voter(n)) for n in (4, 5, 6)], 5000.0)
    assert history.revision == 4
    assert [len(one.voters) for one in history.required(KEY, 5060.0)] == [3, 3]


@pytest.mark.parametrize("name", SMALL_SETUPS)
def test_the_model_finds_no_broken_promise(name):
    assert explore(name, Plant.NONE, 100_000).promise == ""


@pytest.mark.parametrize("plant", [plant for plant in Plant if plant is not Plant.NONE])
def test_the_model_finds_every_planted_defect(plant):
    assert explore("list-moves", plant, 100_000).promise != ""


NODES = 5
SOME_NODES = st.sets(st.integers(0, NODES - 1), min_size=2)


class ClaimMachine(RuleBasedStateMachine):
    """Random histories with skewed clocks, late member lists, restarts and duplicate requests."""

    submissions = Bundle("submissions")

    @initialize(offsets=st.lists(st.floats(0, 1), min_size=NODES, max_size=NODES))
    def begin(self, offsets):
        self.now = 1000.0
        self.attempts = 0
        self.offsets = offsets
        self.lists = [self.listed((0, 1, 2))]
        self.voters = [ClaimVoter(LIMITS, 0.0) for _ in offsets]
        self.histories = [ElectorateHistory(LIMITS) for _ in offsets]
        for node in range(NODES):
            self.learn_next_list(node)
        self.ran: dict[str, int] = {}

    def listed(self, numbers):
        return [ListedVoter(voter(number, number % 3)) for number in sorted(numbers)]

    def clock(self, node):
        return self.now + self.offsets[node]

    def required(self, node, key, valid_until):
        return self.histories[node].required(key, valid_until)

    @rule(seconds=st.sampled_from((0.5, 10.0, 50.0)))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(nodes=SOME_NODES)
    def change_list(self, nodes):
        numbers = (2, 3, 4) if len(self.lists) % 2 else (0, 1, 2)
        self.lists.append(self.listed(numbers))
        for node in sorted(nodes):
            self.learn_next_list(node)

    @rule(node=st.integers(0, NODES - 1))
    def learn_next_list(self, node):
        revision = self.histories[node].revision + 1
        if revision <= len(self.lists):
            self.histories[node].learn(revision, self.lists[revision - 1], self.clock(node))
            for other, history in enumerate(self.histories):
                history.record_known_revision(voter(node).identity, revision, self.clock(other))

    @rule(node=st.integers(0, NODES - 1))
    def restart_voter(self, node):
        self.voters[node] = ClaimVoter(LIMITS, self.clock(node))

    @rule(
        target=submissions,
        node=st.integers(0, NODES - 1),
        valid_until=st.sampled_from((1059.0, 1250.0)),
        reached=SOME_NODES,
    )
    def submit(self, node, valid_until, reached):
        now = self.clock(node)
        if not now < valid_until <= now + LIMITS.window_s:
            return multiple()
        self.attempts += 1
        key = make_claim_key("t", str(valid_until))
        identity = ProposerId(f"node-{node}", 1, self.attempts, voter(node).address)
        window = DispatchWindow(valid_until, valid_until)
        required = self.required(node, key, valid_until)
        proposer = ClaimProposer(identity, key, valid_until, window, required)
        self.ask(proposer, reached)
        return node, proposer

    @rule(submission=submissions, reached=SOME_NODES)
    def ask_again(self, submission, reached):
        self.ask(submission[1], reached)

    def ask(self, proposer, reached):
        waiting = list(proposer.voters())
        while waiting:
            one = waiting.pop(0)
            number = int(one.name.removeprefix("node-"))
            if number in reached:
                message = proposer.request_to(one)
                required = self.required(number, message.key, message.valid_until)
                reply = self.voters[number].vote(message, required, self.clock(number))
                waiting.extend(proposer.on_reply(one, reply))

    @rule(submission=submissions)
    def dispatch(self, submission):
        node, proposer = submission
        if proposer.begin_dispatch(self.clock(node), self.clock(node)):
            self.ran[proposer.key] = self.ran.get(proposer.key, 0) + 1

    @rule(submission=submissions, reached=SOME_NODES)
    def give_up(self, submission, reached):
        _, proposer = submission
        if proposer.give_up():
            for number in reached:
                self.voters[number].release(VoteRelease(proposer.key, proposer.proposer))

    @invariant()
    def at_most_once(self):
        assert all(times <= 1 for times in getattr(self, "ran", {}).values())


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(max_examples=200, stateful_step_count=25, deadline=None)
