"""May a tenant run one more request now?

All gateways together may let a tenant run (rate x window + burst) x (1 + excess) + slack requests
in any window. One gateway owns a tenant's bucket, grants the limit and a part of what lies above
it; the rest is for requests that are admitted before a word of the owner arrives, for a new owner
that cannot know what the one before granted, and for parts of a fleet that cannot hear each other.

Inputs: the tenant's limit (requests a second, requests of burst and margin), the requests admitted
since the last report, what another owner held (tokens, with its age in seconds), and the part of
the rate that this owner may grant, 0 to 1.

Answer: Grant: whether the request may run, when to come back (seconds), and for how long entries
must ask first (seconds).

Owns: the buckets of the tenants that this gateway was asked for; a full one is forgotten after a
minute.

Shown by: log lines ``quota_pressed`` and ``quota_home_silent``; metrics
``tinrudder_gateway_tenant_requests`` and ``tinrudder_gateway_tenant_tokens``.

When an input is missing or old: a new owner begins with a small bucket; an owner that hears half
of the fleet or less grants a part of the rate; an entry without an owner's word admits a few
requests and refuses the rest as not run.
"""

from __future__ import annotations

from msgspec import Struct, field

GRANTED_MARGIN = 0.15
"""Part of what lies above the limit that an owner grants, a deeper bucket: callers' requests come
in bunches.  A tenant of 3 a second with a limit of 5 and a burst of 5 is refused 1 in 156 by a
bucket of its burst alone, 1 in 7,400 by this one (random arrivals, one seed)."""
NEW_OWNER_MARGIN = 0.25
"""Part of what lies above the limit that a bucket holds at most when it is new. Chosen, not
measured: the gateway that kept it before may have granted the whole limit a moment ago, and the
next one may lose it a moment later."""
PRESSED_BELOW = 0.4
"""Part of what a bucket can hold by now below which entries must ask first. Chosen, not measured:
what they admit until they hear of it must still find tokens."""
RELIEVED_ABOVE = 0.7
"""Part of what a bucket can hold by now from which entries need not ask any more. Chosen, not
measured: well above :data:`PRESSED_BELOW`, so that a tenant does not change between the two with
each request."""
LONGEST_PRESSED_S = 2.0
"""How long a word lasts that entries must ask, seconds. Chosen, not measured: it ends by itself
where the owner dies, and is given anew where it lives."""
LONGEST_WAIT_S = 10.0
"""The longest time that a refused caller is told to wait, seconds. Chosen, not measured: limits
change meanwhile."""
RETURN_SPREAD_S = 2.0
"""Refused callers are told moments one token apart, over this time in seconds, then from its
beginning again. Chosen, not measured: most callers give up within seconds, and places kept for all
of them would be empty."""
LONGEST_DEBT = 1.0
"""How far below zero a bucket falls, in buckets. Chosen, not measured: what is admitted unasked
must be made up for, but not for minutes."""
FORGOTTEN_AFTER_S = 60.0
"""After this time without a question a bucket is forgotten, seconds. Chosen, not measured: ten
windows of 5 s, after which it is full."""
LEAST_CAPACITY = 1.0
"""Tokens that a bucket holds at least: with less than one request's nothing would ever be
granted."""
FIRST_TOKENS = 2.0
"""Tokens in a bucket at the start of a process; it fills by the rate from there. Chosen, not
measured: when all processes start at once several believe for a second that they are the owner of
a tenant's bucket."""


class QuotaLimit(Struct, frozen=True):
    """What a tenant may ask of all gateways together, and how far that may be exceeded.

    :param margin: requests in any window above the limit.
    """

    rate_per_s: float
    burst: float
    margin: float

    @classmethod
    def of(
        cls, rate_per_s: float, burst: float, window_s: float, excess: float, slack: float
    ) -> QuotaLimit:
        """Return a tenant's limit under the deployment's bounds.

        >>> QuotaLimit.of(rate_per_s=5, burst=5, window_s=5, excess=0.25, slack=20).margin
        27.5
        """
        return cls(rate_per_s, burst, (rate_per_s * window_s + burst) * excess + slack)

    @property
    def capacity(self) -> float:
        """Return how many tokens a bucket holds."""
        return max(LEAST_CAPACITY, self.burst + GRANTED_MARGIN * self.margin)


class HeldTokens(Struct, frozen=True):
    """What a bucket held at another owner, some time ago."""

    tokens: float
    age_s: float


class Grant(Struct, frozen=True):
    """An owner's word to an entry.

    :param granted: whether the request asked for may run.
    :param wait_s: when to come back, if not.
    :param pressed_s: for how long entries must ask first; 0: they need not.
    :param tokens: what the bucket holds after this.
    """

    granted: bool
    wait_s: float
    pressed_s: float
    tokens: float


