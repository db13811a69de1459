"""Routing of one service on this node: its policies and the observations of its calls.

Owns the latency window of each service and its policies by name, created by ``registry``.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Generic

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.call_retry_budget import RetryPolicy
from tinrudder.node.decisions.ejection import EjectionPolicy
from tinrudder.node.decisions.hedge_by_quantile import HedgePolicy
from tinrudder.node.decisions.registry import (
    DEFAULTS,
    EJECTION_POLICIES,
    HEDGE_POLICIES,
    REPLICA_CHOICE_POLICIES,
    RETRY_POLICIES,
    Factory,
    PolicyContext,
    PolicyType,
    Role,
    policy_name,
)
from tinrudder.node.decisions.replica_choice import ReplicaChoicePolicy


@dataclass(slots=True, eq=False)
class ServiceRouting:
    """The policies that a rule sets, with state shared by all queries of the service."""

    choice: ReplicaChoicePolicy
    hedge: HedgePolicy
    retry: RetryPolicy
    ejection: EjectionPolicy
    latency: LatencyWindow = field(default_factory=LatencyWindow)

    def credit_first_calls(self, first_calls: int) -> None:
        """Credit the retry and hedge budgets with a query's first calls."""
        self.hedge.credit_first_calls(first_calls)
        self.retry.credit_first_calls(first_calls)

    def candidates(
        self,
        replicas: tuple[BackendRecord, ...],
        tried: tuple[BackendRecord, ...],
        now: float,
        *,
        may_probe: bool,
    ) -> tuple[BackendRecord, ...]:
        """Return the replicas that may get a call: healthy ones, else ejected ones.

        :param tried: replicas that the call was sent to before.
        :param may_probe: whether the call may probe an ejected back end, which is then the only
            candidate.
        """
        if not tried:
            for backend in replicas:
                if backend.leaving or backend.health.ejected:
                    break
            else:
                return replicas
        remaining = tuple(b for b in replicas if not b.leaving and b not in tried)
        for backend in remaining:
            if not may_probe or not backend.health.ejected or not backend.may_send():
                continue
            if self.ejection.may_probe(backend, now):
                return (backend,)
        return tuple(b for b in remaining if not b.health.ejected) or remaining

    def hedge_delay_s(self, hedges: int) -> float | None:
        """Return the age of a shard's latest call at which it is hedged; ``None`` for no hedge."""
        return self.hedge.delay_s(self.latency, hedges)

    def choose_hedge(
        self, replicas: tuple[BackendRecord, ...], tried: tuple[BackendRecord, ...]
    ) -> BackendRecord | None:
        """Return the replica for a hedge, ``None`` if no healthy replica can take it.

        Untried replicas are preferred.  Without one the hedge goes to a tried replica, which may
        answer the second copy sooner because most slow calls are slow by chance.  A back end for
        which calls wait gets no hedge: the hedge would take the place of a first call.
        """
        healthy = [b for b in replicas if not b.leaving and not b.health.ejected and not b.waiting]
        untried = [backend for backend in healthy if backend not in tried]
        return self.choice.choose(untried or healthy)

    def observe_answer(
        self, backend: BackendRecord, latency_s: float, reported: int | None, now: float
    ) -> None:
        """Record an answer.

        :param reported: calls in flight by the back end's load report, ``None`` without a report.
        """
        self.latency.observe(latency_s)
        self.ejection.observe_answer(backend, latency_s, now)
        if reported is not None:
            health = backend.health
            health.reported_others = max(0, reported - backend.in_flight)
            health.reported_at = now

    def observe_superseded(self, backend: BackendRecord, waited_s: float, now: float) -> None:
        """Record a call that was cancelled because its hedge was answered first.

        Its age, which exceeds the hedge delay, counts in the latency window: without it, hedges
        would remove the tail from the distribution that determines the hedge delay.
        """
        self.latency.observe(waited_s)
        self.observe_cancelled(backend, waited_s, now)

    def observe_cancelled(self, backend: BackendRecord, waited_s: float, now: float) -> None:
        """Record a call that was cancelled before it was answered."""
        backend.observe_unanswered(waited_s)
        self.ejection.observe_unanswered(backend, now)

    def observe_failure(self, backend: BackendRecord, now: float) -> None:
        """Record a call that failed or could not be sent."""
        self.ejection.observe_failure(backend, now)


class _SharedPolicies(Generic[PolicyType]):
    """Policies of one role, one per service and name, created on first use."""

    def __init__(
        self, role: Role, factories: Mapping[str, Factory[PolicyType]], context: PolicyContext
    ) -> None:
        """Create policies with ``factories``."""
        self._role = role
        self._factories = factories
        self._context = context
        self._policies: dict[tuple[str, str], PolicyType] = {}

    def get(self, service: str, policies: Mapping[str, str]) -> PolicyType:
        """Return the policy that a rule of ``service`` sets, or the default."""
        name = policy_name(self._role, policies)
        if name not in self._factories:
            # A newer release in the same cluster accepted a policy that this release lacks.
            name = DEFAULTS[self._role]
        policy = self._policies.get((service, name))
        if policy is None:
            policy = self._factories[name](self._context)
            self._policies[(service, name)] = policy
        return policy


class RoutingTable:
    """Routing by service; rules of one service that set the same policy share its state."""

    def __init__(self, clock: Callable[[], float], source: random.Random) -> None:
        """Create policies with this clock and this source of randomness."""
        context = PolicyContext(clock, source)
        self._choices = _SharedPolicies(Role.REPLICA_CHOICE, REPLICA_CHOICE_POLICIES, context)
        self._hedges = _SharedPolicies(Role.HEDGE, HEDGE_POLICIES, context)
        self._retries = _SharedPolicies(Role.RETRY, RETRY_POLICIES, context)
        self._ejections = _SharedPolicies(Role.EJECTION, EJECTION_POLICIES, context)
        self._windows: dict[str, LatencyWindow] = {}

    def routing_of(self, service: str, policies: Mapping[str, str]) -> ServiceRouting:
        """Return the routing of a service with the policies that a rule sets."""
        return ServiceRouting(
            self._choices.get(service, policies),
            self._hedges.get(service, policies),
            self._retries.get(service, policies),
            self._ejections.get(service, policies),
            self._windows.setdefault(service, LatencyWindow()),
        )
