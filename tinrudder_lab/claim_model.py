"""Exhaustive model of claims: every interleaving of a few voters and two submissions of one key.

The decisions are made by the product's own classes (voter, proposer, electorate history).  The
model simulates their environment: a network that loses, duplicates and reorders messages, clocks,
restarts, suspended proposers, and a member list that changes during the run.  States are hashed,
and states that differ only by a permutation of interchangeable voters or submissions count once;
the names in a printed history may therefore be swapped from one step to the next.

    python -m tinrudder_lab.claim_model --json
"""

from __future__ import annotations

import argparse
import itertools
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from tinrudder.cluster.claims.claim_proposer import ClaimPhase
from tinrudder_lab.claim_model_actors import ABSTAINED, HELD, Actors, Plant
from tinrudder_lab.claim_model_state import (
    NOT_ACCEPTED,
    NOT_YET,
    Column,
    Exchange,
    ModelSetup,
    State,
    Submission,
)

SMALL_SETUPS = ("three-voters-all-steps", "five-voters", "list-grows")


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise and the sequence of steps that leads to it."""

    promise: str
    history: tuple[str, ...]


class ModelReport(msgspec.Struct, frozen=True):
    """The result of one exploration."""

    setup: str
    plant: str
    states: int
    transitions: int
    seconds: float
    promise: str
    history: tuple[str, ...]


def standard_setups() -> dict[str, ModelSetup]:
    """Return the setups of the model by name.

    Times are in ticks; every request is valid until ``valid_until`` and may be accepted from
    ``window`` ticks before that.
    """
    three = (0b1, 0b1, 0b1)
    five = (0b1,) * 5
    one_replaced = (0b01, 0b10, 0b11, 0b11)
    two_replaced = (0b01, 0b01, 0b10, 0b10, 0b11)
    return {
        "three-voters-all-steps": ModelSetup(three, restarts=1, window=2, reduced=False),
        "three-voters": ModelSetup(three, restarts=2, window=2),
        "three-voters-skew": ModelSetup(three, restarts=2, skew=1, window=2),
        "five-voters": ModelSetup(five, restarts=3, window=2),
        "five-voters-skew": ModelSetup(five, restarts=2, skew=1, window=2),
        "list-moves": ModelSetup(
            (0b01, 0b10), restarts=1, second_list_published=True, reduced=False
        ),
        "list-grows": ModelSetup((0b10, 0b10, 0b11), restarts=1, second_list_published=True),
        "one-of-three-replaced": ModelSetup(one_replaced, restarts=0, second_list_published=True),
        "one-of-three-replaced-restart": ModelSetup(
            one_replaced, restarts=1, second_list_published=True
        ),
        "two-of-three-replaced": ModelSetup(two_replaced, restarts=0, second_list_published=True),
    }


class Exploration:
    """Explores all reachable states of one setup."""

    def __init__(self, setup: ModelSetup, plant: Plant = Plant.NONE) -> None:
        """Prepare the exploration; :meth:`run` performs it."""
        self.setup = setup
        self.actors = Actors(setup, plant)
        self.transitions = 0
        self.predecessors: dict[State, tuple[State | None, str]] = {}

    def run(self, max_states: int) -> Violation | None:
        """Explore; return the first violation found.

        :raises RuntimeError: there are more states than ``max_states``.
        """
        frontier = [state.canonical(self.setup) for state in self._initial_states()]
        for state in frontier:
            self.predecessors[state] = (None, "start")
        while frontier:
            state = frontier.pop()
            for step, after in self._steps(state):
                if after == state:
                    continue
                self.transitions += 1
                following = after.canonical(self.setup)
                if following in self.predecessors:
                    continue
                self.predecessors[following] = (state, step)
                promise = violated_promise(following, self.setup)
                if promise is not None:
                    return Violation(promise, self._history(following))
                if len(self.predecessors) > max_states:
                    raise RuntimeError(f"more than {max_states} states")
                frontier.append(following)
        return None

    def _history(self, state: State) -> tuple[str, ...]:
        steps: list[str] = []
        current: State | None = state
        while current is not None:
            current, step = self.predecessors[current]
            steps.append(step)
        return tuple(reversed(steps))

    def _initial_states(self) -> Iterator[State]:
        """Yield one state for each combination of clock offsets within the skew."""
        offsets = range(self.setup.skew + 1)
        voters = len(self.setup.memberships)
        for voter_offsets in itertools.product(offsets, repeat=voters):
            for offsets_of in itertools.product(offsets, repeat=2):
                columns = tuple(Column(offset=offset) for offset in voter_offsets)
                first, second = (Submission(offset=offset) for offset in offsets_of)
                yield State(0, self.setup.restarts, (first, second), columns)

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the name and the resulting state of every possible next step."""
        if state.now < self.setup.last_tick:
            yield f"tick to {state.now + 1}", state._replace(now=state.now + 1)
        for number, submission in enumerate(state.submissions):
            yield from self._submission_steps(state, number, submission)
        for position, column in enumerate(state.columns):
            yield from self._voter_steps(state, position, column)

    def _submission_steps(
        self, state: State, number: int, submission: Submission
    ) -> Iterator[tuple[str, State]]:
        name = f"submission {number}"
        waiting = submission.phase == NOT_ACCEPTED
        if self.setup.second_list_published and waiting and submission.learned_at == NOT_YET:
            learned_at = self.setup.learned_class(state.now + submission.offset)
            learned = submission._replace(learned_at=learned_at)
            yield f"{name} learns list 2", state.with_submission(number, learned)
        if waiting:
            started = self.actors.start(state, number)
            if started is not None:
                yield f"{name} accepted, asks for votes", started
            return
        sent = self.actors.dispatch(state, number)
        if sent is not None:
            yield f"{name} is sent", sent
        given_up = self.actors.give_up(state, number)
        if given_up is not None:
            yield f"{name} gives up", given_up

    def _voter_steps(
        self, state: State, position: int, column: Column
    ) -> Iterator[tuple[str, State]]:
        name = f"voter {position}"
        if state.restarts_left:
            yield f"{name} restarts", self.actors.restart(state, position)
        if self.setup.second_list_published and column.learned_at == NOT_YET:
            learned_at = self.setup.learned_class(state.now + column.offset)
            learned = column._replace(learned_at=learned_at, knows_second_list=True)
            yield f"{name} learns list 2", state.with_column(position, learned)
        for number, exchange in enumerate(column.exchanges):
            yield from self._exchange_steps(state, position, number, exchange)

    def _exchange_steps(
        self, state: State, position: int, number: int, exchange: Exchange
    ) -> Iterator[tuple[str, State]]:
        names = f"voter {position}, submission {number}"
        for cited in exchange.requests:
            voted, reply = self.actors.vote(state, position, number, cited)
            if not self.setup.reduced:
                sent = self.actors.send_reply(voted, position, number, reply)
                yield f"{names}: request arrives", sent
                continue
            if reply in (HELD, ABSTAINED):
                continue
            replied = self.actors.reply(voted, position, number, reply)
            yield f"{names}: request arrives, {reply}", replied
        for reply in exchange.replies:
            yield f"{names}: {reply} arrives", self.actors.reply(state, position, number, reply)
        gave_up = state.submissions[number].phase == ClaimPhase.GIVEN_UP
        if gave_up and state.columns[position].holder == number:
            yield f"{names}: release arrives", self.actors.release(state, position, number)


