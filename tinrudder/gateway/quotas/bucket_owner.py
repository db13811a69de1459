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
    QuotaLimit,
    TokenBuckets,
    part_of_rate,
)
from tinrudder.gateway.model.configuration import QuotaBounds, Tenant
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import QuotaReport, QuotaVerdict
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor

TOLD_AGAIN_S = 1.0
"""Minimum interval between broadcasts that a tenant is near its limit, seconds: half of their
validity."""
TO_EVERYBODY = 0
"""Report number of a broadcast verdict, which answers no report."""
ALONE_SHARE = 0.49
"""Maximum share of the fleet assumed by a gateway that no owner answers: a share above half would
grant the whole rate."""


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
        self._alone = TokenBuckets(self._loop.time())
        self._told_at: dict[str, float] = {}
        datagrams.handle(QuotaReport, self._on_report)

    def judge(self, report: QuotaReport) -> QuotaVerdict:
        """Answer a report as the owner of the tenant's bucket."""
        share = part_of_rate(self._zone_monitor.heard_share, self._bounds.excess)
        verdict = self._grant(self.buckets, report, share)
        if verdict.pressed_s > 0.0:
            self._tell_everybody(verdict)
        return verdict

    def judge_alone(self, report: QuotaReport) -> QuotaVerdict:
        """Answer this gateway's own report while no owner answers.

        Other gateways may do the same, so each grants only its share of the rate.
        """
        nodes = self._peers.nodes(self._loop.time())
        share = part_of_rate(min(1.0 / nodes, ALONE_SHARE), self._bounds.excess)
        return self._grant(self._alone, report, share)

    def forget_unused(self, tenants: frozenset[str]) -> None:
        """Drop idle buckets, and the broadcasts on tenants that are no longer configured."""
        self._told_at = {name: at for name, at in self._told_at.items() if name in tenants}
        now = self._loop.time()
        self.buckets.forget_idle(now)
        self._alone.forget_idle(now)

    def _on_report(self, report: QuotaReport, entry: Address) -> None:
        """Send the verdict on a report to its entry gateway."""
        self._datagrams.send(self.judge(report), entry)

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

    def _tell_everybody(self, verdict: QuotaVerdict) -> None:
        """Broadcast that a tenant is near its limit, at most once in :data:`TOLD_AGAIN_S`."""
        now = self._loop.time()
        tenant, pressed_s = verdict.tenant, verdict.pressed_s
        if now - self._told_at.get(tenant, float("-inf")) < TOLD_AGAIN_S:
            return
        self._told_at[tenant] = now
        peers = [member.address for member in self._peers.candidates(now)]
        word = QuotaVerdict(TO_EVERYBODY, tenant, pressed_s=pressed_s, tokens=verdict.tokens)
        self._datagrams.send(word, *peers)
        fields: dict[str, LogValue] = {
            "tenant": tenant,
            "tokens": round(self.buckets.tokens(tenant), 1),
            "pressed_s": round(pressed_s, 3),
            "told": len(peers),
        }
        log_event("quota_pressed", fields)
