"""States of the claim model: small, immutable and hashable.

Everything that belongs to one voter is in that voter's column, so that sorting the columns makes
states equal that differ only by a permutation of interchangeable voters.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from typing import NamedTuple

from tinrudder.cluster.claims.claim_proposer import ClaimPhase

NO_HOLDER = -1
NOT_YET = -1
NOT_ACCEPTED = ""
EARLY = -100
LATE = 100
FINAL_PHASES = (ClaimPhase.DISPATCHED, ClaimPhase.GIVEN_UP)


@dataclass(frozen=True, slots=True)
class ModelSetup:
    """One setup of the model.

    :param memberships: for each voter a bit set of the lists (0b01 first, 0b10 second) whose
        electorate it belongs to.
    :param restarts: total number of restarts over all voters.
    :param second_list_published: whether a second member list is published.
    :param reduced: leave out steps that can only prevent a later step, and so cannot break a
        promise: a lost or late reply (equivalent to a vote not requested, or to a later
        dispatch), a refusal (a proposer may give up at any time), a vote for a submission that
        no longer asks, a lost release, and a request that cites a subset of another one in
        flight.  ``three-voters-all-steps`` and ``list-moves`` include all steps.
    :param window: ticks from the earliest acceptance to ``valid_until``.
    """

    memberships: tuple[int, ...]
    restarts: int
    second_list_published: bool = False
    skew: int = 0
    window: int = 1
    reduced: bool = True

    @property
    def valid_until(self) -> int:
        """Return when the request expires; no node can act on it before the first tick."""
        return self.window + 1 + 2 * self.skew

    def learned_class(self, learned_at: int) -> int:
        """Return the representative of all learning times with the same effect."""
        early = learned_at < self.valid_until - self.window - 2 * self.skew
        return EARLY if early else LATE

    def started_class(self, started_at: int) -> int:
        """Return the representative of all start times with the same effect."""
        early = started_at + self.skew < self.valid_until - self.window
        return EARLY if early else LATE

    @property
    def last_tick(self) -> int:
        """Return the last tick; by then every voter has dropped its vote."""
        return self.valid_until + self.skew + 1


class Exchange(NamedTuple):
    """Messages in flight between a voter and a submission, and the proposer's view of the voter.

    :param requests: for each request in flight, the electorates it cites, as a bit set.
    :param replies: names of the replies in flight.
    :param record: the voter's vote as the proposer knows it: ``""``, ``granted`` or ``refused``.
    :param cited_to: how many electorates the proposer's last request cited.
    """

    requests: tuple[int, ...] = ()
    replies: tuple[str, ...] = ()
    record: str = ""
    cited_to: int = 0


class Column(NamedTuple):
    """One voter and its exchanges with the submissions.

    :param holder: the submission that holds the voter's vote.
    :param learned_at: when the voter first learned the second list, by its own clock.
    :param knows_second_list: whether the voter knows the second list now.
    """

    offset: int = 0
    started_at: int = EARLY
    holder: int = NO_HOLDER
    learned_at: int = NOT_YET
    knows_second_list: bool = False
    exchanges: tuple[Exchange, Exchange] = (Exchange(), Exchange())


class Submission(NamedTuple):
    """One submission of the request and the proposer that handles it.

    :param phase: a :class:`ClaimPhase`, or ``NOT_ACCEPTED``.
    :param accepted_at: time of acceptance by the proposer's own clock.
    :param cited: the electorates in which it needs a majority, as a bit set.
    """

    offset: int = 0
    phase: str = NOT_ACCEPTED
    accepted_at: int = NOT_YET
    cited: int = 0
    learned_at: int = NOT_YET
    ran: bool = False
    ran_late: bool = False


class State(NamedTuple):
    """The state of the whole model; ``now`` is true time in ticks."""

    now: int
    restarts_left: int
    submissions: tuple[Submission, Submission]
    columns: tuple[Column, ...]

    def with_submission(self, number: int, submission: Submission) -> State:
        """Return the state with one submission replaced."""
        first, second = self.submissions
        pair = (first, submission) if number else (submission, second)
        return self._replace(submissions=pair)

    def with_column(self, position: int, column: Column) -> State:
        """Return the state with one column replaced."""
        columns = (*self.columns[:position], column, *self.columns[position + 1 :])
        return State(self.now, self.restarts_left, self.submissions, columns)

    def with_exchange(self, position: int, number: int, exchange: Exchange) -> State:
        """Return the state with one exchange replaced."""
        column = self.columns[position]
        first, second = column.exchanges
        pair = (first, exchange) if number else (exchange, second)
        return self.with_column(position, _with_exchanges(column, pair))

    def canonical(self, setup: ModelSetup) -> State:
        """Return the representative of all states that differ only by a permutation of names."""
        pruned = self._pruned(setup)
        return min(pruned._sorted(setup), pruned._swapped()._sorted(setup))

    def _pruned(self, setup: ModelSetup) -> State:
        """Drop everything that can no longer have an effect."""
        first, second = self.submissions
        if first.phase in FINAL_PHASES and second.phase in FINAL_PHASES:
            columns: tuple[Column, ...] = tuple(Column() for _ in self.columns)
            return State(setup.last_tick, 0, self.submissions, columns)
        if all(self.now + column.offset >= setup.valid_until for column in self.columns):
            first, second = _give_up_if_asking(first), _give_up_if_asking(second)
        asking = (first.phase == ClaimPhase.ASKING, second.phase == ClaimPhase.ASKING)
        until = setup.valid_until - self.now
        gave_up = tuple(one.phase == ClaimPhase.GIVEN_UP for one in (first, second))
        released_columns = self.columns
        if setup.reduced and any(gave_up):
            released_columns = tuple(_released(column, gave_up) for column in released_columns)
        columns = tuple(
            _pruned_column(column, asking, column.offset >= until, setup.reduced)
            for column in released_columns
        )
        return State(self.now, self.restarts_left, (first, second), columns)

    def _sorted(self, setup: ModelSetup) -> State:
        """Sort the columns of voters with the same memberships."""
        paired = sorted(zip(setup.memberships, self.columns, strict=True))
        columns = tuple(column for _, column in paired)
        return State(self.now, self.restarts_left, self.submissions, columns)

    def _swapped(self) -> State:
        """Return the state with the two submissions swapped."""
        first, second = self.submissions
        columns = tuple(map(_swapped_column, self.columns))
        return State(self.now, self.restarts_left, (second, first), columns)


@cache
def _released(column: Column, gave_up: tuple[bool, ...]) -> Column:
    """Release the voter's vote if it is held by a submission that has given up."""
    if column.holder != NO_HOLDER and gave_up[column.holder]:
        return column._replace(holder=NO_HOLDER)
    return column


