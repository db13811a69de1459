"""Runs the product's claim classes, or planted defects of them, on states of the claim model."""

from __future__ import annotations

import enum
from typing import NamedTuple

from tinrudder.cluster.claims.claim_proposer import ClaimPhase, ClaimProposer, DispatchWindow
from tinrudder.cluster.claims.claim_voter import ClaimVoter
from tinrudder.cluster.claims.claims import (
    Abstained,
    AbstainReason,
    ClaimKey,
    ClaimLimits,
    Granted,
    Held,
    NeedElectorates,
    ProposerId,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from tinrudder.cluster.claims.electorate import Electorate, Voter, make_electorate
from tinrudder.cluster.claims.electorate_history import ElectorateHistory, ListedVoter
from tinrudder.peers import PeerAddress
from tinrudder_lab.claim_model_state import (
    NO_HOLDER,
    NOT_ACCEPTED,
    NOT_YET,
    Column,
    ModelSetup,
    State,
)
from tinrudder_lab.claim_plants import AlwaysOpenWindow, ForgetfulVoter, UnsafeGiveUpProposer

KEY = ClaimKey(bytes(16))
FIRST_LIST, SECOND_LIST = 1, 2
FIRST_BIT, SECOND_BIT = 0b01, 0b10
GRANTED, HELD, ABSTAINED, NEED = "granted", "held", "abstained", "need"
REFUSED = "refused"


class ProposerMemory(NamedTuple):
    """The part of a proposer's state on which its next decision depends.

    :param records: for each voter, its vote and how many electorates the last request to it cited.
    """

    number: int
    phase: str
    cited: int
    records: tuple[tuple[str, int], ...]


class Plant(enum.StrEnum):
    """Planted defects that the model must find."""

    NONE = "none"
    VOTER_FORGETS_START = "voter-forgets-start"
    HONOURED_AFTER_PAUSE = "claim-honoured-after-pause"
    ONLY_OWN_LIST = "only-own-list"
    RELEASE_AFTER_DISPATCH = "release-after-dispatch"
    LIST_LOST_AT_RESTART = "list-lost-at-restart"


class Actors:
    """Performs the steps of the model that run product code."""

    def __init__(self, setup: ModelSetup, plant: Plant) -> None:
        """Use the product's classes, or a planted defect in place of one."""
        self._setup = setup
        self._plant = plant
        self._limits = ClaimLimits(setup.window, setup.skew, 0, 10_000)
        self._voters = tuple(_voter(number) for number in range(len(setup.memberships)))
        self._electorates = {bit: self._electorate(bit) for bit in (FIRST_BIT, SECOND_BIT)}
        self._bits = {one.fingerprint: bit for bit, one in self._electorates.items()}
        self._voter_class = ClaimVoter
        if plant is Plant.VOTER_FORGETS_START:
            self._voter_class = ForgetfulVoter
        self._required_cache: dict[object, int] = {}
        self._vote_cache: dict[object, tuple[int, str]] = {}
        self._give_up_cache: dict[ProposerMemory, ProposerMemory | None] = {}
        self._reply_cache: dict[object, tuple[ProposerMemory, tuple[tuple[int, int], ...]]] = {}

    def start(self, state: State, number: int) -> State | None:
        """Accept a submission if it is within its time window, and ask its voters for votes."""
        submission = state.submissions[number]
        now = state.now + submission.offset
        if not now < self._setup.valid_until <= now + self._setup.window:
            return None
        cited = self._required(state, submission.learned_at)
        accepted = submission._replace(phase=ClaimPhase.ASKING.value, accepted_at=now, cited=cited)
        state = state.with_submission(number, accepted)
        proposer = self._proposer(self._load_memory(state, number))
        return self._put_in_flight(state, number, self._requests(proposer, proposer.voters()))

    def dispatch(self, state: State, number: int) -> State | None:
        """Dispatch if the product permits it with both clocks right or with one of them frozen."""
        submission = state.submissions[number]
        if submission.phase != ClaimPhase.WON:
            return None
        now = state.now + submission.offset
        frozen_at = submission.accepted_at
        for monotonic, wall in ((now, now), (frozen_at, now), (now, frozen_at)):
            proposer = self._proposer(self._load_memory(state, number))
            if proposer.begin_dispatch(monotonic, wall):
                late = now >= self._setup.valid_until
                phase = proposer.phase.value
                ran = submission._replace(phase=phase, ran=True, ran_late=late)
                return state.with_submission(number, ran)
        return None

    def give_up(self, state: State, number: int) -> State | None:
        """Let a proposer give up, if it may; its votes may be released from then on."""
        memory = self._load_memory(state, number)
        if memory not in self._give_up_cache:
            proposer = self._proposer(memory)
            may = proposer.give_up()
            self._give_up_cache[memory] = self._extract_memory(proposer) if may else None
        after = self._give_up_cache[memory]
        return None if after is None else self._write_back(state, number, after)

    def restart(self, state: State, position: int) -> State:
        """Restart a voter: it loses its votes, and the second list only with a planted defect."""
        column = state.columns[position]
        knows_second_list = (
            column.knows_second_list and self._plant is not Plant.LIST_LOST_AT_RESTART
        )
        restarted_column = column._replace(
            started_at=self._setup.started_class(state.now + column.offset),
            holder=NO_HOLDER,
            knows_second_list=knows_second_list,
        )
        restarted = state.with_column(position, restarted_column)
        return restarted._replace(restarts_left=state.restarts_left - 1)

    def vote(self, state: State, position: int, number: int, cited: int) -> tuple[State, str]:
        """Deliver a request to a voter and return its reply; the request may be delivered again."""
        column = state.columns[position]
        now = state.now + column.offset
        required = self._required(state, column.learned_at if column.knows_second_list else NOT_YET)
        cache_key = (column.started_at, column.holder, now, number, cited, required)
        if cache_key not in self._vote_cache:
            self._vote_cache[cache_key] = self._run_vote(column, now, number, cited, required)
        holder, reply = self._vote_cache[cache_key]
        if holder == column.holder:
            return state, reply
        return state.with_column(position, column._replace(holder=holder)), reply

    def send_reply(self, state: State, position: int, number: int, reply: str) -> State:
        """Add a reply to the messages in flight."""
        exchange = state.columns[position].exchanges[number]
        replies = tuple(sorted({*exchange.replies, reply}))
        return state.with_exchange(position, number, exchange._replace(replies=replies))

    def reply(self, state: State, position: int, number: int, reply: str) -> State:
        """Deliver a reply to a proposer; the reply may be delivered again."""
        memory = self._load_memory(state, number)
        cache_key = (memory, position, reply)
        if cache_key not in self._reply_cache:
            proposer = self._proposer(memory)
            voters_to_ask = proposer.on_reply(self._voters[position], self._message(reply, number))
            requests = self._requests(proposer, voters_to_ask)
            self._reply_cache[cache_key] = (self._extract_memory(proposer), requests)
        after, requests = self._reply_cache[cache_key]
        return self._put_in_flight(self._write_back(state, number, after), number, requests)

    def release(self, state: State, position: int, number: int) -> State:
        """Deliver a release to a voter; it may be delivered again."""
        column = state.columns[position]
        voter = self._restore_voter(column)
        voter.release(VoteRelease(KEY, _proposer_id(number)))
        holder = column.holder if voter.held else NO_HOLDER
        return state.with_column(position, column._replace(holder=holder))

    def _run_vote(
        self, column: Column, now: int, number: int, cited: int, required: int
    ) -> tuple[int, str]:
        voter = self._restore_voter(column)
        fingerprints = tuple(one.fingerprint for one in self._electorates_of(cited))
        request = VoteRequest(KEY, _proposer_id(number), self._setup.valid_until, fingerprints)
        reply = voter.vote(request, self._electorates_of(required), now)
        holder = column.holder
        if not voter.held:
            holder = NO_HOLDER
        elif isinstance(reply, Granted):
            holder = number
        return holder, self._name(reply)

    def _restore_voter(self, column: Column) -> ClaimVoter:
        """Return a voter in the state of a column; its grant is recreated by a vote."""
        voter = self._voter_class(self._limits, -100)
        if column.holder != NO_HOLDER:
            holder = _proposer_id(column.holder)
            at = self._setup.valid_until - self._setup.window
            request = VoteRequest(KEY, holder, self._setup.valid_until, ())
            assert voter.vote(request, (), at) == Granted()
        voter.started_at = column.started_at
        return voter

    def _load_memory(self, state: State, number: int) -> ProposerMemory:
        """Return a proposer's memory from a state."""
        submission = state.submissions[number]
        exchanges = [column.exchanges[number] for column in state.columns]
        records = tuple((exchange.record, exchange.cited_to) for exchange in exchanges)
        return ProposerMemory(number, submission.phase, submission.cited, records)

    def _proposer(self, memory: ProposerMemory) -> ClaimProposer:
        """Return a proposer of the product with the given memory."""
        window_class = DispatchWindow
        if self._plant is Plant.HONOURED_AFTER_PAUSE:
            window_class = AlwaysOpenWindow
        until = self._setup.valid_until
        window = window_class(until, until)
        proposer_class = ClaimProposer
        if self._plant is Plant.RELEASE_AFTER_DISPATCH:
            proposer_class = UnsafeGiveUpProposer
        electorates = self._electorates_of(memory.cited)
        proposer = proposer_class(_proposer_id(memory.number), KEY, until, window, electorates)
        for voter, (record, cited_to) in zip(self._voters, memory.records, strict=True):
            if record == GRANTED:
                proposer.granted.add(voter)
            elif record == REFUSED:
                proposer.refused.add(voter)
            if cited_to:
                proposer.cited_counts[voter] = cited_to
        if memory.phase != NOT_ACCEPTED:
            proposer.phase = ClaimPhase(memory.phase)
        return proposer

    def _extract_memory(self, proposer: ClaimProposer) -> ProposerMemory:
        """Return the memory of a proposer of the product."""
        cited = sum(self._bits[fingerprint] for fingerprint in proposer.electorates)
        records = []
        for voter in self._voters:
            record = GRANTED if voter in proposer.granted else ""
            if voter in proposer.refused:
                record = REFUSED
            records.append((record, proposer.cited_counts.get(voter, 0)))
        number = proposer.proposer.instance
        return ProposerMemory(number, proposer.phase.value, cited, tuple(records))

    def _requests(
        self, proposer: ClaimProposer, voters: tuple[Voter, ...]
    ) -> tuple[tuple[int, int], ...]:
        """Return the position and cited electorates of requests to ``voters``."""
        requests = []
        for voter in voters:
            request = proposer.request_to(voter)
            cited = sum(self._bits[fingerprint] for fingerprint in request.cited)
            requests.append((self._voters.index(voter), cited))
        return tuple(requests)

    def _write_back(self, state: State, number: int, memory: ProposerMemory) -> State:
        """Return the state with a proposer's memory written to it."""
        submission = state.submissions[number]
        submission = submission._replace(phase=memory.phase, cited=memory.cited)
        state = state.with_submission(number, submission)
        for position, (record, cited_to) in enumerate(memory.records):
            exchange = state.columns[position].exchanges[number]
            after = exchange._replace(record=record, cited_to=cited_to)
            if after != exchange:
                state = state.with_exchange(position, number, after)
        return state

    def _put_in_flight(
        self, state: State, number: int, requests: tuple[tuple[int, int], ...]
    ) -> State:
        """Add requests to the messages in flight."""
        for position, cited in requests:
            exchange = state.columns[position].exchanges[number]
            in_flight = tuple(sorted({*exchange.requests, cited}))
            cited_to = cited.bit_count()
            exchange = exchange._replace(requests=in_flight, cited_to=cited_to)
            state = state.with_exchange(position, number, exchange)
        return state

    def _required(self, state: State, learned_at: int) -> int:
        """Return the electorates that a node requires.

        The model assumes that the node learns at once which lists each voter knows, so that as many
        lists as possible are sealed.
        """
        cache_key = (learned_at, tuple(column.learned_at for column in state.columns))
        if learned_at == NOT_YET:
            return FIRST_BIT
        if self._plant is Plant.ONLY_OWN_LIST:
            return SECOND_BIT
        if cache_key not in self._required_cache:
            history = ElectorateHistory(self._limits)
            history.learn(FIRST_LIST, self._listed(FIRST_BIT), -100)
            history.learn(SECOND_LIST, self._listed(SECOND_BIT), learned_at)
            for voter, column in zip(self._voters, state.columns, strict=True):
                if column.learned_at != NOT_YET:
                    history.record_known_revision(voter.identity, SECOND_LIST, column.learned_at)
            required = history.required(KEY, self._setup.valid_until)
            self._required_cache[cache_key] = sum(self._bits[one.fingerprint] for one in required)
        return self._required_cache[cache_key]

    def _electorate(self, bit: int) -> Electorate:
        return make_electorate([listed.voter for listed in self._listed(bit)])

    def _listed(self, bit: int) -> list[ListedVoter]:
        members = zip(self._voters, self._setup.memberships, strict=True)
        return [ListedVoter(voter) for voter, membership in members if membership & bit]

    def _electorates_of(self, bits: int) -> tuple[Electorate, ...]:
        return tuple(one for bit, one in self._electorates.items() if bits & bit)

    def _name(self, reply: VoteReply) -> str:
        match reply:
            case Granted():
                return GRANTED
            case Held():
                return HELD
            case Abstained():
                return ABSTAINED
            case NeedElectorates(electorates):
                return NEED + str(sum(self._bits[one.fingerprint] for one in electorates))

    def _message(self, name: str, number: int) -> VoteReply:
        if name == GRANTED:
            return Granted()
        if name == HELD:
            return Held(_proposer_id(1 - number))
        if name == ABSTAINED:
            return Abstained(AbstainReason.JUST_STARTED)
        return NeedElectorates(self._electorates_of(int(name.removeprefix(NEED))))


def _voter(number: int) -> Voter:
    return Voter(f"voter-{number}", f"zone-{number}", PeerAddress("127.0.0.1", number + 1))


def _proposer_id(number: int) -> ProposerId:
    return ProposerId(f"proposer-{number}", number, 1, PeerAddress("127.0.0.1", number + 101))
