"""A cluster in virtual time whose nodes run operations on one ledger that counts executions."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections import Counter
from dataclasses import dataclass, field

from tests.support.documents import document, resource, tenant
from tests.support.peer_network import MemoryPeerTransport, PeerNetwork
from tinrudder.cluster.claims.claims import ClaimLimits
from tinrudder.cluster.claims.claims_service import ClaimNode, ClaimsService
from tinrudder.cluster.claims.electorate import Voter
from tinrudder.cluster.claims.electorate_history import ListedVoter
from tinrudder.node.backends.messages import (
    Answered,
    BackendCall,
    BackendReply,
    NotSent,
    SearchAnswer,
    ShardRows,
)
from tinrudder.node.decisions.backend_table import BackendTable
from tinrudder.node.decisions.load.expected_wait_admission import ExpectedWaitAdmission
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.load.tenant_usage import TenantUsageTable
from tinrudder.node.decisions.replica_choice import LeastLoadedReplica
from tinrudder.node.decisions.service_routing import RoutingTable
from tinrudder.node.environment import ReplyListener
from tinrudder.node.outcomes import Outcome
from tinrudder.node.query.admission_gate import AdmissionGate
from tinrudder.node.query.dispatcher import Dispatcher
from tinrudder.node.query.operations.at_most_once import OperationRunner
from tinrudder.node.query.operations.operation_outcomes import OperationOutcomes
from tinrudder.node.query.operations.operation_request import OperationRequest
from tinrudder.node.query.plan import Planner
from tinrudder.node.resources.model import Kind
from tinrudder.node.resources.store import ConfigurationStore

WALL_START = 1_000_000.0
SERVICE_S = 0.01
REGION = "south"
LIMITS = ClaimLimits(window_s=60.0, clock_skew_s=1.0, settle_s=60.0, removed_wait_s=180.0)


class SuspendableClock:
    """The clocks of a node that can be suspended.

    ``sleep`` advances both clocks at once without firing timers.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._suspended_s = 0.0

    def sleep(self, seconds: float) -> None:
        self._suspended_s += seconds

    def time(self) -> float:
        return self._loop.time() + self._suspended_s

    def wall(self) -> float:
        return WALL_START + self.time()

    def call_at(self, when: float, callback: object, *arguments: object) -> asyncio.TimerHandle:
        return self._loop.call_at(when - self._suspended_s, callback, *arguments)


@dataclass
class Ledger:
    """Stands in for all back ends and counts the executions of each order.

    :param replies: replies to the next calls, which are then not executed.
    """

    ran: Counter[str] = field(default_factory=Counter)
    replies: list[BackendReply] = field(default_factory=list)
    service_s: float = SERVICE_S
    connect_s: float = 0.0

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        call.may_have_been_sent = False
        asyncio.get_running_loop().call_later(self.connect_s, self._send, call, listener)

    def _send(self, call: BackendCall, listener: ReplyListener) -> None:
        if call.may_still_send is not None and not call.may_still_send():
            listener(call, NotSent("dispatch window closed"))
            return
        call.may_have_been_sent = True
        if self.replies:
            reply = self.replies.pop(0)
        else:
            self.ran[call.request.match["order"]] += 1
            rows = (ShardRows(call.request.shards[0], ()),)
            reply = Answered(SearchAnswer(call.request.call_id, call.request.version, rows))
        asyncio.get_running_loop().call_later(self.service_s, listener, call, reply)

    def cancel(self, call: BackendCall) -> None:
        pass

    async def close(self) -> None:
        pass


def ledger_document(credential: bool = False) -> object:
    secret = hashlib.sha256(b"secret").hexdigest()
    credentials = [{"key_id": "key", "secret_sha256": secret}] if credential else []
    backends = [
        resource(Kind.BACKEND, name, service="ledger", host="127.0.0.1", port=1, zone="a", slots=9)
        for name in ("one", "two")
    ]
    shard = {"shard": "s0", "owner": "plata", "backends": ["one", "two"]}
    return document(
        1,
        resource(Kind.TENANT, "plata", credentials=credentials),
        tenant("rival"),
        resource(Kind.SERVICE, "ledger", region=REGION, tenants=["plata", "rival"]),
        *backends,
        resource(
            Kind.INDEX, "ledger", service="ledger", versions=[{"version": 3, "shards": [shard]}]
        ),
        resource(
            Kind.QUERY_RULE, "post", service="ledger", repeatable=False, hard_deadline_ms=1000
        ),
        resource(Kind.QUERY_RULE, "read", service="ledger"),
    )


class OperationNode:
    """The claims service and the operation runner of one node."""

    def __init__(self, number: int, transport: MemoryPeerTransport, ledger: Ledger) -> None:
        self.clock = SuspendableClock()
        self.address = transport.address
        self.voter = Voter(f"node-{number}", f"zone-{number % 3}", transport.address)
        store = ConfigurationStore()
        store.merge_document(ledger_document())
        table = BackendTable()
        table.update(store.current.backends)
        queue = StartTimeFairQueue(self.clock.time)
        usage, source = TenantUsageTable(), random.Random(number)
        self.outcomes = OperationOutcomes(self.clock.wall)
        self.claims = ClaimsService(
            self.clock,
            self.clock.wall,
            source,
            transport,
            ClaimNode(self.voter, REGION),
            LIMITS,
            self.outcomes.answer,
        )
        routing = RoutingTable(self.clock.time, source)
        admission = ExpectedWaitAdmission(queue, source)
        self.runner = OperationRunner(
            self.clock,
            self.clock.wall,
            self.claims,
            self.outcomes,
            Dispatcher(self.clock, ledger, queue, LeastLoadedReplica(), None, usage),
            Planner(self.clock, lambda: store.current, table, routing),
            AdmissionGate(self.clock, admission, usage, lambda: store.current, source),
            lambda: store.current,
            lambda: True,
        )

    async def operate(
        self, order: str = "o-1", *, amount: str = "7", tenant: str = "plata", **changes: object
    ) -> Outcome:
        fields: dict[str, object] = {
            "query_id": "q",
            "tenant": tenant,
            "index": "ledger",
            "rule": "post",
            "operation": "book",
            "request_key": order,
            "valid_until": WALL_START + 159.0,
            "match": {"order": order if tenant == "plata" else f"{tenant}-{order}", "sum": amount},
            "deadline": self.clock.time() + 1.0,
        }
        return await self.runner.run(OperationRequest(**(fields | changes)))


class OperationCluster:
    """Nodes in three zones that know the same member list; ready at 100 s of virtual time."""

    def __init__(self, nodes: int = 5, loss: float = 0.0, seed: int = 7) -> None:
        self.ledger = Ledger()
        self.network = PeerNetwork(loss, random.Random(seed))
        self.nodes = [
            OperationNode(number, self.network.transport(number + 1), self.ledger)
            for number in range(nodes)
        ]

    async def start(self, listed: list[OperationNode] | None = None) -> OperationCluster:
        for node in self.nodes:
            node.claims.start()
        self.learn(1, listed or self.nodes)
        await asyncio.sleep(100.0)
        return self

    def learn(self, revision: int, listed: list[OperationNode], only: object = None) -> None:
        voters = [ListedVoter(node.voter) for node in listed]
        for node in self.nodes if only is None else only:
            node.claims.learn_list(revision, {REGION: voters})

    def cut(self, one_side: set[int]) -> None:
        for near in one_side:
            for far in set(range(len(self.nodes))) - one_side:
                self.network.cut.add(frozenset((near + 1, far + 1)))
