"""Weighted fair queues over tenants: candidates under measurement (see docs/FAIRNESS.md)."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field

from tinrudder.resources.model import Priority
from tinrudder.routing.backend_record import BackendRecord
from tinrudder.routing.pending_call import PendingCall
from tinrudder.routing.tenant_flow import TenantFlow
from tinrudder.timers import Timers

HeapEntry = tuple[float, int, TenantFlow]


@dataclass(slots=True, eq=False)
class BackendLane:
    """All tenants' calls that may go to one back end."""

    flows: dict[str, TenantFlow] = field(default_factory=dict)
    heap: list[HeapEntry] = field(default_factory=list)
    active_weight: int = 0
    work: float = 0.0
    virtual_time: float = 0.0
    ring: deque[TenantFlow] = field(default_factory=deque)


class TenantQueue:
    """What the candidates share: places, accounts and estimates; subclasses choose the order."""

    def __init__(self) -> None:
        """Start empty."""
        self._lanes: dict[BackendRecord, BackendLane] = {}
        self._size = 0
        self._sequence = 0

    def push(self, call: PendingCall) -> None:
        """Add a waiting call to the flow of each of its candidates."""
        call.waiting = True
        self._size += 1
        part = call.cost / len(call.candidates)
        places = []
        for backend in call.candidates:
            lane, flow = self._flow(backend, call)
            if flow.waiting == 0:
                lane.active_weight += flow.weight
            flow.add(call)
            lane.work += part
            backend.waiting += 1
            places.append(flow)
            if not flow.queued:
                flow.queued = True
                self._activate(lane, flow)
        call.places = tuple(places)

    def discard(self, call: PendingCall) -> None:
        """Drop a call; its entries are skipped when they are reached."""
        if not call.waiting:
            return
        call.waiting = False
        self._size -= 1
        part = call.cost / len(call.candidates)
        for flow in call.places:
            assert isinstance(flow, TenantFlow)
            flow.remove(call)
            backend = flow.backend
            backend.waiting -= 1
            lane = self._lanes[backend]
            lane.work = lane.work - part if backend.waiting else 0.0
            if flow.waiting == 0:
                lane.active_weight -= flow.weight
        call.places = ()

    def record_direct(self, call: PendingCall, backend: BackendRecord) -> None:
        """Charge a call that went out without waiting."""
        lane, flow = self._flow(backend, call)
        self._charge(lane, flow, call.cost)

    def expected_work(
        self, backend: BackendRecord, tenant: str, weight: int, priority: Priority, added: float
    ) -> float:
        """Return the work done at ``backend`` until ``added`` work of a tenant is done too."""
        lane = self._lanes.get(backend)
        if lane is None or not backend.waiting:
            return added
        flow = lane.flows.get(tenant)
        own = added
        others = lane.active_weight
        if flow is not None and flow.waiting:
            own += flow.work_ahead(priority)
            others -= flow.weight
        return min(lane.work + added, own * (others + weight) / weight)

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._size

    def _flow(self, backend: BackendRecord, call: PendingCall) -> tuple[BackendLane, TenantFlow]:
        lane = self._lanes.get(backend)
        if lane is None:
            lane = self._lanes[backend] = BackendLane()
        flow = lane.flows.get(call.tenant)
        if flow is None:
            flow = lane.flows[call.tenant] = TenantFlow(call.tenant, backend)
        if flow.weight != call.weight:
            if flow.waiting:
                lane.active_weight += call.weight - flow.weight
            flow.weight = call.weight
        return lane, flow

    def _place(self, lane: BackendLane, flow: TenantFlow) -> None:
        self._sequence += 1
        heapq.heappush(lane.heap, (flow.account, self._sequence, flow))

    def _activate(self, lane: BackendLane, flow: TenantFlow) -> None:
        self._place(lane, flow)

    def _charge(self, lane: BackendLane, flow: TenantFlow, cost: float) -> None:
        raise NotImplementedError

    def pop(self, backend: BackendRecord) -> PendingCall | None:
        """Take the next call of the tenant with the lowest account."""
        lane = self._lanes.get(backend)
        if lane is None:
            return None
        heap = lane.heap
        while heap:
            account, _, flow = heap[0]
            call = None
            if account == flow.account:
                call = flow.next_call()
                if call is None:
                    heapq.heappop(heap)
                    flow.queued = False
                    continue
                self._charge(lane, flow, call.cost)
                self.discard(call)
            self._sequence += 1
            heapq.heapreplace(heap, (flow.account, self._sequence, flow))
            if call is not None:
                return call
        return None


class DecayingCostQueue(TenantQueue):
    """The account is the cost of the recent past, decaying with a time constant."""

    def __init__(self, timers: Timers, time_constant_s: float = 0.1) -> None:
        """Decay with ``time_constant_s``."""
        super().__init__()
        self._timers = timers
        self._time_constant_s = time_constant_s
        self._epoch = timers.time()

    def _charge(self, lane: BackendLane, flow: TenantFlow, cost: float) -> None:
        exponent = (self._timers.time() - self._epoch) / self._time_constant_s
        if exponent > 60:
            self._renormalise(math.exp(-exponent))
            exponent = 0.0
        flow.account += math.exp(exponent) * cost / flow.weight

    def _renormalise(self, factor: float) -> None:
        self._epoch = self._timers.time()
        for lane in self._lanes.values():
            for flow in lane.flows.values():
                flow.account *= factor
            lane.heap[:] = [(flow.account, order, flow) for _, order, flow in lane.heap]


class StartTimeQueue(TenantQueue):
    """Start-time fair queueing: accounts are virtual finish times."""

    def __init__(self, credit: float = 0.0) -> None:
        """Let an idle tenant come back at most ``credit`` behind the virtual time."""
        super().__init__()
        self._credit = credit

    def _activate(self, lane: BackendLane, flow: TenantFlow) -> None:
        flow.account = max(flow.account, lane.virtual_time - self._credit)
        self._place(lane, flow)

    def _charge(self, lane: BackendLane, flow: TenantFlow, cost: float) -> None:
        if not flow.queued:
            flow.account = max(flow.account, lane.virtual_time - self._credit)
        lane.virtual_time = max(lane.virtual_time, flow.account)
        flow.account += cost / flow.weight


class DeficitRoundRobinQueue(TenantQueue):
    """Deficit round robin: the account is what is left of the tenant's quantum."""

    def _activate(self, lane: BackendLane, flow: TenantFlow) -> None:
        flow.account = 0.0
        lane.ring.append(flow)

    def _charge(self, lane: BackendLane, flow: TenantFlow, cost: float) -> None:
        flow.account -= cost

    def pop(self, backend: BackendRecord) -> PendingCall | None:
        """Take the next call of the tenant whose turn it is."""
        lane = self._lanes.get(backend)
        if lane is None:
            return None
        ring = lane.ring
        while ring:
            flow = ring[0]
            if flow.account <= 0:
                if flow.waiting == 0:
                    flow.queued = False
                    ring.popleft()
                    continue
                flow.account += flow.weight
                ring.rotate(-1)
                continue
            call = flow.next_call()
            if call is None:
                flow.queued = False
                ring.popleft()
                continue
            flow.account -= call.cost
            self.discard(call)
            return call
        return None
