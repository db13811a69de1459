"""Answers reports on the tenants whose token bucket this gateway owns.

Owns the token buckets assigned to this gateway; relies on the token bucket rule, on the datagrams
between gateways, and on the zone monitor for the share of the fleet that is reachable.
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
from tinrudder.gateway.model.configuration import QuotaBounds, Tenant
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import QuotaReport, QuotaVerdict
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor

BROADCAST_INTERVAL_S = 0.5
"""Minimum interval between broadcasts that a tenant is near its limit, seconds: bounds the time for
which two gateways may both grant a tenant's whole rate, well below the margin above its limit."""
CLAIM_INTERVAL_S = 0.05
"""Minimum interval between claims of a tenant's bucket, seconds: several round trips."""
BROADCAST_NUMBER = 0
"""Report number of a broadcast verdict, which answers no report."""
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
        datagrams.handle(QuotaReport, self._on_report)

    def answer_report(self, report: QuotaReport) -> QuotaVerdict:
        """Answer a report as the owner of the tenant's bucket."""
        share = grantable_share(self._zone_monitor.heard_share, self._bounds.excess)
        verdict = self._grant(self.buckets, report, share)
        if verdict.pressed_s > 0.0:
            self._broadcast(verdict, BROADCAST_INTERVAL_S)
        return verdict

    def answer_report_isolated(self, report: QuotaReport) -> QuotaVerdict:
        """Answer this gateway's own report while no owner answers.

        Other gateways may do the same, so each grants only its share of the rate.
        """
        nodes = self._peers.nodes(self._loop.time())
        share = grantable_share(min(1.0 / nodes, MAX_ISOLATED_SHARE), self._bounds.excess)
        return self._grant(self._isolated_buckets, report, share)

    def claim(self, tenant: str, held: HeldTokens) -> None:
        """Broadcast that this gateway owns a tenant's bucket, unless that was done just before.

        :param held: tokens in the bucket of the gateway that acted as the owner meanwhile.
        """
        share = grantable_share(self._zone_monitor.heard_share, self._bounds.excess)
        verdict = self._grant(self.buckets, QuotaReport(BROADCAST_NUMBER, tenant, held=held), share)
        self._broadcast(verdict, CLAIM_INTERVAL_S)

    def forget_unused(self, tenants: frozenset[str]) -> None:
        """Drop idle buckets, and the broadcasts on tenants that are no longer configured."""
        self._broadcast_at = {
            name: at for name, at in self._broadcast_at.items() if name in tenants
        }
        now = self._loop.time()
        self.buckets.evict_idle(now)
        self._isolated_buckets.evict_idle(now)

    def _on_report(self, report: QuotaReport, entry: Address) -> None:
        """Send the verdict on a report to its entry gateway."""
        self._datagrams.send(self.answer_report(report), entry)

    def _grant(self, buckets: TokenBuckets, report: QuotaReport, share: float) -> QuotaVerdict:
        """Take tokens from a tenant's bucket; a tenant without a limit is always granted."""
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