class _Bucket(Struct):
    """One tenant's tokens.

    :param return_offset_s: how long after the next token the last refused caller was told to come.
    """

    tokens: float
    filled_at: float
    limit: QuotaLimit
    return_offset_s: float = 0.0
    pressed_until: float = 0.0


class TokenBuckets(Struct):
    """Buckets by tenant.

    :param started_at: of this process.
    """

    started_at: float
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return of how many tenants this gateway was asked lately."""
        return len(self._buckets)

    def held(self) -> dict[str, float]:
        """Return what each bucket held when it was last asked for."""
        return {tenant: bucket.tokens for tenant, bucket in self._buckets.items()}

    def tokens(self, tenant: str) -> float:
        """Return what a tenant's bucket held when it was last asked for; 0 where there is none."""
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
        """Count what an entry let run, and grant one request more if it asks.

        :param share: which part of the tenant's rate this gateway may grant; below one where it
            hears only a smaller part of the fleet.
        :param held: what an owner told the entry lately.  Where owners die and pause one after
            another, at seven times a limit 68 requests ran in a window for which 50 are allowed;
            with this and smaller new buckets at most 39 (tests/functional/gateway/test_quotas.py,
            six runs).
        """
        most = self._most(limit, now, share)
        bucket = self._bucket(tenant, limit, now, share)
        if held is not None:
            by_now = held.tokens + limit.rate_per_s * share * held.age_s
            bucket.tokens = min(bucket.tokens, by_now)
        floor = -LONGEST_DEBT * limit.capacity
        bucket.tokens = max(floor, min(most, bucket.tokens - admitted))
        granted = asks and bucket.tokens >= 1.0
        wait_s = 0.0
        if granted:
            bucket.tokens -= 1.0
        elif asks:
            wait_s = _next_return_s(bucket, share)
        pressed_s = _pressed_s(bucket, now, share, most)
        return Grant(granted, wait_s, pressed_s, bucket.tokens)

    def forget_idle(self, now: float) -> None:
        """Drop buckets that are full by now."""
        horizon = now - FORGOTTEN_AFTER_S
        for tenant in [t for t, one in self._buckets.items() if one.filled_at < horizon]:
            del self._buckets[tenant]

    def _bucket(self, tenant: str, limit: QuotaLimit, now: float, share: float) -> _Bucket:
        """Return a tenant's bucket, filled up to now by the limit in force."""
        most = self._most(limit, now, share)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            first = max(LEAST_CAPACITY, NEW_OWNER_MARGIN * limit.margin)
            bucket = _Bucket(min(most, first * share), now, limit)
            self._buckets[tenant] = bucket
            return bucket
        filled = bucket.tokens + limit.rate_per_s * share * max(0.0, now - bucket.filled_at)
        bucket.tokens = min(most, filled)
        bucket.filled_at = now
        bucket.limit = limit
        return bucket

    def _most(self, limit: QuotaLimit, now: float, share: float) -> float:
        """Return what a bucket can hold by now."""
        since_start = FIRST_TOKENS + limit.rate_per_s * max(0.0, now - self.started_at)
        return min(limit.capacity, since_start) * share


def _next_return_s(bucket: _Bucket, share: float) -> float:
    """Return after what time a refused caller may find a token, others told before it counted."""
    rate = bucket.limit.rate_per_s * share
    if rate <= 0.0:
        return LONGEST_WAIT_S
    next_token_s = (1.0 - bucket.tokens) / rate
    wait_s = next_token_s + bucket.return_offset_s
    bucket.return_offset_s = (bucket.return_offset_s + 1.0 / rate) % RETURN_SPREAD_S
    return min(wait_s, LONGEST_WAIT_S)


def _pressed_s(bucket: _Bucket, now: float, share: float, most: float) -> float:
    """Return for how long entries must ask first.

    :param most: what the bucket can hold by now.
    """
    if bucket.tokens >= RELIEVED_ABOVE * most:
        bucket.pressed_until = now
        return 0.0
    if bucket.tokens >= PRESSED_BELOW * most and now >= bucket.pressed_until:
        return 0.0
    rate = bucket.limit.rate_per_s * share
    missing = RELIEVED_ABOVE * most - bucket.tokens
    pressed_s = min(LONGEST_PRESSED_S, missing / rate) if rate > 0.0 else LONGEST_PRESSED_S
    bucket.pressed_until = now + pressed_s
    return pressed_s


def part_of_rate(heard_share: float, excess: float) -> float:
    """Return which part of a tenant's rate an owner may grant that hears some of the fleet.

    At most one side of a cut hears more than half of the fleet; all other sides together hear at
    most half, and so grant at most ``excess`` of the rate together.  Halves divide it evenly.

    >>> part_of_rate(0.75, excess=0.25), part_of_rate(0.25, excess=0.25)
    (1.0, 0.125)
    """
    if heard_share > 0.5:
        return 1.0
    if heard_share == 0.5:
        return min(1.0, (1.0 + excess) / 2.0)
    return min(1.0, 2.0 * excess) * heard_share
