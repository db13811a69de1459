"""May a tenant run one more request now?

All gateways together may let a tenant run (rate x window + burst) x (1 + excess) + slack requests
in any window. One gateway owns a tenant's bucket and grants the limit and a part of the margin
above it. The rest of the margin covers requests admitted before the owner's reply arrives, a new
owner that cannot know what the previous one granted, and partitions of the fleet that cannot reach
each other.

Inputs: the tenant's limit (requests a second, requests of burst and margin), the requests admitted
since the last report, what another owner's bucket held (tokens, with its age in seconds), and the
part of the rate that this owner may grant, 0 to 1.

Answer: Grant: whether the request may run, when to retry (seconds), and for how long entry gateways
must ask before admitting (seconds).

Owns: the buckets of the tenants for which this gateway received reports; an idle bucket is evicted
after a minute.

Shown by: log lines ``quota_pressed`` and ``quota_home_silent``; metrics
``tinrudder_gateway_tenant_requests`` and ``tinrudder_gateway_tenant_tokens``.

When an input is missing or old: a new owner begins with a small bucket; an owner that reaches half
of the fleet or less grants a part of the rate; an entry gateway without a reply from the owner
admits a few requests and refuses the rest as not run.
"""

from __future__ import annotations

from msgspec import Struct, field

GRANTED_MARGIN = 0.15
"""Part of the margin above the limit by which an owner's bucket is deeper than the burst, because
requests arrive in bursts. For a tenant of 3 a second with a limit of 5 and a burst of 5, a bucket
of its burst alone refuses 1 in 156 and this one 1 in 7,400 (random arrivals, one seed)."""
NEW_OWNER_MARGIN = 0.25
"""Part of the margin above the limit that a new bucket holds at most: the previous owner may just
have granted the whole limit, and the next one may take over a moment later."""
PRESSED_BELOW = 0.4
"""Fill level, as a part of the current capacity, below which entry gateways must ask before
admitting: the bucket must still have tokens for what they admit until they receive this
instruction."""
RELIEVED_ABOVE = 0.7
"""Fill level, as a part of the current capacity, from which entry gateways may admit without
asking. Well above :data:`PRESSED_BELOW`, so that a tenant does not change state with each
request."""
MAX_PRESSED_S = 2.0
"""Longest validity of an instruction to ask first, seconds: it expires by itself if the owner dies,
and a live owner renews it."""
MAX_RETRY_DELAY_S = 10.0
"""Longest retry delay sent to a refused caller, seconds: limits may change meanwhile."""
RETRY_SPREAD_S = 2.0
"""Refused callers get retry times one token apart within this period, seconds, then starting again
from its beginning. Most callers give up within seconds, and slots reserved for all of them would
stay unused."""
MAX_DEBT = 1.0
"""How far below zero a bucket may fall, in capacities: requests admitted without asking must be
paid back, but not over minutes."""
IDLE_RETENTION_S = 60.0
"""Idle time after which a bucket is evicted, seconds: ten windows of 5 s, after which it is
full."""
MIN_CAPACITY = 1.0
"""Minimum capacity of a bucket, tokens: with less than one nothing would ever be granted."""
INITIAL_TOKENS = 2.0
"""Tokens in a bucket when a process starts; it fills at the tenant's rate from there. When all
processes start at once, several assume for a second that they own a tenant's bucket."""


class QuotaLimit(Struct, frozen=True):
    """A tenant's limit over all gateways, and how far it may be exceeded.

    :param margin: requests in any window above the limit.
    """

    rate_per_s: float
    burst: float
    margin: float

    @classmethod
    def of(
        cls, rate_per_s: float, burst: float, window_s: float, excess: float, slack: float
    ) -> QuotaLimit:
        """Return a tenant's limit with the margin that the deployment's bounds allow.

        >>> QuotaLimit.of(rate_per_s=5, burst=5, window_s=5, excess=0.25, slack=20).margin
        27.5
        """
        return cls(rate_per_s, burst, (rate_per_s * window_s + burst) * excess + slack)

    @property
    def capacity(self) -> float:
        """Return the capacity of a bucket, tokens."""
        return max(MIN_CAPACITY, self.burst + GRANTED_MARGIN * self.margin)


class HeldTokens(Struct, frozen=True):
    """What a bucket held at another owner, some time ago."""

    tokens: float
    age_s: float


class Grant(Struct, frozen=True):
    """The owner's reply to an entry gateway.

    :param granted: whether the requested admission is granted.
    :param wait_s: when to retry if it is not, seconds from now.
    :param pressed_s: how long entry gateways must ask before admitting; 0: not at all.
    :param tokens: what the bucket holds afterwards.
    """

    granted: bool
    wait_s: float
    pressed_s: float
    tokens: float


class _Bucket(Struct):
    """One tenant's tokens.

    :param return_offset_s: delay after the next token that the next refused caller is given.
    """

    tokens: float
    filled_at: float
    limit: QuotaLimit
    return_offset_s: float = 0.0
    pressed_until: float = 0.0


