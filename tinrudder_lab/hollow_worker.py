"""One process full of hollow nodes, told what to do on its standard input."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import resource
import sys
from pathlib import Path

import msgspec

from tinrudder.cluster.membership_list import ListedMember
from tinrudder.configuration_service.messages import RawResource, ResourceDocument
from tinrudder.peers import PeerAddress
from tinrudder.resources.model import Kind, TenantSpec
from tinrudder_lab.hollow_messages import (
    Ask,
    Command,
    HollowAddress,
    Kill,
    Offer,
    Opened,
    Publish,
    Reply,
    Start,
    State,
    Stop,
)
from tinrudder_lab.hollow_node import HollowNode

PAGE_BYTES = resource.getpagesize()
START_INTERVAL_S = 0.2
"""Between two nodes of a process: a site does not start all its machines at once."""
LINE_LIMIT_BYTES = 1 << 20


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def processor_seconds() -> float:
    """Return the processor time this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def document_at(revision: int) -> ResourceDocument:
    """Return a small document."""
    spec = msgspec.Raw(msgspec.json.encode(TenantSpec(credentials=())))
    return ResourceDocument(revision, (RawResource(Kind.TENANT.value, "tenant", revision, spec),))


class Worker:
    """The nodes of this process."""

    def __init__(self, first: int, count: int, loss: float) -> None:
        """Create nodes ``first`` to ``first + count - 1``."""
        self.nodes = [HollowNode(number, loss) for number in range(first, first + count)]
        self.by_name = {node.name: node for node in self.nodes}
        self.empty_memory_bytes = resident_bytes()

    async def open(self) -> Opened:
        """Open every node's sockets."""
        found = []
        for node in self.nodes:
            address = await node.open()
            found.append(HollowAddress(node.name, address.host, address.port))
        return Opened(tuple(found))

    async def obey(self, command: Command) -> Reply | None:
        """Carry out a command."""
        match command:
            case Start(listed):
                await self._start(listed)
            case Kill(names):
                await self._kill(frozenset(names))
            case Offer(name, revision) if name in self.by_name:
                self.by_name[name].offer(document_at(revision))
            case Publish(name, backend) if name in self.by_name:
                self.by_name[name].publish(backend)
            case Ask():
                return self._state(command)
            case _:
                pass
        return None

    async def _start(self, listed: tuple[HollowAddress, ...]) -> None:
        entries = tuple(
            ListedMember(entry.name, PeerAddress(entry.host, entry.port)) for entry in listed
        )
        for node in self.nodes:
            node.start(entries)
            await asyncio.sleep(START_INTERVAL_S)

    async def _kill(self, names: frozenset[str]) -> None:
        for node in self.nodes:
            node.killed |= names
        for node in self.nodes:
            if node.name in names:
                await node.kill()

    def _state(self, ask: Ask) -> State:
        running = [node for node in self.nodes if node.running]
        traffic = [node.transport.traffic for node in self.nodes]
        memberships = [node.membership for node in running]
        enforcing = [node for node in running if node.store.current.revision >= ask.revision]
        knowing = 0
        if ask.revision and len(enforcing) == len(running):
            knowing = sum(one.all_enforce(ask.revision) for one in memberships)
        return State(
            nodes=len(running),
            processor_s=processor_seconds(),
            memory_bytes=resident_bytes(),
            empty_memory_bytes=self.empty_memory_bytes,
            datagrams=sum(one.datagrams for one in traffic),
            datagram_bytes=sum(one.datagram_bytes for one in traffic),
            request_bytes=sum(one.request_bytes for one in traffic),
            agreed=sum(one.live_count() == ask.live for one in memberships),
            avoiding=sum(node.avoids_killed() for node in running),
            enforcing=len(enforcing),
            know_enforced=knowing,
            heard=sum(ask.backend in node.heard for node in running),
            false_deaths=sum(node.false_deaths for node in running),
            false_suspicions=sum(node.false_suspicions for node in running),
            oversized=sum(one.counters.oversized for one in memberships),
        )


async def run(worker: Worker) -> None:
    """Open the nodes and obey until told to stop."""
    reader = asyncio.StreamReader(limit=LINE_LIMIT_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    _say(await worker.open())
    while True:
        line = await reader.readline()
        command: Command = msgspec.json.decode(line, type=Command) if line else Stop()
        if isinstance(command, Stop):
            return
        reply = await worker.obey(command)
        if reply is not None:
            _say(reply)


def _say(reply: Reply) -> None:
    print(msgspec.json.encode(reply).decode(), flush=True)


def main() -> None:
    """Run one worker."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--loss", type=float, required=True)
    arguments = parser.parse_args()
    logging.disable(logging.WARNING)
    gc.freeze()
    asyncio.run(run(Worker(arguments.first, arguments.count, arguments.loss)))


if __name__ == "__main__":
    main()
