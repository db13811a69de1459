"""The configuration exchange between nodes in virtual time.

Covers packet loss, partitions, starts without a platform, and malformed or wrong updates.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator

import async_solipsism
import hypothesis.strategies as st
import pytest
from hypothesis import given

from tests.support.documents import document, tenant
from tests.support.peer_network import MemoryPeerTransport, PeerNetwork
from tinrudder.cluster.replication import state_pull
from tinrudder.cluster.replication.replicated_state import (
    MalformedUpdateError,
    StateHeader,
    StateUpdate,
)
from tinrudder.cluster.replication.state_exchange import StateExchange
from tinrudder.cluster.wire import configuration_pb2
from tinrudder.cluster.wire.configuration_codec import decode_answer, decode_notice, decode_request
from tinrudder.node.configuration_service.messages import ResourceDocument
from tinrudder.node.resources.exchange import ReplicatedConfiguration
from tinrudder.node.resources.store import ConfigurationStore

ENTRIES = tuple(
    configuration_pb2.ResourceEntry(kind=kind, name=name, raw_spec=spec).SerializeToString()
    for kind, name, spec in (("Tenant", "a", b"{}"), ("x" * 300, "b", b""), ("", "", b"\xff"))
)


class ExchangingNode:
    """A configuration store with its exchange and its transport."""

    def __init__(self, network: PeerNetwork, port: int) -> None:
        self.store = ConfigurationStore()
        self.transport: MemoryPeerTransport = network.transport(port)
        loop = asyncio.get_running_loop()
        self.replica = ReplicatedConfiguration(self.store)
        self.exchange = StateExchange(
            self.replica,
            self.transport,
            loop,
            random.Random(port),
            lambda: [peer for peer in network.transports if peer != self.transport.address],
        )
        self.store.subscribe(lambda _: self.exchange.announce())
        self.exchange.start()

    def stop(self) -> None:
        self.exchange.stop()


class Tier:
    """Several nodes on one network."""

    def __init__(self, size: int, loss: float = 0.0) -> None:
        self.network = PeerNetwork(loss)
        self.nodes = [ExchangingNode(self.network, port) for port in range(1, size + 1)]

    def digests(self) -> set[bytes]:
        return {node.store.state.digest for node in self.nodes}

    def offer_to_all(self, offered: ResourceDocument) -> None:
        for node in self.nodes:
            node.store.merge_document(offered)

    async def seconds_until_equal(self, limit_s: float) -> float:
        loop = asyncio.get_running_loop()
        started = loop.time()
        while len(self.digests()) > 1 and loop.time() - started < limit_s:
            await asyncio.sleep(0.05)
        return loop.time() - started

    def stop(self) -> None:
        for node in self.nodes:
            node.stop()


Scenario = Callable[[], Awaitable[None]]


@pytest.fixture
def run() -> Iterator[Callable[[Scenario], None]]:
    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    yield lambda scenario: loop.run_until_complete(scenario())
    loop.close()


def test_one_node_that_read_the_platform_informs_all_despite_loss(
    run: Callable[[Scenario], None],
) -> None:
    async def scenario() -> None:
        tier = Tier(size=30, loss=0.2)
        tier.nodes[0].store.merge_document(document(4, tenant("a"), tenant("b")))
        assert await tier.seconds_until_equal(5.0) < 5.0
        assert tier.nodes[29].store.current.revision == 4
        tier.stop()

    run(scenario)


def test_partitioned_nodes_converge_after_the_partition_heals(
    run: Callable[[Scenario], None],
) -> None:
    async def scenario() -> None:
        tier = Tier(size=8)
        ports = range(1, 9)
        tier.network.cut = {frozenset((a, b)) for a in ports for b in ports if a <= 4 < b}
        tier.offer_to_all(document(1, tenant("a", 1, weight=1)))
        tier.nodes[0].store.merge_document(document(2, tenant("a", 2, weight=2)))
        tier.nodes[7].store.merge_document(document(3, tenant("a", 3, weight=0)))
        await asyncio.sleep(5)
        assert len(tier.digests()) == 2
        tier.network.cut.clear()
        assert await tier.seconds_until_equal(10.0) < 10.0
        last_good = {node.store.current.tenants["a"].weight for node in tier.nodes}
        assert (tier.nodes[0].store.current.revision, last_good) == (3, {2})
        tier.stop()

    run(scenario)


def test_node_that_starts_while_the_platform_is_down_learns_from_peers(
    run: Callable[[Scenario], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(state_pull, "CHUNK_BYTES", 2000)

    async def scenario() -> None:
        tier = Tier(size=3)
        names = [f"tenant-{number}" for number in range(200)]
        tier.offer_to_all(document(1, *(tenant(name, key=name) for name in names)))
        tier.offer_to_all(document(2, tenant("bad", weight=0), *map(tenant, names)))
        newcomer = ExchangingNode(tier.network, 99)
        assert await newcomer.exchange.learn_from_peers()
        assert newcomer.store.state.digest == tier.nodes[0].store.state.digest
        assert len(newcomer.store.current.tenants) == 200
        newcomer.stop()
        tier.stop()

    run(scenario)


def test_a_starting_node_skips_unreachable_peers(
    run: Callable[[Scenario], None],
) -> None:
    async def scenario() -> None:
        tier = Tier(size=5)
        tier.offer_to_all(document(1, tenant("a")))
        tier.network.cut = {frozenset((99, port)) for port in (1, 2, 3)}
        newcomer = ExchangingNode(tier.network, 99)
        started = asyncio.get_running_loop().time()
        assert await newcomer.exchange.learn_from_peers()
        assert asyncio.get_running_loop().time() - started < 1.0
        assert newcomer.store.current.revision == 1
        newcomer.stop()
        tier.stop()

    run(scenario)


def test_one_change_travels_as_a_delta(run: Callable[[Scenario], None]) -> None:
    async def scenario() -> None:
        tier = Tier(size=2)
        names = [f"tenant-{number}" for number in range(3000)]
        tier.offer_to_all(document(1, *(tenant(name, key=name) for name in names)))
        await asyncio.sleep(10)
        before = sum(node.transport.sent_bytes for node in tier.nodes)
        changed = [tenant(names[0], 2, weight=5), *(tenant(n, key=n) for n in names[1:])]
        tier.nodes[0].store.merge_document(document(2, *changed))
        await asyncio.sleep(1)
        assert len(tier.digests()) == 1
        assert sum(node.transport.sent_bytes for node in tier.nodes) - before < 6000
        tier.stop()

    run(scenario)


def test_an_update_with_a_wrong_header_changes_nothing(
    run: Callable[[Scenario], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        tier = Tier(size=2)
        tier.nodes[0].store.merge_document(document(1, tenant("a")))
        false_header = StateHeader(9, b"x", b"y")
        monkeypatch.setattr(tier.nodes[0].replica, "header", lambda: false_header)
        await asyncio.sleep(5)
        assert tier.nodes[1].store.current.revision == 0
        tier.stop()

    run(scenario)


@given(st.binary(max_size=200))
def test_decoders_reject_malformed_messages(payload: bytes) -> None:
    for decode in (decode_notice, decode_request, decode_answer):
        try:
            decode(payload)
        except MalformedUpdateError:
            continue


@given(
    st.lists(st.binary(max_size=60) | st.sampled_from(ENTRIES), max_size=4),
    st.frozensets(st.integers(0, 300), max_size=4),
    st.integers(0, 2**64 - 1),
)
def test_an_update_with_a_wrong_digest_is_rejected_whole(
    entries: list[bytes], buckets: frozenset[int], revision: int
) -> None:
    store = ConfigurationStore()
    store.merge_document(document(1, tenant("a")))
    before = store.state
    update = StateUpdate(StateHeader(revision, b"d", b"false"), buckets, tuple(entries))
    with pytest.raises(MalformedUpdateError):
        ReplicatedConfiguration(store).merge(update)
    assert store.state is before
