"""Enforces tenants' limits over all gateways: entry gateways report to the owners of token buckets.

Requests of a tenant that is well within its limit run at once and are reported afterwards; only
while its bucket is nearly empty do entry gateways ask its owner first.  See docs/design/quotas.md.

Owns the reports in flight and the counts of decisions for each tenant; relies on the choice of each
bucket's owner, and on the owner to grant requests.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.common.logs import LogValue, log_event
from tinrudder.gateway.decisions.admission.token_buckets import HeldTokens
from tinrudder.gateway.model.configuration import QuotaBounds, Tenant
from tinrudder.gateway.model.outcomes import NotRun, OverQuota
from tinrudder.gateway.peers.correlation_ids import first_correlation_id
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import QuotaReport, QuotaVerdict
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.quotas.bucket_owner import BROADCAST_NUMBER, BucketOwner
from tinrudder.gateway.quotas.bucket_owner_choice import BucketOwnerChoice

REPORT_BATCH_S = 0.02
"""Batching interval of reports, seconds: at seven times a limit of a thousand a second, one report
covers 140 requests; the margin above such a limit is ten times that."""
REPORT_TIMEOUT_S = 0.08
"""Timeout of a report, seconds: 25 round trips of 3 ms, or twice a scatter's burst of work on a
slow machine."""
MAX_OWNERS_TRIED = 3
"""Maximum number of owners asked for one report: one may have failed, and a second with it."""
NO_OWNER_RETRY_S = 0.3
"""Retry delay given to clients while no owner answers, seconds: by then an owner that answers is
found, or the silent one is avoided."""

UNACKNOWLEDGED_REQUESTS = 3
"""Minimum number of a tenant's requests that an entry gateway may admit before the bucket's owner
has acknowledged them: a client's first few run at once, and the margin above a limit covers
them."""
UNACKNOWLEDGED_S = 0.05
"""The same limit as a time at the tenant's rate, seconds; the larger of the two applies. Covers two
reports and their answers. Without this limit, a process that resumed after a pause admitted all
requests sent meanwhile at once: 21 in 0.03 s, where 50 are allowed in 5 s."""
LOCAL_REPORT_NUMBER = 1
"""Report number of a gateway's reports to itself, which are answered synchronously."""

Refusal = OverQuota | NotRun
Decision = Callable[[Refusal | None], None]


class TenantCounts(Struct):
    """Counts of this gateway's decisions on one tenant's requests.

    :param unknown: refused because no owner of the bucket answered.
    """

    asked: int = 0
    admitted: int = 0
    over_quota: int = 0
    unknown: int = 0


class _Pending(Struct, eq=False):
    """A report that is not answered yet.

    :param admitted: requests admitted since the previous report.
    :param decide: called with the decision on one more request; ``None`` if the report does not ask
        for one.
    :param tried: owners asked so far.
    """

    tenant: Tenant
    admitted: int
    decide: Decision | None
    owner: Address
    sent_at: float
    tried: int = 0
    timer: asyncio.TimerHandle | None = None


class _ReportedTokens(Struct, frozen=True):
    """Tokens in a tenant's bucket by an owner's latest verdict, and when it was received."""

    tokens: float
    at: float
    owner: Address


