"""Measures what the control of many nodes costs, with hollow nodes on real loopback sockets.

``python -m tinrudder_lab.hollow --nodes 100 --processes 4 --seconds 20 --loss 0.05 --json``

The last line is one JSON object.  Rates are of the quiet window, per node, counting what is sent
(received is the same on average) without UDP, TCP and IP headers.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import time
from asyncio.subprocess import PIPE, Process
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

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

JOIN_TIMEOUT_S = 120.0
EVENT_TIMEOUT_S = 60.0
SETTLE_S = 5.0
POLL_S = 0.2
KILLED_SHARE = 0.02
REVISION = 7
BACKEND = "backend-1"
LINE_LIMIT_BYTES = 1 << 20


class HollowResult(msgspec.Struct, frozen=True):
    """One measurement; times are seconds, ``None`` where it did not happen in time.

    :param load_average: of the machine during the quiet window, other work included.
    :param avoided_s: until no node would give new work to a killed one;
        :param detection_s: until all hold them dead.
    :param suspect_rate: false suspicions for each node and minute, counted by all observers.
    """

    nodes: int
    processes: int
    seconds: float
    loss: float
    load_average: float
    join_s: float | None
    bytes_per_s: float
    messages_per_s: float
    core_share: float
    memory_mb: float
    configuration_in_force_s: float | None
    configuration_known_s: float | None
    observation_s: float | None
    killed: int
    avoided_s: float | None
    detection_s: float | None
    event_bytes_per_node: float
    false_deaths: int
    suspect_rate: float
    oversized: int


@dataclass
class Worker:
    """A worker process."""

    process: Process

    async def say(self, command: Command) -> None:
        """Send a command."""
        if self.process.stdin is not None:
            self.process.stdin.write(msgspec.json.encode(command) + b"\n")
            await self.process.stdin.drain()

    async def hear(self) -> Reply:
        """Read a reply."""
        if self.process.stdout is None:
            raise EOFError("worker without output")
        line = await self.process.stdout.readline()
        reply: Reply = msgspec.json.decode(line, type=Reply)
        return reply


class Measurement:
    """One run."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Take the command line."""
        self.nodes: int = arguments.nodes
        self.process_count: int = min(arguments.processes, arguments.nodes)
        self.seconds: float = arguments.seconds
        self.loss: float = arguments.loss
        self.workers: list[Worker] = []
        self.live = self.nodes

    async def run(self) -> HollowResult:
        """Join, be quiet, change the configuration, observe, kill."""
        try:
            return await self._run()
        finally:
            for worker in self.workers:
                await worker.say(Stop())
            for worker in self.workers:
                await worker.process.wait()

    async def _run(self) -> HollowResult:
        addresses = await self._start_workers()
        names = [address.name for address in addresses]
        await self._tell(Start(addresses))
        join_s = await self._until(lambda state: state.agreed, JOIN_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
        before = await self._state()
        await asyncio.sleep(self.seconds)
        after = await self._state()
        load_average = os.getloadavg()[0]
        await self._tell(Offer(names[0], REVISION))
        in_force_s = await self._until(lambda state: state.enforcing, EVENT_TIMEOUT_S)
        known_s = await self._until(lambda state: state.know_enforced, EVENT_TIMEOUT_S)
        await self._tell(Publish(names[0], BACKEND))
        observation_s = await self._until(lambda state: state.heard, EVENT_TIMEOUT_S)
        killed = tuple(names[1 :: max(1, int(1 / KILLED_SHARE))])
        quiet = await self._state()
        self.live = self.nodes - len(killed)
        await self._tell(Kill(killed))
        avoided_s = await self._until(lambda state: state.avoiding, EVENT_TIMEOUT_S)
        buried_s = await self._until(lambda state: state.agreed, EVENT_TIMEOUT_S)
        end = await self._state()
        window_s = self.seconds
        sent = after.datagram_bytes + after.request_bytes
        sent -= before.datagram_bytes + before.request_bytes
        suspicions = after.false_suspicions - before.false_suspicions
        return HollowResult(
            nodes=self.nodes,
            processes=self.process_count,
            seconds=self.seconds,
            loss=self.loss,
            load_average=round(load_average, 1),
            join_s=join_s,
            bytes_per_s=round(sent / self.nodes / window_s, 1),
            messages_per_s=round((after.datagrams - before.datagrams) / self.nodes / window_s, 2),
            core_share=round((after.processor_s - before.processor_s) / self.nodes / window_s, 5),
            memory_mb=round((after.memory_bytes - after.empty_memory_bytes) / self.nodes / 1e6, 3),
            configuration_in_force_s=in_force_s,
            configuration_known_s=_plus(in_force_s, known_s),
            observation_s=observation_s,
            killed=len(killed),
            avoided_s=avoided_s,
            detection_s=_plus(avoided_s, buried_s),
            event_bytes_per_node=round(
                (end.datagram_bytes - quiet.datagram_bytes) / max(1, end.nodes), 0
            ),
            false_deaths=end.false_deaths,
            suspect_rate=round(suspicions / self.nodes / window_s * 60, 4),
            oversized=end.oversized,
        )

    async def _start_workers(self) -> tuple[HollowAddress, ...]:
        """Start the processes and return where all nodes listen."""
        first = 0
        for number in range(self.process_count):
            count = self.nodes // self.process_count + (number < self.nodes % self.process_count)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tinrudder_lab.hollow_worker",
                f"--first={first}",
                f"--count={count}",
                f"--loss={self.loss}",
                stdin=PIPE,
                stdout=PIPE,
                limit=LINE_LIMIT_BYTES,
            )
            self.workers.append(Worker(process))
            first += count
        addresses: list[HollowAddress] = []
        for worker in self.workers:
            reply = await worker.hear()
            if isinstance(reply, Opened):
                addresses.extend(reply.addresses)
        return tuple(addresses)

    async def _tell(self, command: Command) -> None:
        for worker in self.workers:
            await worker.say(command)

    async def _state(self) -> State:
        """Return the sum of all workers' states."""
        await self._tell(Ask(REVISION, self.live, BACKEND))
        replies = [await worker.hear() for worker in self.workers]
        return _sum([reply for reply in replies if isinstance(reply, State)])

    async def _until(self, count: Callable[[State], int], timeout_s: float) -> float | None:
        """Return the seconds until all running nodes are counted, ``None`` if they never are."""
        started = time.monotonic()
        while (elapsed := time.monotonic() - started) < timeout_s:
            state = await self._state()
            if count(state) == state.nodes == self.live:
                return round(elapsed, 1)
            await asyncio.sleep(POLL_S)
        return None


def _sum(states: Sequence[State]) -> State:
    """Add up states field by field."""
    fields = {
        name: sum(getattr(state, name) for state in states) for name in State.__struct_fields__
    }
    return msgspec.convert(fields, State, strict=False)


def _plus(first: float | None, second: float | None) -> float | None:
    return None if first is None or second is None else round(first + second, 1)


def print_table(result: HollowResult) -> None:
    """Print the fields one a line."""
    for name in HollowResult.__struct_fields__:
        print(f"{name:<26}{getattr(result, name)}")


def main() -> int:
    """Run one measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=50)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--loss", type=float, default=0.05)
    parser.add_argument("--json", action="store_true", help="print only the last line")
    arguments = parser.parse_args()
    result = asyncio.run(Measurement(arguments).run())
    if not arguments.json:
        print_table(result)
    print(msgspec.json.encode(result).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
