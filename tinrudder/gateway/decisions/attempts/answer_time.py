"""When does a scatter's answer leave, and when is it given up?

An answer is worth the square of the share that is in, within the objective, and a small part of it
later. So before the objective waiting costs nothing and may add parts; at the objective the next
part would have to be worth ten times what is in, so the answer leaves; after it, it leaves as soon
as it suffices.

Inputs: how many shards there are, have answered and may still answer; the least share that makes
an answer, 0 to 1; objective and deadline (monotonic seconds).

Answer: wait until a moment, answer, or fail.

Owns: nothing; it is a function of its inputs.

Shown by: log line ``request`` with the fields ``included``, ``missing_shards`` and ``reasons``;
metric ``tinrudder_gateway_missing_shards``.

When an input is missing or old: all inputs are this gateway's own and of this moment.
"""

from __future__ import annotations

import enum

from msgspec import Struct


class Verdict(enum.Enum):
    """What to do now.

    ``WAIT``: until :attr:`Decision.until` or the next change.  ``FAIL``: no answer can come any
    more, or none in time.
    """

    WAIT = "wait"
    ANSWER = "answer"
    FAIL = "fail"


class ScatterState(Struct, frozen=True):
    """How far a scatter has come.

    :param shards: how many shards its configuration names.
    :param included: how many have answered.
    :param hopeful: how many others may still answer: a call runs, or one may be sent.
    :param minimum_share: the least share of the shards that makes an answer.
    :param objective_at: monotonic time at which an answer must leave to be worth most.
    :param deadline_at: monotonic time at which a final answer must leave.
    """

    shards: int
    included: int
    hopeful: int
    minimum_share: float
    objective_at: float
    deadline_at: float

    @property
    def suffices(self) -> bool:
        """Tell whether what is in makes an answer."""
        return suffices(self.included, self.shards, self.minimum_share)


class Decision(Struct, frozen=True):
    """The verdict and, for :attr:`Verdict.WAIT`, when to decide again."""

    verdict: Verdict
    until: float = 0.0


def suffices(included: int, shards: int, minimum_share: float) -> bool:
    """Tell whether a share is enough; at least one part is needed.

    >>> suffices(18, 20, 0.89), suffices(17, 20, 0.89), suffices(0, 20, 0.0)
    (True, False, False)
    """
    return included > 0 and included >= minimum_share * shards - 1e-9


def decide(state: ScatterState, now: float) -> Decision:
    """Decide whether to wait, answer or fail.

    An answer is worth the square of the share that is in, within the objective, and a small part
    of it later.  So before the objective waiting costs nothing and may add parts; at the objective
    the next part would have to be worth ten times what is in, so the answer leaves; after it, it
    leaves as soon as it suffices.
    """
    if state.included == state.shards:
        return Decision(Verdict.ANSWER)
    if not suffices(state.included + state.hopeful, state.shards, state.minimum_share):
        return Decision(Verdict.FAIL)
    if state.suffices and (state.hopeful == 0 or now >= state.objective_at):
        return Decision(Verdict.ANSWER)
    if now >= state.deadline_at:
        return Decision(Verdict.FAIL)
    until = state.deadline_at
    if state.suffices:
        until = min(until, state.objective_at)
    return Decision(Verdict.WAIT, until)
