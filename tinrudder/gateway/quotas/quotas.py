"""Holds tenants to their limits over all gateways: entries report to owners, which keep buckets.

Requests of a tenant that keeps well within its limit run at once and are reported behind; only
while its bucket is nearly empty do entries ask first.  See docs/design/quotas.md.

Owns the reports under way and what was decided for each tenant; relies on the choice of each
bucket's owner, and on the owner to grant.
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
from tinrudder.gateway.peers.correlation_ids import first_number
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import QuotaReport, QuotaVerdict
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.quotas.bucket_owner import TO_EVERYBODY, BucketOwner
from tinrudder.gateway.quotas.bucket_owner_choice import BucketOwnerChoice

REPORT_PAUSE_S = 0.02
"""How long requests of a tenant are gathered for one report: at seven times a limit of a thousand a
second, 140 requests, which the margin of such a limit holds ten times over."""
ANSWER_WITHIN_S = 0.08
"""How long an owner's answer is waited for: 25 round trips of 3 ms, or a scatter's burst of work on
a slow machine twice."""
OWNERS_TRIED = 3
"""One that failed, and one that failed with it."""
RETRY_UNKNOWN_S = 0.3
"""When to come back where no owner answers: it is found anew or avoided by then."""

MOST_UNHEARD = 3
"""Requests of a tenant that an entry admits before the owner of its bucket has answered, at least.
Chosen, not measured: a client's first few run at once, and the margin above a limit holds them."""
UNHEARD_S = 0.05
"""Seconds of a tenant's rate that an entry admits before the owner has answered, if that is more:
two reports and their answers.  A process that stood still finds what its clients sent meanwhile all
at once: 21 were admitted in 0.03 s, of 50 in 5 s."""
OWN_NUMBER = 1
"""Number of reports of a gateway to itself, which are answered on the spot."""

Refusal = OverQuota | NotRun
Decision = Callable[[Refusal | None], None]


class TenantCounts(Struct):
    """What was decided here on one tenant's requests."""

    asked: int = 0
    admitted: int = 0
    over_quota: int = 0
    unknown: int = 0


class _Pending(Struct, eq=False):
    """A report without an answer.

    :param decide: waits for the word on one more request; ``None`` for a mere report.
    """

    tenant: Tenant
    admitted: int
    decide: Decision | None
    owner: Address
    sent_at: float
    tried: int = 0
    timer: asyncio.TimerHandle | None = None


class _Told(Struct, frozen=True):
    """What an owner said that a tenant's bucket held, and when that was heard."""

    tokens: float
    at: float


