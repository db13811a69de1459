"""Admission control for requests that one back end runs: refuses those that would be late.

Owns the recent request rate of each tenant.  Depends on the rule in
:mod:`tinrudder.gateway.decisions.admission.shared_service`, whose inputs are the queues that back
ends reported to this gateway or to its peers, and the typical time of a call, seconds.  Scatters
are admitted by :mod:`tinrudder.gateway.scatters.scatter_admission`.
"""

from __future__ import annotations

from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.decisions.admission.retry_after import retry_after_by_share_s
from tinrudder.gateway.decisions.admission.shared_service import AdmittedShare, decide_admission
from tinrudder.gateway.decisions.admission.tenant_shares import TenantShares
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.outcomes import NotRun
from tinrudder.gateway.runs.call_context import CallContext


class ServiceAdmission:
    """Admits requests to services where any one back end can run them."""

    def __init__(self, call_context: CallContext) -> None:
        """Read the reported queues through ``call_context``."""
        self._call_context = call_context
        self._tenants = TenantShares()

    def refusal(
        self,
        route: Route,
        service: str,
        deadlines: Deadlines,
        priority_steps: int,
        tenant: str = "",
    ) -> NotRun | None:
        """Return the refusal of a request, with the values that led to it; ``None`` admits it.

        :param priority_steps: how many configured priorities are more urgent than the request's.
        :param tenant: the name of its tenant; empty without one.
        """
        now = deadlines.received_at
        if tenant:
            self._tenants.note(tenant, now)
        admitted = self._admitted_share(route, service, deadlines, priority_steps, now)
        share = admitted.share
        if tenant:
            share = self._tenants.share_of(tenant, share, now)
        if share >= 1.0 or self._call_context.random.random() < share:
            return None
        left_s = deadlines.objective_at - now
        detail = f"overload: wait {admitted.wait_s:.3f} s, share {share:.2f}, left {left_s:.3f} s"
        return self._not_run(detail, AdmittedShare(share, admitted.wait_s), deadlines, now)

    def after_rejections(
        self,
        detail: str,
        route: Route,
        service: str,
        deadlines: Deadlines,
        min_retry_after_s: float,
    ) -> NotRun:
        """Return the refusal of a request that back ends rejected.

        :param min_retry_after_s: the shortest ``Retry-After``, seconds, for rejections that the
            reported queues do not explain.
        """
        now = self._call_context.loop.time()
        admitted = self._admitted_share(route, service, deadlines, 0, now)
        refusal = self._not_run(detail, admitted, deadlines, now)
        return NotRun(detail, max(min_retry_after_s, refusal.retry_after_s))

    def _admitted_share(
        self, route: Route, service: str, deadlines: Deadlines, priority_steps: int, now: float
    ) -> AdmittedShare:
        """Return the share of such requests to admit, from the latest reports."""
        backends = self._call_context.observations(service)
        return decide_admission(
            backends,
            now,
            self._call_context.typical_time_s(route, backends),
            deadlines.objective_at - now,
            priority_steps=priority_steps,
            returning=deadlines.returning,
            late=deadlines.late,
        )

    def _not_run(
        self, detail: str, admitted: AdmittedShare, deadlines: Deadlines, now: float
    ) -> NotRun:
        """Return a refusal with its ``Retry-After``."""
        left_s = deadlines.deadline_at - now
        draw = self._call_context.random.random()
        return NotRun(detail, retry_after_by_share_s(admitted.wait_s, admitted.share, left_s, draw))