class Quotas:
    """Enforces tenants' limits on the requests that enter at this gateway.

    :ivar bucket_owner: answers reports on the tenants whose bucket this gateway owns.
    :ivar counts: decisions by the name of each configured tenant.
    """

    def __init__(
        self,
        own: Address,
        peers: PeerList,
        zone_monitor: ZoneMonitor,
        datagrams: PeerDatagrams,
        bounds: QuotaBounds,
        find_tenant: Callable[[str], Tenant | None],
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        """Start without reports, and register for owners' verdicts.

        :param find_tenant: returns a tenant of the configuration in force by its name.
        :param is_leaving: returns whether this gateway stops, so that others own the buckets.
        """
        self.counts: dict[str, TenantCounts] = {}
        self._own = own
        self._zone_monitor = zone_monitor
        self._datagrams = datagrams
        self._bounds = bounds
        self._find_tenant = find_tenant
        self._loop = asyncio.get_running_loop()
        self._owner_choice = BucketOwnerChoice(
            own, peers, zone_monitor, self._loop.time, is_leaving
        )
        self.bucket_owner = BucketOwner(
            peers, zone_monitor, datagrams, bounds, find_tenant, self._owner_choice
        )
        self._last_number = first_correlation_id()
        self._pressed_until: dict[str, float] = {}
        self._reported_tokens: dict[str, _ReportedTokens] = {}
        self._pending: dict[int, _Pending] = {}
        self._unreported: Counter[str] = Counter()
        # Requests admitted and reported, but not acknowledged by an owner yet.
        self._unacknowledged: Counter[str] = Counter()
        self._reporting: asyncio.TimerHandle | None = None
        datagrams.handle(QuotaVerdict, self._on_verdict)

    def admit(self, tenant: Tenant, decide: Decision) -> None:
        """Decide on one request, at once or when the bucket's owner has answered.

        :param decide: called with the reason why the request may not run, or ``None``.
        """
        counts = self.counts.setdefault(tenant.name, TenantCounts())
        counts.asked += 1
        if tenant.rate_per_s <= 0.0:
            counts.admitted += 1
            decide(None)
        elif self.is_pressed(tenant.name) or self._must_ask_first(tenant):
            self._send(_Pending(tenant, 0, self._with_counts(counts, decide), self._own, 0.0))
        else:
            counts.admitted += 1
            self._add_to_report(tenant.name, 1)
            decide(None)

    def _must_ask_first(self, tenant: Tenant) -> bool:
        """Return whether too many admitted requests are not yet acknowledged by the owner.

        A gateway that cannot tell who owns the bucket must not admit any unacknowledged one, since
        all gateways may be in that state at once.
        """
        if not self._owner_choice.is_settled():
            return True
        unacknowledged = self._unreported[tenant.name] + self._unacknowledged[tenant.name]
        return unacknowledged >= max(UNACKNOWLEDGED_REQUESTS, tenant.rate_per_s * UNACKNOWLEDGED_S)

    def refund_token(self, tenant: Tenant) -> None:
        """Return the token of an admitted request that has not run and never will."""
        if tenant.rate_per_s > 0.0:
            self._add_to_report(tenant.name, -1)

    def is_pressed(self, tenant: str) -> bool:
        """Return whether the tenant is near its limit, so that the owner must be asked first."""
        return self._loop.time() < self._pressed_until.get(tenant, 0.0)

    def owner_of(self, tenant: str) -> Address:
        """Return the gateway that owns a tenant's bucket in this gateway's view."""
        return self._owner_choice.owner_of(tenant)

    def leave(self) -> None:
        """Hand the buckets of this gateway over: it stops."""
        self._owner_choice.discard()
        self.bucket_owner.leave()

    def forget_unused(self, tenants: frozenset[str]) -> None:
        """Drop the state of tenants that are no longer configured."""
        for by_tenant in (self.counts, self._pressed_until, self._reported_tokens):
            for name in by_tenant.keys() - tenants:
                del by_tenant[name]
        self._owner_choice.forget_unused(tenants)
        self.bucket_owner.forget_unused(tenants)

    def _with_counts(self, counts: TenantCounts, decide: Decision) -> Decision:
        """Wrap ``decide`` so that each decision is counted."""

        def decided(refusal: Refusal | None) -> None:
            counts.admitted += refusal is None
            counts.over_quota += isinstance(refusal, OverQuota)
            counts.unknown += isinstance(refusal, NotRun)
            decide(refusal)

        return decided

    def _add_to_report(self, tenant: str, admitted: int) -> None:
        """Add admitted requests to the next report, and schedule it."""
        self._unreported[tenant] += admitted
        if self._reporting is None:
            self._reporting = self._loop.call_later(REPORT_BATCH_S, self._send_reports)

    def _send_reports(self) -> None:
        """Report admitted requests to the owners."""
        self._reporting = None
        unreported, self._unreported = self._unreported, Counter()
        for name, admitted in unreported.items():
            tenant = self._find_tenant(name)
            if tenant is not None and admitted:
                self._unacknowledged[name] += admitted
                self._send(_Pending(tenant, admitted, None, self._own, 0.0))

    def _send(self, pending: _Pending) -> None:
        """Send a report to its current owner, or decide here if that is this gateway.

        Also decides here after :data:`MAX_OWNERS_TRIED` owners did not answer.
        """
        pending.owner = self.owner_of(pending.tenant.name)
        if pending.tried >= MAX_OWNERS_TRIED or pending.owner == self._own:
            isolated = pending.tried > 0 or not self._owner_choice.is_settled()
            self._decide_locally(pending, isolated=isolated)
            return
        pending.tried += 1
        pending.sent_at = self._loop.time()
        self._last_number += 1
        self._pending[self._last_number] = pending
        timer = self._loop.call_later(REPORT_TIMEOUT_S, self._on_report_timeout, self._last_number)
        pending.timer = timer
        self._datagrams.send(self._make_report(pending, self._last_number), pending.owner)

    def _make_report(self, pending: _Pending, number: int) -> QuotaReport:
        """Return the report to send to an owner, with the token count last received from an owner.

        That count is sent even to the owner that it came from: its process may have restarted and
        lost its buckets.  What another owner told counts without the refill since then, which that
        owner may have granted.
        """
        name = pending.tenant.name
        reported = self._reported_tokens.get(name)
        held = None
        if reported is not None:
            age_s = self._loop.time() - reported.at
            if age_s <= self._bounds.window_s:
                same_owner = reported.owner == pending.owner
                held = HeldTokens(reported.tokens, age_s if same_owner else 0.0)
        insists = self._owner_choice.insists(name)
        asks = pending.decide is not None
        return QuotaReport(number, name, pending.admitted, asks, held, insists)

    def _on_report_timeout(self, number: int) -> None:
        """Handle a report's timeout: avoid the silent owner and send the report to the next."""
        pending = self._pending.pop(number)
        now = self._loop.time()
        self._owner_choice.note_failure(pending.owner)
        self._zone_monitor.note_unanswered_by(pending.owner, pending.sent_at)
        fields: dict[str, LogValue] = {
            "tenant": pending.tenant.name,
            "home": str(pending.owner),
            "detail": f"no answer in {now - pending.sent_at:.3f} s",
        }
        log_event("quota_home_silent", fields)
        self._send(pending)

    def _decide_locally(self, pending: _Pending, *, isolated: bool) -> None:
        """Answer this gateway's own report without another gateway.

        :param isolated: no other owner answered, or none is known yet, so that other gateways may
            grant requests as well.
        """
        self._note_acknowledged(pending)
        report = self._make_report(pending, LOCAL_REPORT_NUMBER)
        verdict = (
            self.bucket_owner.answer_report_isolated(report)
            if isolated
            else self.bucket_owner.answer_report(report)
        )
        self._apply_verdict(verdict, self._own)
        if pending.decide is None:
            return
        if isolated and not verdict.granted:
            pending.decide(NotRun("quota: no home of the tenant answers", NO_OWNER_RETRY_S))
        else:
            pending.decide(_refusal(pending, verdict))

    def _on_verdict(self, verdict: QuotaVerdict, owner: Address) -> None:
        """Apply an owner's verdict."""
        if verdict.number == BROADCAST_NUMBER:
            self._apply_verdict(verdict, owner)
            self._resolve_ownership(verdict, owner)
            return
        pending = self._pending.pop(verdict.number, None)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        self._zone_monitor.answered_by(pending.owner)
        if verdict.owner is not None:
            self._apply_verdict(verdict, owner)
            self._follow_redirection(verdict.tenant, verdict.owner)
            self._send(pending)
            return
        self._note_acknowledged(pending)
        self._apply_verdict(verdict, owner)
        if pending.decide is not None:
            pending.decide(_refusal(pending, verdict))

    def _resolve_ownership(self, verdict: QuotaVerdict, acting: Address) -> None:
        """Leave a bucket with one owner after another gateway was heard to act as its owner.

        A gateway that leaves names the next owner.  An owner that was paused or restarted does not
        know that others have left it: it claims the bucket, with no more tokens than the acting
        owner has, and all others turn to it again.
        """
        if verdict.owner is not None:
            self._owner_choice.note_failure(acting)
            self._follow_redirection(verdict.tenant, verdict.owner)
            return
        self._owner_choice.note_acting(verdict.tenant, acting)
        if self.owner_of(verdict.tenant) == self._own and verdict.tokens is not None:
            self.bucket_owner.claim(verdict.tenant, HeldTokens(verdict.tokens, 0.0))

    def _follow_redirection(self, tenant: str, owner: Address) -> None:
        """Use the owner that another gateway has named."""
        if owner == self._own:
            self._owner_choice.note_asked()
        self._owner_choice.adopt(tenant, owner)

    def _note_acknowledged(self, pending: _Pending) -> None:
        """Record that an owner has received a report."""
        name = pending.tenant.name
        self._unacknowledged[name] -= pending.admitted
        if not self._unacknowledged[name]:
            del self._unacknowledged[name]

    def _apply_verdict(self, verdict: QuotaVerdict, owner: Address) -> None:
        """Record how long the owner must be asked first, and the tokens left in the bucket."""
        if verdict.tokens is not None:
            self._reported_tokens[verdict.tenant] = _ReportedTokens(
                verdict.tokens, self._loop.time(), owner
            )
        if verdict.owner is not None:
            return
        if verdict.pressed_s > 0.0:
            self._pressed_until[verdict.tenant] = self._loop.time() + verdict.pressed_s
        else:
            self._pressed_until.pop(verdict.tenant, None)


def _refusal(pending: _Pending, verdict: QuotaVerdict) -> OverQuota | None:
    """Return the refusal of a request according to an owner's verdict; ``None``: it may run."""
    if verdict.granted:
        return None
    tenant = pending.tenant
    detail = (
        f"tenant {tenant.name} is over {tenant.rate_per_s:g} a second and {tenant.burst:g} on top, "
        f"by its quota home {pending.owner}"
    )
    return OverQuota(detail, verdict.wait_s)
