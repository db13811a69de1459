"""The node under test: its configuration, and stand-ins for platform, peers and back ends."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time

import msgspec

from tinrudder.node.backends.messages import (
    Answered,
    BackendCall,
    RowMessage,
    SearchAnswer,
    ShardRows,
)
from tinrudder.node.configuration_service.messages import MemberList, RawResource, ResourceDocument
from tinrudder.node.environment import BackendTransport, Environment, ReplyListener
from tinrudder.node.node import Node
from tinrudder.node.node_explain import NodeExplanations
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.model import (
    AnySpec,
    BackendSpec,
    Credential,
    IndexSpec,
    IndexVersionSpec,
    Kind,
    QueryRuleSpec,
    ServiceSpec,
    ShardSpec,
    TenantSpec,
)
from tinrudder.node.settings import NodeSettings
from tinrudder.peers import DatagramHandler, PeerAddress, PeerNotSentError, RequestHandler

TENANT = "bench"
SERVICE = "service"
RULE = "rule"
INDEX = "service.stock"
KEY_ID = "bench-key"
SECRET = "secret"
AUTHORIZATION = f"Bearer {KEY_ID}.{SECRET}"
DEADLINE_MS = 60_000
SLOTS = 1000
CONNECTIONS = 1000
REPLICAS = 2


def shard_name(number: int) -> str:
    """Return the name of a shard, such as ``s007``."""
    return f"s{number:03d}"


def build_document(host: str, ports: list[int], fan_out: int) -> ResourceDocument:
    """Return a document of one tenant and one index of ``fan_out`` shards over the ports.

    Slots are ample, so that calls do not queue and the figure covers the call alone.
    """
    names = [f"backend-{number}" for number in range(len(ports))]
    digest = hashlib.sha256(SECRET.encode()).hexdigest()
    shards = tuple(
        ShardSpec(
            shard=shard_name(number),
            owner="owner",
            backends=tuple(names[(number + step) % len(names)] for step in range(REPLICAS)),
        )
        for number in range(fan_out)
    )
    resources = [
        _raw(
            Kind.TENANT,
            TENANT,
            TenantSpec(credentials=(Credential(key_id=KEY_ID, secret_sha256=digest),)),
        ),
        _raw(
            Kind.SERVICE,
            SERVICE,
            ServiceSpec(
                region="region", tenants=(TENANT,), max_connections_per_backend=CONNECTIONS
            ),
        ),
        _raw(
            Kind.INDEX,
            INDEX,
            IndexSpec(service=SERVICE, versions=(IndexVersionSpec(version=1, shards=shards),)),
        ),
        _raw(
            Kind.QUERY_RULE,
            RULE,
            QueryRuleSpec(
                service=SERVICE, soft_deadline_ms=DEADLINE_MS, hard_deadline_ms=DEADLINE_MS
            ),
        ),
    ]
    for name, port in zip(names, ports, strict=True):
        spec = BackendSpec(service=SERVICE, host=host, port=port, zone="zone", slots=SLOTS)
        resources.append(_raw(Kind.BACKEND, name, spec))
    return ResourceDocument(revision=1, resources=tuple(resources))


class FixedPlatform:
    """Platform whose document never changes."""

    def __init__(self, document: ResourceDocument) -> None:
        """Serve ``document``."""
        self._document = document

    async def fetch_resources(self, known_revision: int) -> ResourceDocument | None:
        """Return the document, or ``None`` if its revision is already known."""
        return None if known_revision == self._document.revision else self._document

    async def fetch_members(self) -> MemberList:
        """Return an empty member list."""
        return MemberList(1, ())


class NoPeers:
    """Peer transport of a node without peers."""

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Ignore the handlers: nothing ever arrives."""

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Drop the datagram."""

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Raise ``PeerNotSentError``."""
        raise PeerNotSentError("no peers")

    async def close(self) -> None:
        """Do nothing: there is nothing to close."""


class InstantTransport:
    """Answers every call in the next event-loop iteration, which leaves the cost of decisions."""

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Schedule a fixed answer."""
        shard = call.request.shards[0]
        rows = (RowMessage(1.5, "row-0001", msgspec.Raw(b'{"amount":12}')),)
        answer = SearchAnswer(call.call_id, call.request.version, (ShardRows(shard, rows),))
        asyncio.get_running_loop().call_soon(listener, call, Answered(answer))

    def cancel(self, call: BackendCall) -> None:
        """Do nothing: every call is answered in the next event-loop iteration."""

    async def close(self) -> None:
        """Do nothing: there is nothing to close."""


async def start_node(document: ResourceDocument, transport: BackendTransport) -> Node:
    """Start a node that calls back ends through ``transport``."""
    settings = NodeSettings(
        name="bench", zone="zone", region="region", platform_url="http://unused"
    )
    environment = Environment(
        timers=asyncio.get_running_loop(),
        wall_clock=time.time,
        random=random.Random(1),
        backends=transport,
        peers=NoPeers(),
        platform=FixedPlatform(document),
    )
    node = Node(settings, environment)
    NodeExplanations(node)
    await node.start()
    return node


def query_request(deadline: float) -> QueryRequest:
    """Return the measured query."""
    return QueryRequest(
        query_id="0" * 32,
        tenant=TENANT,
        index=INDEX,
        rule=RULE,
        match={},
        order_by="time",
        descending=False,
        limit=100,
        deadline=deadline,
    )


def _raw(kind: Kind, name: str, spec: AnySpec) -> RawResource:
    return RawResource(kind.value, name, 1, msgspec.Raw(msgspec.json.encode(spec)))