def _give_up_if_asking(submission: Submission) -> Submission:
    """Give up a submission that is still asking although every voter can only abstain."""
    if submission.phase != ClaimPhase.ASKING:
        return submission
    return submission._replace(phase=ClaimPhase.GIVEN_UP.value)


@cache
def _with_exchanges(column: Column, exchanges: tuple[Exchange, Exchange]) -> Column:
    return column._replace(exchanges=exchanges)


@cache
def _swapped_column(column: Column) -> Column:
    holder = column.holder if column.holder == NO_HOLDER else 1 - column.holder
    first, second = column.exchanges
    return column._replace(holder=holder, exchanges=(second, first))


@cache
def _pruned_column(
    column: Column, asking: tuple[bool, bool], expired: bool, reduced: bool
) -> Column:
    """Drop replies that no proposer awaits, and requests once the voter can only abstain."""
    first, second = column.exchanges
    if reduced:
        first = first._replace(requests=_undominated(first.requests) if asking[0] else ())
        second = second._replace(requests=_undominated(second.requests) if asking[1] else ())
    pair = (
        _pruned_exchange(first, asking[0], expired),
        _pruned_exchange(second, asking[1], expired),
    )
    return column._replace(exchanges=pair)


def _undominated(requests: tuple[int, ...]) -> tuple[int, ...]:
    """Drop requests that cite a subset of another request's electorates."""
    return tuple(
        one
        for one in requests
        if not any(one != other and one & other == one for other in requests)
    )


def _pruned_exchange(exchange: Exchange, asking: bool, expired: bool) -> Exchange:
    requests = () if expired else exchange.requests
    if asking:
        return exchange._replace(requests=requests)
    return Exchange(requests)