class Quotas:
    """The entry's side of tenants' limits.

    :ivar bucket_owner: the other side, of the tenants whose bucket this gateway owns.
    :ivar counts: by tenant, of those that the configuration names.
    """

    def __init__(
        self,
        own: Address,
        peers: PeerList,
        zone_monitor: ZoneMonitor,
        datagrams: PeerDatagrams,
        bounds: QuotaBounds,
        find_tenant: Callable[[str], Tenant | None],
    ) -> None:
        """Find tenants, by their names, in the configuration in force."""
        self.counts: dict[str, TenantCounts] = {}
        self._own = own
        self.bucket_owner = BucketOwner(peers, zone_monitor, datagrams, bounds, find_tenant)
        self._zone_monitor = zone_monitor
        self._datagrams = datagrams
        self._bounds = bounds
        self._find_tenant = find_tenant
        self._loop = asyncio.get_running_loop()
        self._choice = BucketOwnerChoice(own, peers, zone_monitor, self._loop.time)
        self._number = first_number()
        self._pressed_until: dict[str, float] = {}
        self._told: dict[str, _Told] = {}
        self._pending: dict[int, _Pending] = {}
        self._unreported: Counter[str] = Counter()
        # Admitted and reported, and not answered yet.
        self._unheard: Counter[str] = Counter()
        self._reporting: asyncio.TimerHandle | None = None
        datagrams.handle(QuotaVerdict, self._on_verdict)

    def admit(self, tenant: Tenant, decide: Decision) -> None:
        """Decide on one request, at once or after an answer of the bucket's owner.

        ``decide`` is told why it may not run, or ``None``.
        """
        counts = self.counts.setdefault(tenant.name, TenantCounts())
        counts.asked += 1
        if tenant.rate_per_s <= 0.0:
            counts.admitted += 1
            decide(None)
        elif self.is_pressed(tenant.name) or self._is_ahead(tenant):
            self._send(_Pending(tenant, 0, self._counted(counts, decide), self._own, 0.0))
        else:
            counts.admitted += 1
            self._note(tenant.name, 1)
            decide(None)

    def _is_ahead(self, tenant: Tenant) -> bool:
        """Tell whether so much was admitted that the owner must be heard first."""
        ahead = self._unreported[tenant.name] + self._unheard[tenant.name]
        return ahead >= max(MOST_UNHEARD, tenant.rate_per_s * UNHEARD_S)

    def give_back(self, tenant: Tenant) -> None:
        """Note that a request which was admitted has not run and never will."""
        if tenant.rate_per_s > 0.0:
            self._note(tenant.name, -1)

    def is_pressed(self, tenant: str) -> bool:
        """Tell whether the owner of the tenant's bucket must be asked first."""
        return self._loop.time() < self._pressed_until.get(tenant, 0.0)

    def owner_of(self, tenant: str) -> Address:
        """Return the gateway that keeps a tenant's bucket, as seen from here."""
        return self._choice.owner_of(tenant)

    def forget_unused(self, tenants: frozenset[str]) -> None:
        """Drop what belongs to tenants that no configuration names any more."""
        for kept in (self.counts, self._pressed_until, self._told):
            for name in kept.keys() - tenants:
                del kept[name]
        self._choice.forget_unused(tenants)
        self.bucket_owner.forget_unused(tenants)

    def _counted(self, counts: TenantCounts, decide: Decision) -> Decision:
        """Return a decision that is counted as well."""

        def decided(refusal: Refusal | None) -> None:
            counts.admitted += refusal is None
            counts.over_quota += isinstance(refusal, OverQuota)
            counts.unknown += isinstance(refusal, NotRun)
            decide(refusal)

        return decided

    def _note(self, tenant: str, admitted: int) -> None:
        """Gather what the next report says."""
        self._unreported[tenant] += admitted
        if self._reporting is None:
            self._reporting = self._loop.call_later(REPORT_PAUSE_S, self._report)

    def _report(self) -> None:
        """Tell owners what was admitted."""
        self._reporting = None
        unreported, self._unreported = self._unreported, Counter()
        for name, admitted in unreported.items():
            tenant = self._find_tenant(name)
            if tenant is not None and admitted:
                self._unheard[name] += admitted
                self._send(_Pending(tenant, admitted, None, self._own, 0.0))

    def _send(self, pending: _Pending) -> None:
        """Send a report to the best owner that was not tried yet, or be the owner."""
        pending.owner = self.owner_of(pending.tenant.name)
        if pending.tried >= OWNERS_TRIED or pending.owner == self._own:
            self._decide_here(pending, alone=pending.tried > 0)
            return
        pending.tried += 1
        pending.sent_at = self._loop.time()
        self._number += 1
        self._pending[self._number] = pending
        timer = self._loop.call_later(ANSWER_WITHIN_S, self._on_silence, self._number)
        pending.timer = timer
        self._datagrams.send(self._report_of(pending, self._number), pending.owner)

    def _report_of(self, pending: _Pending, number: int) -> QuotaReport:
        """Return what is sent to an owner, with what any owner said lately.

        Also what this one said: its process may be another, which has forgotten that.
        """
        name = pending.tenant.name
        told = self._told.get(name)
        held = None
        if told is not None:
            age_s = self._loop.time() - told.at
            if age_s <= self._bounds.window_s:
                held = HeldTokens(told.tokens, age_s)
        return QuotaReport(number, name, pending.admitted, pending.decide is not None, held)

    def _on_silence(self, number: int) -> None:
        """Turn to the next owner."""
        pending = self._pending.pop(number)
        now = self._loop.time()
        self._choice.failed(pending.owner)
        self._zone_monitor.doubt_way_to(pending.owner, pending.sent_at)
        fields: dict[str, LogValue] = {
            "tenant": pending.tenant.name,
            "home": str(pending.owner),
            "detail": f"no answer in {now - pending.sent_at:.3f} s",
        }
        log_event("quota_home_silent", fields)
        self._send(pending)

    def _decide_here(self, pending: _Pending, *, alone: bool) -> None:
        """Be the owner of a report of this gateway's own.

        :param alone: other owners did not answer, so others may be asked elsewhere meanwhile.
        """
        self._note_heard(pending)
        report = self._report_of(pending, OWN_NUMBER)
        verdict = (
            self.bucket_owner.judge_alone(report) if alone else self.bucket_owner.judge(report)
        )
        self._press(verdict)
        if pending.decide is None:
            return
        if alone and not verdict.granted:
            pending.decide(NotRun("quota: no home of the tenant answers", RETRY_UNKNOWN_S))
        else:
            pending.decide(_refusal(pending, verdict))

    def _on_verdict(self, verdict: QuotaVerdict, _owner: Address) -> None:
        """Take an owner's verdict."""
        if verdict.number == TO_EVERYBODY:
            self._press(verdict)
            return
        pending = self._pending.pop(verdict.number, None)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        self._zone_monitor.answered_by(pending.owner)
        self._note_heard(pending)
        self._press(verdict)
        if pending.decide is not None:
            pending.decide(_refusal(pending, verdict))

    def _note_heard(self, pending: _Pending) -> None:
        """Note that a report has reached an owner."""
        name = pending.tenant.name
        self._unheard[name] -= pending.admitted
        if not self._unheard[name]:
            del self._unheard[name]

    def _press(self, verdict: QuotaVerdict) -> None:
        """Note whether the bucket's owner must be asked first, and what the bucket holds."""
        if verdict.tokens is not None:
            self._told[verdict.tenant] = _Told(verdict.tokens, self._loop.time())
        if verdict.pressed_s > 0.0:
            self._pressed_until[verdict.tenant] = self._loop.time() + verdict.pressed_s
        else:
            self._pressed_until.pop(verdict.tenant, None)


def _refusal(pending: _Pending, verdict: QuotaVerdict) -> OverQuota | None:
    """Return what an owner's verdict means for the request that asked."""
    if verdict.granted:
        return None
    tenant = pending.tenant
    detail = (
        f"tenant {tenant.name} is over {tenant.rate_per_s:g} a second and {tenant.burst:g} on top, "
        f"by its quota home {pending.owner}"
    )
    return OverQuota(detail, verdict.wait_s)
