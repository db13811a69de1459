"""What is the expected cost of the next call to a back end?

The gateway's own observations come first: calls in flight, latencies relative to the typical
latency of the route, and signs that the back end is stalled or gone. Load reports, received
directly or from other gateways, add the queue.

Inputs: this gateway's calls and their answers, and load reports with their age; times in monotonic
seconds. Latencies count for 4 s, reported queues for 0.8 s and reported slowdowns for 0.5 s, with
linearly falling weight.

Answer: the cost of a call, as a multiple of its route's typical latency (lower is better), and the
expected wait for a slot in seconds.

Owns: the observations of one process of one back end; a restarted process gets new ones.

Shown by: log line ``call_lost`` for a call that was lost; metrics ``tinrudder_gateway_broken`` and
``tinrudder_gateway_rejections``.

When an input is missing or old: a back end without observations costs as much as one with the
typical latency and no queue.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct, field

LATENCY_GAIN = 0.25
"""Weight of the latest answer in the moving average of a back end's relative latency: several slow
answers in a row raise it clearly, a single one counts for a quarter."""
LATENCY_LIFETIME_S = 4.0
"""Time after which the latest answer no longer predicts the next call, seconds.  With 0.6 s a third
fewer calls crossed zones, but the mean value of answers to non-urgent requests was 0.004 lower
where replicas were slow for seconds (0.9945 instead of 0.9984)."""
MAX_RELATIVE_LATENCY = 12.0
"""Upper bound of one answer's relative latency, so that a single long pause does not outweigh all
earlier observations."""
STALLED_LATENCY_FACTOR = 2.5
"""Age of a call, as a multiple of the typical latency, above which its back end is considered
stalled: above the latency of nearly all calls, but early enough to send the next call elsewhere."""
STALLED_PENALTY = 6.0
"""Cost added for a stalled back end, as a multiple of the typical latency.  Larger than the
greatest advantage that a remote replica needs (``zone_preference.MAX_ADVANTAGE``), so that replicas
in any zone are preferred to a stalled one."""
SUSPECT_FIRST_S = 0.3
"""For how long a back end is suspect after its first failure, seconds; the time doubles with each
further failure without an answer in between."""
SUSPECT_MAX_S = 2.0
"""Upper bound of that time, seconds, so that a recovered back end soon gets calls again."""
SUSPECT_PENALTY = 20.0
"""Cost added for a suspect back end, as a multiple of the typical latency.  Larger than a slow
answer (:data:`MAX_RELATIVE_LATENCY`) and :data:`STALLED_PENALTY` together, so that it is tried
last."""
COLD_FACTOR = 1.6
"""Factor on the cost of a call to a cold back end: it is slower, but still gets calls where the
other replicas are slower yet."""
BACKLOG_LIFETIME_S = 0.8
"""Time over which the weight of a reported queue falls to zero, seconds: queues fill or drain
within this time."""
SLOWDOWN_LIFETIME_S = 0.5
"""Time over which the weight of a reported slowdown falls to zero, seconds: back ends report a new
one several times a second."""
TYPICAL_SLOWDOWN_GAIN = 0.1
"""Weight of one report in a back end's typical slowdown: momentary slowdowns, a few in a hundred
reports, hardly change it."""

SERVICE_TIME_GAIN = 0.1
"""Weight of one call in the mean service time: service times spread by half of their mean, so a
mean over about ten of them is within a fifth of the true one."""
MIN_FULL_BACKLOG_PER_SLOT = 2.0
"""Calls per slot that a back end is assumed to hold when it sheds load, unless it has reported
more: one running and one waiting."""
QUEUE_LIFETIME_S = 2.0
"""For how long after a report of a queue a back end may still have it, seconds: with 113 gateways,
each gateway receives four reports a second on each of four back ends under load."""
FULL_FOR_S = 10.0
"""For how long the backlog at a back end's latest shed is taken as its queue limit, seconds: longer
than the queue takes to fill again, but limited, since that backlog may have been exceptional."""

MAX_TRACKED_SENDS = 256
"""Maximum number of send times kept until the next report: many times what a back end queues."""


class RunningCall(Struct, eq=False):
    """A call in flight.

    :param typical_time_s: typical latency of calls of its route.
    """

    sent_at: float
    typical_time_s: float


class BackendObservations(Struct, eq=False):
    """One back end as observed by this gateway.

    :param relative_latency: moving average of latencies divided by their route's typical latency.
    :param suspect_until: monotonic time until which the back end is suspect, so that others are
        preferred.
    :param reported_backlog: calls running or waiting there by the newest report.
    :param reported_slowdown: factor on the duration of work there by its newest report; 1 is usual.
    :param typical_slowdown: moving average of the reported slowdowns; 0 before the first report.
    :param reported_at: time of the newest report, received directly or from another gateway.
    :param max_backlog: the largest backlog that was reported.
    :param full_backlog: calls that it held when it last shed one, at ``full_at``.
    :param service_time_s: mean time that a call holds a slot there, over ``service_time_count``
        calls; 0: unknown.
    """

    slots: int = 1
    cold_until: float = 0.0
    relative_latency: float = 1.0
    latency_at: float = 0.0
    failures: int = 0
    suspect_until: float = 0.0
    reported_backlog: int = 0
    reported_at: float = -BACKLOG_LIFETIME_S
    sent_since_report: int = 0
    reported_slowdown: float = 1.0
    typical_slowdown: float = 0.0
    running: set[RunningCall] = field(default_factory=set)
    max_backlog: int = 0
    full_backlog: int = 0
    full_at: float = -FULL_FOR_S
    service_time_s: float = 0.0
    service_time_count: int = 0
    # Send times of calls that the newest report does not include.
    _sent: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_TRACKED_SENDS))

    def begin(self, now: float, typical_time_s: float) -> RunningCall:
        """Record a call that is sent now."""
        call = RunningCall(now, typical_time_s)
        self.running.add(call)
        self.sent_since_report += 1
        self._sent.append(now)
        return call

    def drop_call(self, call: RunningCall) -> None:
        """Remove a call without recording an outcome: it is no evidence about the back end."""
        self.running.discard(call)

    def answered(self, call: RunningCall, now: float) -> None:
        """Record an answer: it ends suspicion and updates the relative latency."""
        self.running.discard(call)
        self.failures = 0
        self.suspect_until = 0.0
        if call.typical_time_s > 0:
            # A reported momentary slowdown is divided out: it passes, so it must not be learned as
            # the back end's lasting latency.
            relative = (now - call.sent_at) / call.typical_time_s / self.current_slowdown(now)
            relative = min(MAX_RELATIVE_LATENCY, relative)
            decayed = self._decayed_latency(now)
            self.relative_latency = decayed + LATENCY_GAIN * (relative - decayed)
            self.latency_at = now

    def failed(self, call: RunningCall | None, now: float) -> None:
        """Record a call without an answer, or a connection that could not be opened."""
        if call is not None:
            self.running.discard(call)
        self.failures += 1
        suspect_s = min(SUSPECT_MAX_S, SUSPECT_FIRST_S * 2 ** (self.failures - 1))
        self.suspect_until = now + suspect_s

    def reported(
        self,
        running: int,
        waiting: int,
        slots: int,
        now: float,
        slowdown: float = 1.0,
        age_s: float = 0.0,
    ) -> bool:
        """Record a back end's load report.

        The newest report wins, regardless of which gateway received it and of the order of arrival.
        Reports from other gateways may therefore be late, duplicated or lost.

        :param age_s: age of the report; 0 if the back end itself has just sent it.
        :return: whether it is newer than the known one.
        """
        report_time = now - age_s
        if report_time < self.reported_at or (age_s and report_time == self.reported_at):
            return False
        typical = self.typical_slowdown or slowdown
        self.typical_slowdown = typical + TYPICAL_SLOWDOWN_GAIN * (slowdown - typical)
        self.reported_slowdown = slowdown
        self.reported_backlog = running + waiting
        self.max_backlog = max(self.max_backlog, self.reported_backlog)
        self.reported_at = report_time
        if age_s:
            while self._sent and self._sent[0] <= report_time:
                self._sent.popleft()
        else:
            self._sent.clear()
        self.sent_since_report = len(self._sent)
        if slots > 0:
            self.slots = slots
        return True

    def shed(self, now: float, age_s: float = 0.0, backlog: int = 0) -> bool:
        """Record that the back end shed a call because its queue is full.

        A back end without a recent queue sheds calls because of an internal fault. That is no
        evidence of load, and must not stop all calls to the only back end of a service.

        :param backlog: calls that it held; 0 if unknown: the largest known backlog is assumed.
        :return: whether the back end is full and the report is newer than the known one.
        """
        slots = max(1, self.slots)
        if not (self.had_recent_queue(now) or backlog > slots):
            return False
        largest_backlog = max(self.max_backlog, int(MIN_FULL_BACKLOG_PER_SLOT * slots))
        backlog = backlog or largest_backlog
        if now - age_s > self.full_at:
            self.full_backlog = backlog
            self.full_at = now - age_s
        return self.reported(slots, backlog - slots, slots, now, self.reported_slowdown, age_s)

    def had_recent_queue(self, now: float) -> bool:
        """Return whether calls waited there by a report within :data:`QUEUE_LIFETIME_S`."""
        return self.reported_backlog > self.slots and now - self.reported_at < QUEUE_LIFETIME_S

    def shed_queue_length(self, now: float) -> int:
        """Return the queue length at which it sheds calls; 0: it has not shed any recently."""
        if now - self.full_at >= FULL_FOR_S:
            return 0
        return max(1, self.full_backlog - self.slots)

    def record_service_time(self, seconds: float) -> None:
        """Record how long a call held a slot, as observed here or by another gateway."""
        self.service_time_count += 1
        gain = max(SERVICE_TIME_GAIN, 1.0 / self.service_time_count)
        self.service_time_s += gain * (seconds - self.service_time_s)

    def expected_relative_latency(self, now: float) -> float:
        """Return the expected latency of the next call, relative to its route's typical latency."""
        return self._decayed_latency(now) * self.current_slowdown(now)

    def current_slowdown(self, now: float) -> float:
        """Return the currently reported slowdown relative to the typical one, weighted by age."""
        age = now - self.reported_at
        if age >= SLOWDOWN_LIFETIME_S or not self.typical_slowdown:
            return 1.0
        weight = 1.0 - age / SLOWDOWN_LIFETIME_S
        return 1.0 + weight * (self.reported_slowdown / self.typical_slowdown - 1.0)

    def _decayed_latency(self, now: float) -> float:
        """Return the observed relative latency, which falls back to 1 without new answers."""
        age = now - self.latency_at
        if age >= LATENCY_LIFETIME_S:
            return 1.0
        return 1.0 + (1.0 - age / LATENCY_LIFETIME_S) * (self.relative_latency - 1.0)

    def is_stalled(self, now: float) -> bool:
        """Return whether a call has been in flight for so long that the back end seems stalled."""
        if not self.running:
            return False
        return any(
            now - call.sent_at > STALLED_LATENCY_FACTOR * call.typical_time_s
            for call in self.running
        )

    def is_suspect(self, now: float) -> bool:
        """Return whether the back end is suspect after recent failures."""
        return now < self.suspect_until

    def wait_s(self, now: float, service_s: float) -> float:
        """Return the expected wait for a slot in seconds, from the newest load report.

        :param service_s: time that a call holds a slot, seconds.
        """
        return self._wait_in_service_times(now) * service_s

    def reported_queue(self, now: float) -> float | None:
        """Return the wait for a slot by the newest report alone, as a multiple of the service time.

        It falls with the report's age; ``None`` if the report is too old.
        """
        age = now - self.reported_at
        if age >= BACKLOG_LIFETIME_S:
            return None
        slots = max(1, self.slots)
        return max(0, self.reported_backlog - slots) / slots * (1.0 - age / BACKLOG_LIFETIME_S)

    def _wait_in_service_times(self, now: float) -> float:
        """Return the wait for a slot as a multiple of the service time.

        Counts the newest report and the calls sent since.
        """
        age = now - self.reported_at
        if age >= BACKLOG_LIFETIME_S:
            return 0.0
        queued_ahead = self.reported_backlog + self.sent_since_report - self.slots + 1
        decayed = max(0, queued_ahead) * (1.0 - age / BACKLOG_LIFETIME_S)
        return decayed / max(1, self.slots)

    def cost(self, now: float) -> float:
        """Return the expected duration of a call as a multiple of its route's typical latency."""
        slots = max(1, self.slots)
        queued = max(0, len(self.running) + 1 - slots) / slots
        queued = max(queued, self._wait_in_service_times(now))
        busy = len(self.running) / (2.0 * slots)
        cost = self.expected_relative_latency(now) * (1.0 + busy) + queued
        if now < self.cold_until:
            cost *= COLD_FACTOR
        if self.is_stalled(now):
            cost += STALLED_PENALTY
        if self.is_suspect(now):
            cost += SUSPECT_PENALTY
        return cost
