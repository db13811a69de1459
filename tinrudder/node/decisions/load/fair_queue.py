"""A weighted fair queue over tenants, with one lane per back end (see docs/FAIRNESS.md).

Owns the lanes and the start tags of the tenants.  Start-time fair queueing: every tenant has a
start tag in virtual time at every back end, which advances by cost / weight with each call, and the
tenant with the lowest start tag goes next.  After idleness a tenant's start tag may lag behind the
lane's virtual time by a bounded burst, which keeps a light tenant's fan-out fast beside a noisy
tenant.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.call_queue import IncomingCalls
from tinrudder.node.decisions.load.pending_calls import PendingCall, TenantFlow

DEFAULT_BURST = 64.0
"""Work, in calls, that a tenant may be served ahead of its share after idleness.  A light tenant's
99th percentile beside a noisy tenant, relative to that without one, is 1.04 with a burst of 64,
1.12 with 32 and 2.26 without a burst; with 64 a new tenant waits up to 92 ms (docs/FAIRNESS.md,
bench.fair_queue)."""
HEADROOM_LAG = 4.0
"""Work, in calls, by which a tenant must lag behind its share to use the headroom above the limit;
at most half of the burst."""
SOLE_TENANT_AFTER_S = 1.0
"""Seconds without a call of another tenant after which a tenant counts as alone at a back end and
may use the headroom."""
SWEEP_SLACK = 64
"""Number of flows above which idle ones are dropped.  Bounds memory; the cost is amortized over the
calls since the last sweep."""
HeapEntry = tuple[float, int, TenantFlow]


@dataclass(slots=True, eq=False)
class BackendLane:
    """All tenants' calls that may go to one back end.

    :param heap: flows with entries, by start tag; a tag that has advanced since is updated at pop.
    :param active_weight: sum of the weights of the flows with waiting calls.
    :param total_weight: sum of the weights of all flows.
    :param work: total cost of the waiting calls, each divided by its number of candidates.
    :param virtual_time: highest start tag of a call sent so far.
    :param last_served: flow of the latest call.
    :param tenant_changed_at: monotonic seconds of the latest call after another tenant's call.
    :param sweep_at: number of flows at which idle ones are dropped.
    """

    flows: dict[str, TenantFlow] = field(default_factory=dict)
    heap: list[HeapEntry] = field(default_factory=list)
    active_weight: int = 0
    total_weight: int = 0
    work: float = 0.0
    virtual_time: float = 0.0
    last_served: TenantFlow | None = None
    tenant_changed_at: float = -math.inf
    sweep_at: int = SWEEP_SLACK

    @property
    def mean_weight(self) -> float:
        """Return the mean weight of the lane's flows; requires at least one."""
        return self.total_weight / len(self.flows)

    def charge(self, flow: TenantFlow, cost: float, now: float) -> None:
        """Charge a flow for a call that is sent now, and advance the virtual time."""
        if flow is not self.last_served:
            if self.last_served is not None:
                self.tenant_changed_at = now
            self.last_served = flow
        self.virtual_time = max(self.virtual_time, flow.start_tag)
        flow.start_tag += cost / flow.weight


