"""Answers reports on the tenants whose token bucket this gateway owns.

Owns the token buckets assigned to this gateway; relies on the token bucket rule, on the choice of
owners, on the datagrams between gateways, and on the zone monitor for the share of the fleet that
is reachable.

A bucket must not refill at two gateways for the same time.  An owner that stood still leaves out
the time in which others could not wait for it; an owner that leaves names the next one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tinrudder.common.address import Address
from tinrudder.common.logs import LogValue, log_event
from tinrudder.gateway.decisions.admission.token_buckets import (
    HeldTokens,
    QuotaLimit,
    TokenBuckets,
    grantable_share,
)
from tinrudder.gateway.decisions.fleet.fleet_size import LARGEST_FLEET
from tinrudder.gateway.model.configuration import QuotaBounds, Tenant
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import QuotaReport, QuotaVerdict
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.quotas.bucket_owner_choice import BucketOwnerChoice

BROADCAST_INTERVAL_S = 0.5
"""Minimum interval between broadcasts that a tenant is near its limit, seconds: bounds the time for
which two gateways may both grant a tenant's whole rate, well below the margin above its limit."""
CLAIM_INTERVAL_S = 0.05
"""Minimum interval between claims of a tenant's bucket, seconds: several round trips."""
BROADCAST_NUMBER = 0
"""Report number of a broadcast verdict, which answers no report."""
LIVENESS_INTERVAL_S = 0.04
"""Interval at which an owner of a bucket in use records that it runs, seconds: half of
:data:`SILENCE_S`."""
SILENCE_S = 0.08
"""How long an owner may be silent before entry gateways turn to another one, seconds: the time-out
of a report."""
REDIRECT_RETRY_S = 0.1
"""Retry delay for an entry gateway that cannot follow a redirection, seconds: several round
trips."""
UNHEARD_S = 1.2
"""Seconds without a datagram of any other gateway after which an owner counts as isolated: two
digests at their longest intervals.  Until then another gateway may grant the rate too, which the
margin covers once."""
MAX_ISOLATED_SHARE = 0.49
"""Maximum share of the fleet that a gateway without an answer from any owner assumes for itself:
with more than half it would grant the whole rate."""


