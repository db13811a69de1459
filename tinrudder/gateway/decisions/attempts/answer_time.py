"""When is a scatter's answer sent, and when does the scatter fail?

Within the objective, the value of an answer is the square of the share of shards that it includes;
later, it is a small fraction of that. Before the objective, waiting costs nothing and may add
shards. At the objective the answer is sent if it has enough shards: further waiting would pay only
if the next shard added ten times the current value. Otherwise it is sent as soon as it has enough.

Inputs: the numbers of all shards, of shards that have answered and of others that may still answer;
the minimum share for an answer, 0 to 1; objective and deadline (monotonic seconds).

Answer: wait until a time, answer, or fail.

Owns: nothing; it is a function of its inputs.

Shown by: log line ``request`` with the fields ``included``, ``missing_shards`` and ``reasons``;
metric ``tinrudder_gateway_missing_shards``.

When an input is missing or old: not applicable: all inputs are the current state of this gateway.
"""

from __future__ import annotations

import enum

from msgspec import Struct


class Verdict(enum.Enum):
    """What to do now.

    ``WAIT``: until :attr:`Decision.until` or the next change. ``FAIL``: no sufficient answer is
    possible any more, or the deadline has passed.
    """

    WAIT = "wait"
    ANSWER = "answer"
    FAIL = "fail"


class ScatterState(Struct, frozen=True):
    """The progress of a scatter.

    :param shards: number of shards in its configuration.
    :param included: number that have answered.
    :param outstanding: number of other shards that may still answer: a call is in flight or can be
        sent.
    :param minimum_share: the minimum share of shards for an answer.
    :param objective_at: monotonic time until which an answer has its full value.
    :param deadline_at: monotonic time at which a final answer must be sent.
    """

    shards: int
    included: int
    outstanding: int
    minimum_share: float
    objective_at: float
    deadline_at: float

    @property
    def suffices(self) -> bool:
        """Return whether enough shards have answered."""
        return suffices(self.included, self.shards, self.minimum_share)


class Decision(Struct, frozen=True):
    """The verdict and, for :attr:`Verdict.WAIT`, when to decide again."""

    verdict: Verdict
    until: float = 0.0


def suffices(included: int, shards: int, minimum_share: float) -> bool:
    """Return whether enough shards have answered; at least one is required.

    >>> suffices(18, 20, 0.89), suffices(17, 20, 0.89), suffices(0, 20, 0.0)
    (True, False, False)
    """
    return included > 0 and included >= minimum_share * shards - 1e-9


def decide(state: ScatterState, now: float) -> Decision:
    """Decide whether to wait, answer or fail; the module docstring gives the reasons."""
    if state.included == state.shards:
        return Decision(Verdict.ANSWER)
    if not suffices(state.included + state.outstanding, state.shards, state.minimum_share):
        return Decision(Verdict.FAIL)
    if state.suffices and (state.outstanding == 0 or now >= state.objective_at):
        return Decision(Verdict.ANSWER)
    if now >= state.deadline_at:
        return Decision(Verdict.FAIL)
    until = state.deadline_at
    if state.suffices:
        until = min(until, state.objective_at)
    return Decision(Verdict.WAIT, until)