def violated_promise(state: State, setup: ModelSetup) -> str | None:
    """Return the promise that a state breaks."""
    if sum(submission.ran for submission in state.submissions) > 1:
        return "a request that must not be repeated runs at most once"
    for submission in state.submissions:
        if submission.ran and submission.phase == ClaimPhase.GIVEN_UP:
            return "a request reported as not run did not run"
        if submission.ran_late:
            return "nothing is sent after its request has expired"
    return None


def explore(name: str, plant: Plant, max_states: int) -> ModelReport:
    """Explore one setup and return a report."""
    started = time.perf_counter()
    exploration = Exploration(standard_setups()[name], plant)
    violation = exploration.run(max_states)
    return ModelReport(
        name,
        plant.value,
        len(exploration.predecessors),
        exploration.transitions,
        round(time.perf_counter() - started, 2),
        violation.promise if violation else "",
        violation.history if violation else (),
    )


def main() -> int:
    """Explore the selected setups; return 1 if a promise is broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--setup", action="append", choices=sorted(standard_setups()))
    parser.add_argument(
        "--small", action="store_true", help="explore only the setups of the CI run"
    )
    parser.add_argument("--plant", type=Plant, default=Plant.NONE, choices=list(Plant))
    parser.add_argument("--max-states", type=int, default=5_000_000)
    parser.add_argument("--json", action="store_true", help="one JSON line per setup")
    arguments = parser.parse_args()
    names = arguments.setup or (SMALL_SETUPS if arguments.small else tuple(standard_setups()))
    broken = False
    for name in names:
        report = explore(name, arguments.plant, arguments.max_states)
        broken = broken or bool(report.promise)
        if arguments.json:
            print(msgspec.json.encode(report).decode(), flush=True)
            continue
        verdict = f"BROKEN: {report.promise}" if report.promise else "holds"
        print(f"{name}: {report.states} states, {report.seconds} s, {verdict}", flush=True)
        for step in report.history:
            print(f"    {step}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
