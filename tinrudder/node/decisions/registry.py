"""Registry of policies by role and name, as used in the ``policies`` field of query rules.

Owns the policy names.  An unknown role or name is a validation error of the rule (see
``tinrudder.node.resources.validation``).  Stored rules may contain any of these names, so none may
be removed.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final, TypeVar

from tinrudder.node.decisions.call_retry_budget import BudgetedRetry, RetryPolicy, UnbudgetedRetry
from tinrudder.node.decisions.ejection import EjectionPolicy, NeverEject, OutlierEjection
from tinrudder.node.decisions.hedge_by_quantile import HedgePolicy, NoHedge, QuantileHedge
from tinrudder.node.decisions.replica_choice import (
    LeastLoadedReplica,
    RandomReplica,
    ReplicaChoicePolicy,
)

PolicyType = TypeVar("PolicyType")


class Role(enum.StrEnum):
    """Kind of decision that a policy makes."""

    REPLICA_CHOICE = "replica_choice"
    HEDGE = "hedge"
    RETRY = "retry"
    EJECTION = "ejection"


@dataclass(frozen=True, slots=True)
class PolicyContext:
    """Dependencies of policy factories: a monotonic clock in seconds and a source of randomness."""

    clock: Callable[[], float]
    random: random.Random


Factory = Callable[[PolicyContext], PolicyType]

REPLICA_CHOICE_POLICIES: Final[Mapping[str, Factory[ReplicaChoicePolicy]]] = {
    "least-loaded": lambda context: LeastLoadedReplica(context.clock),
    "random": lambda context: RandomReplica(context.random),
}
HEDGE_POLICIES: Final[Mapping[str, Factory[HedgePolicy]]] = {
    "quantile": lambda context: QuantileHedge(),
    "none": lambda context: NoHedge(),
}
RETRY_POLICIES: Final[Mapping[str, Factory[RetryPolicy]]] = {
    "budgeted": lambda context: BudgetedRetry(),
    "unbudgeted": lambda context: UnbudgetedRetry(),
}
EJECTION_POLICIES: Final[Mapping[str, Factory[EjectionPolicy]]] = {
    "outlier": lambda context: OutlierEjection(),
    "never": lambda context: NeverEject(),
}
DEFAULTS: Final[Mapping[Role, str]] = {
    Role.REPLICA_CHOICE: "least-loaded",
    Role.HEDGE: "quantile",
    Role.RETRY: "budgeted",
    Role.EJECTION: "outlier",
}


def policy_names_by_role() -> dict[str, frozenset[str]]:
    """Return the policy names that a rule may use for each role.

    >>> sorted(policy_names_by_role()["hedge"])
    ['none', 'quantile']
    """
    return {
        Role.REPLICA_CHOICE.value: frozenset(REPLICA_CHOICE_POLICIES),
        Role.HEDGE.value: frozenset(HEDGE_POLICIES),
        Role.RETRY.value: frozenset(RETRY_POLICIES),
        Role.EJECTION.value: frozenset(EJECTION_POLICIES),
    }


def policy_name(role: Role, policies: Mapping[str, str]) -> str:
    """Return the policy name that a rule sets for a role, or the role's default."""
    return policies.get(role.value, DEFAULTS[role])