class StartTimeFairQueue:
    """Start-time fair queueing over tenants, then priority classes.

    When to use: always; the default.  Default: a burst of 64 calls per tenant and back end.
    Cost: a few microseconds per call, growing with the logarithm of the number of waiting tenants.
    """

    def __init__(self, clock: Callable[[], float], burst: float = DEFAULT_BURST) -> None:
        """Start empty.

        :param clock: monotonic seconds.
        :param burst: work that a tenant may be served ahead of its share after idleness.
        """
        self._clock = clock
        self._burst = burst
        self._headroom_lag = min(HEADROOM_LAG, burst / 2)
        self._lanes: dict[BackendRecord, BackendLane] = {}
        self._sweep_lanes_at = SWEEP_SLACK
        self._size = 0
        self._sequence = 0

    def push(self, call: PendingCall) -> None:
        """Add a waiting call to the flow of each of its candidates."""
        call.waiting = True
        self._size += 1
        part = call.cost / len(call.candidates)
        flows = []
        for backend in call.candidates:
            lane = self._lane(backend)
            flow = self._flow(lane, backend, call)
            if flow.waiting == 0:
                lane.active_weight += flow.weight
            flow.add(call)
            lane.work += part
            backend.waiting += 1
            flows.append(flow)
            if not flow.in_heap:
                self._enter_heap(lane, flow)
        call.flows = tuple(flows)

    def pop(self, backend: BackendRecord) -> PendingCall | None:
        """Remove and return the next call of the tenant with the lowest start tag."""
        lane = self._lanes.get(backend)
        if lane is None:
            return None
        heap = lane.heap
        while heap:
            start_tag, _, flow = heap[0]
            if start_tag != flow.start_tag:
                self._replace_first(heap, flow)
                continue
            call = flow.next_call()
            if call is None:
                heapq.heappop(heap)
                flow.in_heap = False
                continue
            now = self._clock()
            lane.charge(flow, call.cost, now)
            flow.pace.observe(now, call.cost, more_waiting=flow.waiting > 1)
            self._replace_first(heap, flow)
            self.discard(call)
            return call
        return None

    def pop_above_limit(self, backend: BackendRecord) -> PendingCall | None:
        """Like :meth:`pop`, but only for a tenant well below its share or alone for long."""
        lane = self._lanes.get(backend)
        if lane is None or not lane.heap:
            return None
        if self._clock() - lane.tenant_changed_at <= SOLE_TENANT_AFTER_S:
            bound = lane.virtual_time - self._headroom_lag / lane.mean_weight
            if self._lowest_waiting_start_tag(lane) >= bound:
                return None
        return self.pop(backend)

    def _lowest_waiting_start_tag(self, lane: BackendLane) -> float:
        """Return the lowest start tag among tenants with waiting calls."""
        heap = lane.heap
        while heap:
            start_tag, _, flow = heap[0]
            if flow.waiting == 0:
                heapq.heappop(heap)
                flow.in_heap = False
            elif start_tag != flow.start_tag:
                self._replace_first(heap, flow)
            else:
                return start_tag
        return math.inf

    def discard(self, call: PendingCall) -> None:
        """Remove a call; its entries in the flows are skipped when they are reached."""
        if not call.waiting:
            return
        call.waiting = False
        self._size -= 1
        part = call.cost / len(call.candidates)
        for flow in call.flows:
            flow.remove(call)
            backend = flow.backend
            backend.waiting -= 1
            lane = self._lanes[backend]
            lane.work = lane.work - part if backend.waiting else 0.0
            if flow.waiting == 0:
                lane.active_weight -= flow.weight
        call.flows = ()

    def charge_unqueued(self, call: PendingCall, backend: BackendRecord) -> None:
        """Charge the tenant for a call that was sent to ``backend`` without waiting."""
        lane = self._lane(backend)
        flow = self._flow(lane, backend, call)
        flow.start_tag = max(flow.start_tag, self._lowest_start_tag(lane))
        lane.charge(flow, call.cost, self._clock())

    def expected_wait_s(self, backend: BackendRecord, incoming: IncomingCalls) -> float:
        """Return the seconds until ``backend`` is expected to have taken all ``incoming`` calls.

        A tenant whose calls waited recently is expected to be served at the observed pace.  The
        backlog of other tenants says little, because tenants served ahead of it may have none.
        Without an observed pace, the tenant is expected to get its share among those that wait now.
        """
        lane = self._lanes.get(backend)
        if lane is None or not backend.waiting:
            return incoming.work * incoming.seconds_per_work
        own_work = incoming.work
        other_weight = lane.active_weight
        flow = lane.flows.get(incoming.tenant)
        if flow is not None and flow.waiting:
            own_work += flow.work_ahead(incoming.priority)
            other_weight -= flow.weight
        if flow is not None and flow.pace.is_known:
            return own_work * flow.pace.seconds_per_work
        share = incoming.weight / (other_weight + incoming.weight)
        return min(lane.work + incoming.work, own_work / share) * incoming.seconds_per_work

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._size

    def _lane(self, backend: BackendRecord) -> BackendLane:
        """Return a back end's lane, creating it if necessary."""
        lane = self._lanes.get(backend)
        if lane is None:
            if len(self._lanes) >= self._sweep_lanes_at:
                self._sweep_lanes()
            lane = self._lanes[backend] = BackendLane()
        return lane

    def _flow(self, lane: BackendLane, backend: BackendRecord, call: PendingCall) -> TenantFlow:
        """Return a tenant's flow with its current weight, creating it if necessary."""
        flow = lane.flows.get(call.tenant)
        if flow is None:
            if len(lane.flows) >= lane.sweep_at:
                self._sweep_flows(lane)
            flow = lane.flows[call.tenant] = TenantFlow(call.tenant, backend, call.weight)
            lane.total_weight += call.weight
            flow.start_tag = self._lowest_start_tag(lane)
        if flow.weight != call.weight:
            lane.total_weight += call.weight - flow.weight
            if flow.waiting:
                lane.active_weight += call.weight - flow.weight
            flow.weight = call.weight
        return flow

    def _lowest_start_tag(self, lane: BackendLane) -> float:
        """Return the lowest allowed start tag: the virtual time minus the burst, at least 0.

        Divided by the mean weight, the burst is the same work whatever the unit of the weights,
        and tenants that return at the same time share by weight.  In a new lane the minimum is 0:
        no tenant has a lag to catch up.
        """
        return max(0.0, lane.virtual_time - self._burst / lane.mean_weight)

    def _enter_heap(self, lane: BackendLane, flow: TenantFlow) -> None:
        """Add a flow to the heap, with its start tag raised to the lowest allowed one."""
        flow.in_heap = True
        flow.start_tag = max(flow.start_tag, self._lowest_start_tag(lane))
        self._sequence += 1
        heapq.heappush(lane.heap, (flow.start_tag, self._sequence, flow))

    def _replace_first(self, heap: list[HeapEntry], flow: TenantFlow) -> None:
        """Move the first flow to its current start tag; flows with equal tags take turns."""
        self._sequence += 1
        heapq.heapreplace(heap, (flow.start_tag, self._sequence, flow))

    def _sweep_flows(self, lane: BackendLane) -> None:
        """Drop idle flows that a new one would equal, so that memory follows active tenants."""
        lowest = self._lowest_start_tag(lane)
        lane.flows = {
            tenant: flow
            for tenant, flow in lane.flows.items()
            if flow.in_heap or flow.start_tag > lowest
        }
        lane.total_weight = sum(flow.weight for flow in lane.flows.values())
        lane.sweep_at = 2 * len(lane.flows) + SWEEP_SLACK

    def _sweep_lanes(self) -> None:
        """Drop the lanes of draining back ends without waiting calls."""
        self._lanes = {
            backend: lane
            for backend, lane in self._lanes.items()
            if backend.waiting or not backend.leaving
        }
        self._sweep_lanes_at = 2 * len(self._lanes) + SWEEP_SLACK
