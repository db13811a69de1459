"""How promising is a back end for the next call?

Own observations come first: running calls, how long answers took relative to their route, and
signs that the back end stands still or is gone. Reports of its load, own or told by others, add
its queue.

Inputs: calls and answers of this gateway, reports of load with their age; moments in monotonic
seconds. Latencies count for 4 s, reports of a queue for 0.8 s, reported slowdowns for 0.5 s, all
fading.

Answer: the cost of a call, in usual latencies of its route; lower is better. And the wait for a
slot, seconds.

Owns: the observations of one start of one back end; they end with it.

Shown by: log line ``call_lost`` for a call that was lost; metrics ``tinrudder_gateway_broken`` and
``tinrudder_gateway_rejections``.

When an input is missing or old: a back end of which nothing is known costs as much as a usual one
without a queue.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct, field

LATENCY_GAIN = 0.25
"""Weight of one answer in a back end's relative latency, a choice: a few slow ones in a row show,
and a single one counts for a quarter."""
LATENCY_MEMORY_S = 4.0
"""How long the latest answer says something of the next call, seconds.  With 0.6 s a third fewer
calls crossed zones, but patient requests lost 0.004 of their worth where replicas were slow for
seconds (0.9945 in place of 0.9984)."""
MAX_RELATIVE_LATENCY = 12.0
"""Most that one answer counts, in usual latencies, a choice: a single long pause must not outweigh
everything that was seen before."""
STALLED_AFTER = 2.5
"""Age of a call, in usual latencies, from which its back end may stand still, a choice: above the
latency of nearly all calls, and still early enough for the next call to go elsewhere."""
STALLED_PENALTY = 6.0
"""What that adds to the cost of a call, in usual latencies, a choice: more than another zone may
cost (``zone_preference.LARGEST_ADVANTAGE``), so that the others go first wherever they are."""
SUSPECT_FIRST_S = 0.3
"""For how long others go first after a failure, seconds, a choice; twice as long after each further
one, as long as no answer comes between."""
SUSPECT_MAX_S = 2.0
"""The longest such pause, seconds, a choice: a back end that is well again gets calls soon."""
SUSPECT_PENALTY = 20.0
"""What that adds to the cost, in usual latencies, a choice: more than a slow answer and standing
still make together, so that it is asked last."""
COLD_FACTOR = 1.6
"""By how much a call costs more at a back end that has just started, a choice: it works slower, and
gets calls all the same where others are slower still."""
BACKLOG_LIFETIME_S = 0.8
"""How long a report says something of the queue, seconds, a choice: it fades to nothing over this
time, in which queues fill or empty."""
SLOWDOWN_LIFETIME_S = 0.5
"""How long a reported slowdown says something of the next call, seconds; its weight falls to
nothing over this time. Chosen, not measured: back ends report another one several times a
second."""
TYPICAL_SLOWDOWN_GAIN = 0.1
"""Weight of one report in what is typical of a back end. Chosen, not measured: momentary ones, a
few in a hundred, hardly move it."""

WORK_GAIN = 0.1
"""Weight of one answer in how long calls hold a slot, a choice: times of work spread by half of
their mean, and a mean of some ten of them is within a fifth of the true one."""
FULL_QUEUE = 2.0
"""What a back end that sheds holds at least, in calls for each slot, where it has not reported
more, a choice: one that runs and one that waits."""
QUEUE_MEMORY_S = 2.0
"""How long after its newest report of a queue a back end may still have it, seconds, a choice: with
113 gateways, one hears of each of four back ends under load four times a second."""
FULL_FOR_S = 10.0
"""How long a back end's latest shed tells how many calls it queues, seconds, a choice: longer than
it takes to fill its queue again, and it may have been a moment of its own."""

MOST_SENT = 256
"""Moments of calls that are remembered until the next report, a choice: many times what a back end
queues."""


class RunningCall(Struct, eq=False):
    """A call that was sent and has not ended.

    :param usual_s: how long calls of its route usually take.
    """

    sent_at: float
    usual_s: float


class BackendObservations(Struct, eq=False):
    """One back end as seen by this node.

    :param relative_latency: recent latencies over what is usual for their routes, 1 is usual.
    :param suspect_until: monotonic time until which other back ends go first.
    :param reported_slowdown: how long work takes there by its latest report, 1 is usual.
    :param typical_slowdown: the same in the mean of its reports; 0 before the first.
    :param reported_at: the moment of the newest report, own or told by other gateways.
    :param most_backlog: the most calls that it has reported at once.
    :param full_backlog: the calls that it held when it last turned one away, at ``full_at``.
    :param work_s: how long calls hold a slot there in the mean, by ``work_seen``; 0: not known.
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
    most_backlog: int = 0
    full_backlog: int = 0
    full_at: float = -FULL_FOR_S
    work_s: float = 0.0
    work_seen: int = 0
    # Moments of calls that the newest report does not count.
    _sent: deque[float] = field(default_factory=lambda: deque(maxlen=MOST_SENT))

    def begin(self, now: float, usual_s: float) -> RunningCall:
        """Note a call that is sent now."""
        call = RunningCall(now, usual_s)
        self.running.add(call)
        self.sent_since_report += 1
        self._sent.append(now)
        return call

    def forget(self, call: RunningCall) -> None:
        """Note that a call was withdrawn and tells nothing."""
        self.running.discard(call)

    def answered(self, call: RunningCall, now: float) -> None:
        """Note an answer."""
        self.running.discard(call)
        self.failures = 0
        self.suspect_until = 0.0
        if call.usual_s > 0:
            # What a report explains passes with it, so it is not learned as the back end's own.
            relative = (now - call.sent_at) / call.usual_s / self.momentary_slowdown(now)
            relative = min(MAX_RELATIVE_LATENCY, relative)
            faded = self._lasting_latency(now)
            self.relative_latency = faded + LATENCY_GAIN * (relative - faded)
            self.latency_at = now

    def failed(self, call: RunningCall | None, now: float) -> None:
        """Note a call that was not answered, or a connection that could not be opened."""
        if call is not None:
            self.running.discard(call)
        self.failures += 1
        pause = min(SUSPECT_MAX_S, SUSPECT_FIRST_S * 2 ** (self.failures - 1))
        self.suspect_until = now + pause

    def reported(
        self,
        running: int,
        waiting: int,
        slots: int,
        now: float,
        slowdown: float = 1.0,
        age_s: float = 0.0,
    ) -> bool:
        """Note what the back end says of its own load, and how long work takes there now.

        The newest report holds, whoever heard it and in whatever order: then those of other
        gateways may come late, twice or never.

        :param age_s: how old the report is.
        :return: whether it is newer than what was known.
        """
        moment = now - age_s
        if moment < self.reported_at or (age_s and moment == self.reported_at):
            return False
        typical = self.typical_slowdown or slowdown
        self.typical_slowdown = typical + TYPICAL_SLOWDOWN_GAIN * (slowdown - typical)
        self.reported_slowdown = slowdown
        self.reported_backlog = running + waiting
        self.most_backlog = max(self.most_backlog, self.reported_backlog)
        self.reported_at = moment
        if age_s:
            while self._sent and self._sent[0] <= moment:
                self._sent.popleft()
        else:
            self._sent.clear()
        self.sent_since_report = len(self._sent)
        if slots > 0:
            self.slots = slots
        return True

    def shed(self, now: float, age_s: float = 0.0, backlog: int = 0) -> bool:
        """Note that the back end turned a call away, since its queue is as long as it may be.

        One that had no queue a moment ago does so by a fault of its own; that says nothing of its
        load, and a sole back end must not be given up for it.

        :param backlog: the calls that it held, if it said so; else they are as many as ever.
        :return: whether it is full, and this is newer than what was known.
        """
        slots = max(1, self.slots)
        if not (self.had_queue(now) or backlog > slots):
            return False
        most = max(self.most_backlog, int(FULL_QUEUE * slots))
        backlog = backlog or most
        if now - age_s > self.full_at:
            self.full_backlog = backlog
            self.full_at = now - age_s
        return self.reported(slots, backlog - slots, slots, now, self.reported_slowdown, age_s)

    def had_queue(self, now: float) -> bool:
        """Tell whether calls waited there by its newest report, which may be a little old."""
        return self.reported_backlog > self.slots and now - self.reported_at < QUEUE_MEMORY_S

    def sheds_above(self, now: float) -> int:
        """Return how many calls wait where it turns others away; 0: it has not done so lately."""
        if now - self.full_at >= FULL_FOR_S:
            return 0
        return max(1, self.full_backlog - self.slots)

    def worked(self, seconds: float) -> None:
        """Note how long a call held a slot, as seen here or by another gateway."""
        self.work_seen += 1
        gain = max(WORK_GAIN, 1.0 / self.work_seen)
        self.work_s += gain * (seconds - self.work_s)

    def expected_relative_latency(self, now: float) -> float:
        """Return how long the next call may run, relative to what is usual for its route."""
        return self._lasting_latency(now) * self.momentary_slowdown(now)

    def momentary_slowdown(self, now: float) -> float:
        """Return by how much work takes longer there at this moment than it typically does."""
        age = now - self.reported_at
        if age >= SLOWDOWN_LIFETIME_S or not self.typical_slowdown:
            return 1.0
        weight = 1.0 - age / SLOWDOWN_LIFETIME_S
        return 1.0 + weight * (self.reported_slowdown / self.typical_slowdown - 1.0)

    def _lasting_latency(self, now: float) -> float:
        """Return the relative latency, fading back to the usual when nothing new is seen."""
        age = now - self.latency_at
        if age >= LATENCY_MEMORY_S:
            return 1.0
        return 1.0 + (1.0 - age / LATENCY_MEMORY_S) * (self.relative_latency - 1.0)

    def is_stalled(self, now: float) -> bool:
        """Tell whether a call has been running for so long that the back end may stand still."""
        if not self.running:
            return False
        return any(now - call.sent_at > STALLED_AFTER * call.usual_s for call in self.running)

    def is_suspect(self, now: float) -> bool:
        """Tell whether calls failed lately."""
        return now < self.suspect_until

    def wait_s(self, now: float, service_s: float) -> float:
        """Return how long a call would wait for a slot, seconds, by the back end's own report.

        :param service_s: how long a call holds a slot.
        """
        return self._services_ahead(now) * service_s

    def reported_queue(self, now: float) -> float | None:
        """Return the wait for a slot by the latest report alone, in calls' times.

        It fades with the report's age; ``None`` where that tells nothing any more.
        """
        age = now - self.reported_at
        if age >= BACKLOG_LIFETIME_S:
            return None
        slots = max(1, self.slots)
        return max(0, self.reported_backlog - slots) / slots * (1.0 - age / BACKLOG_LIFETIME_S)

    def _services_ahead(self, now: float) -> float:
        """Return the wait for a slot as a multiple of the time that a call holds one."""
        age = now - self.reported_at
        if age >= BACKLOG_LIFETIME_S:
            return 0.0
        ahead = self.reported_backlog + self.sent_since_report - self.slots + 1
        faded = max(0, ahead) * (1.0 - age / BACKLOG_LIFETIME_S)
        return faded / max(1, self.slots)

    def cost(self, now: float) -> float:
        """Return how long a call is expected to take, relative to its route; lower is better."""
        slots = max(1, self.slots)
        queued = max(0, len(self.running) + 1 - slots) / slots
        queued = max(queued, self._services_ahead(now))
        busy = len(self.running) / (2.0 * slots)
        cost = self.expected_relative_latency(now) * (1.0 + busy) + queued
        if now < self.cold_until:
            cost *= COLD_FACTOR
        if self.is_stalled(now):
            cost += STALLED_PENALTY
        if self.is_suspect(now):
            cost += SUSPECT_PENALTY
        return cost
