"""Which back-end queues does a gateway report to its peers, and which peer reports does it use?

Used for services with few back ends that every gateway calls: each gateway gets too few answers a
second from them to know which back end is full. Only the gateway that received a load report from
the back end sends it to peers; peers do not forward it. Its age does not include time in transit,
so each hop would make it look younger.

Inputs: load reports of back ends with their age in seconds, and the number of peers.

Answer: the reports to send and the number of peers to send them to, or whether a peer's report is
newer than the known one.

Owns: the back ends whose report is yet to be sent, and the byte budget.

Shown by: log line ``queues_long``; metrics ``tinrudder_gateway_load_news_sent``,
``tinrudder_gateway_load_news_taken`` and ``tinrudder_gateway_load_news_ignored``.

When an input is missing or old: a report older than 0.8 s is neither sent nor used; implausible
figures are ignored.
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.gateway.decisions.fleet.send_budget import SendBudget
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations

REPORTED_QUEUE_PER_SLOT = 1.0
"""Waiting calls per slot from which a queue is reported to peers: a call waits there at least as
long as calls take.  With half of this value, no fewer calls were shed, and random short queues were
reported as well."""
BYTES_PER_S = 900.0
"""Bytes a second that one gateway sends to all peers together, headers included: a third of what
all its messages may take in a fleet of 730."""
BURST_BYTES = 7_000.0
"""Burst of the byte budget: a gateway in a fleet of 730 gets an answer from such a service once in
ten seconds, and has to report it to a sixth of its peers."""
DATAGRAM_BYTES = 34
"""Maximum bytes of a datagram without its back ends: 28 of IP and UDP headers, 6 of the message."""
LOAD_BYTES = 26
"""Maximum bytes of one back end in a datagram; a test of the encoding checks it."""
MAX_PER_DATAGRAM = 4
"""Maximum number of back ends in one datagram: as many as such a service has."""
BATCH_DELAY_S = 0.02
"""Batching delay of reports, seconds: short compared with the calls of a service that hundreds of
gateways share."""
RETRY_INTERVAL_S = 0.1
"""Retry interval while the byte budget is exhausted, seconds: by then it allows a datagram with two
back ends."""
MAX_REPORT_AGE_S = 0.8
"""Age from which a report is too old to use, seconds; equals ``BACKLOG_LIFETIME_S`` of the
back-end observations."""
MAX_SERVICE_TIME_S = 600.0
"""Maximum plausible service time, seconds: longer than any call timeout, so a larger figure is
invalid."""
MAX_CALLS = 100_000
"""Maximum plausible number of calls or slots: more than any back end holds, so a larger figure is
invalid."""
MAX_SLOWDOWN = 1000.0
"""Maximum plausible slowdown, where 1 is usual: no back end keeps running at a larger one."""


class ReportedLoad(Struct, frozen=True):
    """One load report of a back end, as gateways send it to each other.

    :param backend: a number derived from the identity of this back-end process.
    :param calls: calls that run or wait there.
    :param age_s: age of the report at the gateway that received it from the back end.
    :param shed: whether the back end shed a call at that time.
    :param service_time_s: mean time that a call holds a slot there, observed by the sender; 0:
        unknown.
    """

    backend: int
    calls: int
    slots: int
    slowdown: float
    age_s: float
    shed: bool = False
    service_time_s: float = 0.0

    @property
    def is_credible(self) -> bool:
        """Return whether the figures are plausible and recent enough to use."""
        return (
            0 <= self.calls <= MAX_CALLS
            and 0 < self.slots <= MAX_CALLS
            and 0.0 < self.slowdown <= MAX_SLOWDOWN
            and 0.0 <= self.age_s < MAX_REPORT_AGE_S
            and 0.0 <= self.service_time_s <= MAX_SERVICE_TIME_S
        )

    @property
    def is_long(self) -> bool:
        """Return whether the queue is long enough to be reported."""
        return self.shed or is_long(self.calls - self.slots, self.slots)


class PendingReport(Struct, frozen=True):
    """A back end whose load is to be reported to peers, see :class:`ReportedLoad`.

    :param received_at: time of the load report that this gateway received with an answer.
    """

    backend: int
    shed: bool
    service_time_s: float
    received_at: float


def is_long(waiting: int, slots: int) -> bool:
    """Return whether a queue is long enough to be reported.

    >>> is_long(3, 4), is_long(4, 4), is_long(0, 0)
    (False, True, False)
    """
    return waiting > 0 and waiting >= REPORTED_QUEUE_PER_SLOT * slots


def prepare_report(
    pending: PendingReport, observations: BackendObservations, now: float
) -> ReportedLoad | None:
    """Return the report to send now; ``None`` if a peer has sent a newer one since.

    The newer one is not forwarded: its age does not include time in transit, so each hop would make
    it look younger.
    """
    if observations.reported_at != pending.received_at:
        return None
    return ReportedLoad(
        pending.backend,
        observations.reported_backlog,
        observations.slots,
        observations.reported_slowdown,
        now - observations.reported_at,
        pending.shed,
        pending.service_time_s,
    )


def apply_report(report: ReportedLoad, observations: BackendObservations, now: float) -> bool:
    """Apply a peer's load report, and return whether it is newer than the known one."""
    if report.shed:
        newer = observations.shed(now, report.age_s, report.calls)
    else:
        newer = observations.reported(
            min(report.calls, report.slots),
            max(0, report.calls - report.slots),
            report.slots,
            now,
            report.slowdown,
            report.age_s,
        )
    if newer and report.service_time_s:
        observations.record_service_time(report.service_time_s)
    return newer


class PendingReports:
    """Back ends whose load is to be reported to peers; holds only the latest entry for each."""

    def __init__(self) -> None:
        """Start empty, with a full byte budget."""
        self._budget = SendBudget(BURST_BYTES, BYTES_PER_S)
        self._pending: dict[int, PendingReport] = {}

    def __len__(self) -> int:
        """Return the number of back ends yet to be reported."""
        return len(self._pending)

    def note(self, pending: PendingReport) -> None:
        """Add a back end, to be reported when the budget allows; the newest are sent first."""
        self._pending.pop(pending.backend, None)
        self._pending[pending.backend] = pending

    def take(self, now: float, peers: int) -> tuple[list[PendingReport], int]:
        """Remove back ends for one datagram; return them and the number of peers to send it to.

        Returns 0 peers while the budget is exhausted. Without peers the back ends are dropped.
        """
        if not peers:
            self._pending.clear()
        count = min(MAX_PER_DATAGRAM, len(self._pending))
        copies = self._budget.take(peers, now, DATAGRAM_BYTES + LOAD_BYTES * count)
        if not copies:
            return [], 0
        return [self._pending.popitem()[1] for _ in range(count)], copies