class TokenBuckets(Struct):
    """Token buckets by tenant.

    :param started_at: start time of this process.
    """

    started_at: float
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of tenants with a bucket here."""
        return len(self._buckets)

    def held(self) -> dict[str, float]:
        """Return each bucket's tokens as of its last report."""
        return {tenant: bucket.tokens for tenant, bucket in self._buckets.items()}

    def tokens(self, tenant: str) -> float:
        """Return a tenant's tokens as of its last report; 0 without a bucket."""
        bucket = self._buckets.get(tenant)
        return bucket.tokens if bucket is not None else 0.0

    def report(
        self,
        tenant: str,
        limit: QuotaLimit,
        now: float,
        share: float,
        *,
        admitted: int,
        asks: bool,
        held: HeldTokens | None = None,
    ) -> Grant:
        """Count what an entry gateway admitted, and grant one more request if it asks.

        :param share: the part of the tenant's rate that this gateway may grant; below one if it
            reaches half of the fleet or less.
        :param held: the tokens that another owner recently reported to the entry gateway. While
            owners died and paused one after another, at seven times a limit 68 requests ran in a
            window for which 50 are allowed; with this and smaller new buckets at most 39
            (tests/functional/gateway/test_quotas.py, six runs).
        """
        max_tokens = self._current_max_tokens(limit, now, share)
        bucket = self._bucket(tenant, limit, now, share)
        if held is not None:
            by_now = held.tokens + limit.rate_per_s * share * held.age_s
            bucket.tokens = min(bucket.tokens, by_now)
        floor = -MAX_DEBT * limit.capacity
        bucket.tokens = max(floor, min(max_tokens, bucket.tokens - admitted))
        granted = asks and bucket.tokens >= 1.0
        wait_s = 0.0
        if granted:
            bucket.tokens -= 1.0
        elif asks:
            wait_s = _next_retry_s(bucket, share)
        pressed_s = _pressed_s(bucket, now, share, max_tokens)
        return Grant(granted, wait_s, pressed_s, bucket.tokens)

    def skip_refill(self, seconds: float) -> None:
        """Leave out some seconds of all buckets' refill: another owner may have granted them."""
        for bucket in self._buckets.values():
            bucket.filled_at += seconds

    def pressed(self, now: float) -> list[str]:
        """Return the tenants near their limits, for which entry gateways ask before admitting."""
        return [tenant for tenant, one in self._buckets.items() if now < one.pressed_until]

    def evict_idle(self, now: float) -> None:
        """Evict buckets that have been idle long enough to be full."""
        horizon = now - IDLE_RETENTION_S
        for tenant in [t for t, one in self._buckets.items() if one.filled_at < horizon]:
            del self._buckets[tenant]

    def _bucket(self, tenant: str, limit: QuotaLimit, now: float, share: float) -> _Bucket:
        """Return a tenant's bucket, refilled up to now by the limit in force."""
        max_tokens = self._current_max_tokens(limit, now, share)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            first = max(MIN_CAPACITY, NEW_OWNER_MARGIN * limit.margin)
            bucket = _Bucket(min(max_tokens, first * share), now, limit)
            self._buckets[tenant] = bucket
            return bucket
        filled = bucket.tokens + limit.rate_per_s * share * max(0.0, now - bucket.filled_at)
        bucket.tokens = min(max_tokens, filled)
        bucket.filled_at = now
        bucket.limit = limit
        return bucket

    def _current_max_tokens(self, limit: QuotaLimit, now: float, share: float) -> float:
        """Return the current capacity of a bucket."""
        since_start = INITIAL_TOKENS + limit.rate_per_s * max(0.0, now - self.started_at)
        return min(limit.capacity, since_start) * share


def _next_retry_s(bucket: _Bucket, share: float) -> float:
    """Return when a refused caller may find a token, after the callers that were refused before."""
    rate = bucket.limit.rate_per_s * share
    if rate <= 0.0:
        return MAX_RETRY_DELAY_S
    next_token_s = (1.0 - bucket.tokens) / rate
    wait_s = next_token_s + bucket.return_offset_s
    bucket.return_offset_s = (bucket.return_offset_s + 1.0 / rate) % RETRY_SPREAD_S
    return min(wait_s, MAX_RETRY_DELAY_S)


def _pressed_s(bucket: _Bucket, now: float, share: float, max_tokens: float) -> float:
    """Return how long entry gateways must ask before admitting.

    :param max_tokens: current capacity of the bucket.
    """
    if bucket.tokens >= RELIEVED_ABOVE * max_tokens:
        bucket.pressed_until = now
        return 0.0
    if bucket.tokens >= PRESSED_BELOW * max_tokens and now >= bucket.pressed_until:
        return 0.0
    rate = bucket.limit.rate_per_s * share
    missing = RELIEVED_ABOVE * max_tokens - bucket.tokens
    pressed_s = min(MAX_PRESSED_S, missing / rate) if rate > 0.0 else MAX_PRESSED_S
    bucket.pressed_until = now + pressed_s
    return pressed_s


def grantable_share(reachable_share: float, excess: float) -> float:
    """Return the part of a tenant's rate that an owner may grant if it reaches some of the fleet.

    In a network partition at most one side reaches more than half of the fleet. All other sides
    together reach at most half, and so grant at most ``excess`` of the rate together. Two equal
    halves divide the rate evenly.

    >>> grantable_share(0.75, excess=0.25), grantable_share(0.25, excess=0.25)
    (1.0, 0.125)
    """
    if reachable_share > 0.5:
        return 1.0
    if reachable_share == 0.5:
        return min(1.0, (1.0 + excess) / 2.0)
    return min(1.0, 2.0 * excess) * reachable_share