class BucketOwner:
    """Answers reports of entry gateways, and broadcasts which tenants are near their limit.

    :ivar buckets: the token buckets that this gateway owns.
    """

    def __init__(
        self,
        peers: PeerList,
        zone_monitor: ZoneMonitor,
        datagrams: PeerDatagrams,
        bounds: QuotaBounds,
        find_tenant: Callable[[str], Tenant | None],
        owner_choice: BucketOwnerChoice,
    ) -> None:
        """Register for reports.

        :param find_tenant: returns a tenant of the configuration in force by its name.
        """
        self._peers = peers
        self._zone_monitor = zone_monitor
        self._datagrams = datagrams
        self._bounds = bounds
        self._find_tenant = find_tenant
        self._loop = asyncio.get_running_loop()
        self.buckets = TokenBuckets(self._loop.time())
        # Used where no owner answers.  Separate, so that it takes no tokens from other entries.
        self._isolated_buckets = TokenBuckets(self._loop.time())
        self._broadcast_at: dict[str, float] = {}
        self._owner_choice = owner_choice
        self._alive_at = self._loop.time()
        self._liveness: asyncio.TimerHandle | None = None
        datagrams.handle(QuotaReport, self._on_report)

    def answer_report(self, report: QuotaReport) -> QuotaVerdict:
        """Answer a report as the owner of the tenant's bucket."""
        verdict = self._grant(self.buckets, report, self._share())
        if verdict.pressed_s > 0.0:
            self._broadcast(verdict, BROADCAST_INTERVAL_S)
            self._watch_liveness()
        return verdict

    def answer_report_isolated(self, report: QuotaReport) -> QuotaVerdict:
        """Answer this gateway's own report while no owner answers.

        Other gateways may do the same, so each grants only its share of the rate.
        """
        return self._grant(self._isolated_buckets, report, self._isolated_share())

    def claim(self, tenant: str, held: HeldTokens) -> None:
        """Broadcast that this gateway owns a tenant's bucket, unless that was done just before.

        :param held: tokens in the bucket of the gateway that acted as the owner meanwhile.
        """
        report = QuotaReport(BROADCAST_NUMBER, tenant, held=held)
        verdict = self._grant(self.buckets, report, self._share())
        self._broadcast(verdict, CLAIM_INTERVAL_S)

    def leave(self) -> None:
        """Hand the buckets over to their next owners, with their tokens."""
        now = self._loop.time()
        peers = [member.address for member in self._peers.candidates(now)]
        for tenant in self.buckets.held():
            owner = self._owner_choice.redirection(tenant)
            if owner is None:
                continue
            verdict = self._redirect(QuotaReport(BROADCAST_NUMBER, tenant), owner)
            self._datagrams.send(verdict, *peers)
            log_event("quota_handed_over", {"tenant": tenant, "home": str(owner)})

    def forget_unused(self, tenants: frozenset[str]) -> None:
        """Drop idle buckets, and the broadcasts on tenants that are no longer configured."""
        self._broadcast_at = {
            name: at for name, at in self._broadcast_at.items() if name in tenants
        }
        now = self._loop.time()
        self.buckets.evict_idle(now)
        self._isolated_buckets.evict_idle(now)

    def _on_report(self, report: QuotaReport, entry: Address) -> None:
        """Send the verdict on a report to its entry gateway, or the gateway to ask instead."""
        owner = None if report.insists else self._owner_choice.redirection(report.tenant)
        if owner is not None:
            self._datagrams.send(self._redirect(report, owner), entry)
            return
        self._owner_choice.note_asked()
        self._datagrams.send(self.answer_report(report), entry)

    def _redirect(self, report: QuotaReport, owner: Address) -> QuotaVerdict:
        """Return the verdict that names another gateway as the owner."""
        held = self.buckets.held().get(report.tenant)
        return QuotaVerdict(
            report.number,
            report.tenant,
            granted=False,
            wait_s=REDIRECT_RETRY_S,
            tokens=held,
            owner=owner,
        )

    def _share(self) -> float:
        """Return the part of a tenant's rate that this gateway may grant as an owner."""
        if self._is_isolated():
            return self._isolated_share()
        return grantable_share(self._zone_monitor.heard_share, self._bounds.excess)

    def _is_isolated(self) -> bool:
        """Return whether other gateways may act as owners of the same buckets, unheard here.

        Those that leave, that have just started or that hear nobody cannot rule it out.
        """
        if self._peers.fleet_size.is_alone:
            return False
        if not self._owner_choice.may_own():
            return True
        return self._loop.time() - self._datagrams.received_at > UNHEARD_S

    def _isolated_share(self) -> float:
        """Return the part of a rate that each of all gateways without contact may grant."""
        is_settled = self._owner_choice.is_settled()
        nodes = self._peers.most_nodes(self._loop.time()) if is_settled else LARGEST_FLEET
        return grantable_share(min(1.0 / nodes, MAX_ISOLATED_SHARE), self._bounds.excess)

    def _watch_liveness(self) -> None:
        """Record regularly that this process runs, while some tenant is near its limit."""
        if self._liveness is None:
            self._liveness = self._loop.call_later(LIVENESS_INTERVAL_S, self._check_liveness)

    def _check_liveness(self) -> None:
        """Record that this process runs, and go on while some tenant is near its limit."""
        self._note_alive()
        self._liveness = None
        if self.buckets.pressed(self._loop.time()):
            self._watch_liveness()

    def _note_alive(self) -> None:
        """Leave the time in which this process stood still out of all buckets' refill.

        Others may have granted that time's tokens.  They turn back to this gateway when it claims
        its buckets.
        """
        now = self._loop.time()
        stood_still_s = now - self._alive_at - SILENCE_S
        is_watched = self._liveness is not None
        self._alive_at = now
        # Without the timer, the time since the last record says nothing about a pause.
        if not is_watched or stood_still_s <= LIVENESS_INTERVAL_S:
            return
        self.buckets.skip_refill(stood_still_s)
        for tenant in self.buckets.pressed(now - stood_still_s - SILENCE_S):
            if self._owner_choice.redirection(tenant) is None:
                self.claim(tenant, HeldTokens(self.buckets.tokens(tenant), 0.0))

    def _grant(self, buckets: TokenBuckets, report: QuotaReport, share: float) -> QuotaVerdict:
        """Take tokens from a tenant's bucket; a tenant without a limit is always granted."""
        self._note_alive()
        tenant = self._find_tenant(report.tenant)
        if tenant is None or tenant.rate_per_s <= 0.0:
            return QuotaVerdict(report.number, report.tenant)
        bounds = self._bounds
        limit = QuotaLimit.of(
            tenant.rate_per_s, tenant.burst, bounds.window_s, bounds.excess, bounds.slack
        )
        grant = buckets.report(
            report.tenant,
            limit,
            self._loop.time(),
            share,
            admitted=report.admitted,
            asks=report.asks,
            held=report.held,
        )
        return QuotaVerdict(
            report.number,
            report.tenant,
            grant.granted,
            grant.wait_s,
            grant.pressed_s,
            grant.tokens,
        )

    def _broadcast(self, verdict: QuotaVerdict, min_interval_s: float) -> None:
        """Broadcast how near a tenant is to its limit, unless that was done just before."""
        now = self._loop.time()
        tenant, pressed_s = verdict.tenant, verdict.pressed_s
        if now - self._broadcast_at.get(tenant, float("-inf")) < min_interval_s:
            return
        self._broadcast_at[tenant] = now
        peers = [member.address for member in self._peers.candidates(now)]
        broadcast = QuotaVerdict(
            BROADCAST_NUMBER, tenant, pressed_s=pressed_s, tokens=verdict.tokens
        )
        self._datagrams.send(broadcast, *peers)
        fields: dict[str, LogValue] = {
            "tenant": tenant,
            "tokens": round(self.buckets.tokens(tenant), 1),
            "pressed_s": round(pressed_s, 3),
            "told": len(peers),
        }
        log_event("quota_pressed", fields)
