"""The processes of one run: the platform, back ends and nodes, all on loopback.

Smaller than the demo: one node a zone (7 nodes) and one service of each shape (29 back ends).
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import msgspec

from tinrudder.node.configuration_service.messages import (
    MemberList,
    MemberState,
    PlatformMember,
    ResourceDocument,
)
from tinrudder_lab.demo_cluster import DemoNode, find_free_block
from tinrudder_lab.deployment import (
    ARENA_REGION,
    ARENA_ZONES,
    LOOPBACK,
    PLATA_REGION,
    PLATA_ZONES,
)
from tinrudder_lab.platform_server import PlatformState
from tinrudder_lab.process_mode.exchange import ExchangeLostError, send_request
from tinrudder_lab.processes import ProcessGroup
from tinrudder_lab.topology import Topology, Zone, both_deployments_resources

FIRST_PORT = 26000
LAST_FIRST_PORT = 31500
PORTS = 64
CALLER_OFFSET = 1
PEER_OFFSET = 16
BACKEND_OFFSET = 32
BACKEND_PROCESSES = 2
SERVICE_MS = 4.0
CLAIM_WINDOW_S = 10.0
CLOCK_SKEW_S = 0.2
PLATFORM_TIMEOUT_S = 10.0
PLATFORM_CHECK_S = 0.05
PLATFORM = "platform"
STOPPED = "stopped"


class StoppedLine(msgspec.Struct, frozen=True):
    """The fields of a node's last log line that tell whether it finished its work."""

    event: str
    in_progress: int = 0


class ProcessCluster:
    """Starts, stops, kills and pauses the processes of one run.

    :param victims: back ends that will be killed; each gets a process of its own.
    """

    def __init__(self, directory: Path, victims: tuple[str, ...]) -> None:
        """Keep logs in ``directory``; nothing is started.

        Ports lie below the range from which the system takes ports for outgoing connections,
        so that none is taken while its process is being replaced.
        """
        start = random.SystemRandom().randrange(FIRST_PORT, LAST_FIRST_PORT, PORTS)
        self.first_port = find_free_block(start, PORTS)
        self.directory = directory
        self.processes = ProcessGroup(directory)
        self.topology = _make_topology(self.first_port + BACKEND_OFFSET)
        self.deployment = self.topology.deployment
        self.nodes = self._make_nodes()
        self.call_logs: list[Path] = []
        self._groups = self._group_backends(victims)
        members = tuple(_member(node) for node in self.nodes.values())
        document = ResourceDocument(1, tuple(self.deployment.resources))
        self.first_state = PlatformState(document, MemberList(1, members))

    # Platform ------------------------------------------------------------------------------

    async def start_platform(self, state: PlatformState) -> None:
        """Start the platform with a state and wait until it answers."""
        path = self.directory / "platform.json"
        path.write_bytes(msgspec.json.encode(state))
        arguments = ("--port", str(self.first_port), "--state", str(path))
        self.processes.start(PLATFORM, "tinrudder_lab.platform_server", *arguments)
        async with asyncio.timeout(PLATFORM_TIMEOUT_S):
            while not await self._platform_answers():
                await asyncio.sleep(PLATFORM_CHECK_S)

    async def read_platform(self) -> PlatformState:
        """Return everything the platform holds."""
        resources = await send_request(self.first_port, "GET", "/v1/resources")
        members = await send_request(self.first_port, "GET", "/v1/members")
        return PlatformState(
            msgspec.json.decode(resources.body, type=ResourceDocument),
            msgspec.json.decode(members.body, type=MemberList),
        )

    async def write_platform(self, path: str, body: bytes) -> bytes:
        """Write as an operator does; return the answer's body."""
        return (await send_request(self.first_port, "PUT", path, body)).body

    async def set_member_state(self, name: str, state: MemberState) -> None:
        """Change what the platform's list says of a node."""
        listed = (await self.read_platform()).members.members
        members = tuple(
            msgspec.structs.replace(member, state=state) if member.name == name else member
            for member in listed
        )
        await self.write_platform("/v1/members", msgspec.json.encode(members))

    async def _platform_answers(self) -> bool:
        try:
            await send_request(self.first_port, "GET", "/v1/members")
        except ExchangeLostError:
            return False
        return True

    # Back ends -----------------------------------------------------------------------------

    def start_backends(self) -> None:
        """Start every back-end process."""
        for process in self._groups:
            self.start_backend_process(process)

    def start_backend_process(self, process: str) -> None:
        """Start one back-end process; a victim's process has its name."""
        path = self.directory / f"{process}.calls"
        if path not in self.call_logs:
            self.call_logs.append(path)
        arguments = ["--service-ms", str(SERVICE_MS), "--history", str(path)]
        for name in self._groups[process]:
            spec = self.deployment.backends[name]
            arguments += ["--backend", f"{name}:{spec.port}:{spec.slots}"]
        self.processes.start(process, "tinrudder_lab.backend_server", *arguments)

    def _group_backends(self, victims: tuple[str, ...]) -> dict[str, list[str]]:
        groups: dict[str, list[str]] = {victim: [victim] for victim in victims}
        others = [name for name in self.deployment.backends if name not in victims]
        for number, name in enumerate(others):
            groups.setdefault(f"backends-{number % BACKEND_PROCESSES}", []).append(name)
        return groups

    # Nodes ---------------------------------------------------------------------------------

    def start_node(self, name: str) -> None:
        """Start a node's process."""
        node = self.nodes[name]
        seeds = [f"{LOOPBACK}:{n.peer_port}" for n in self.nodes.values() if n.name != name]
        flags = [
            f"--name={name}",
            f"--zone={node.zone}",
            f"--region={node.region}",
            f"--caller-port={node.caller_port}",
            f"--peer-port={node.peer_port}",
            f"--platform-url=http://{LOOPBACK}:{self.first_port}",
            f"--seed-peers={','.join(seeds)}",
            f"--claim-window-s={CLAIM_WINDOW_S}",
            f"--clock-skew-s={CLOCK_SKEW_S}",
        ]
        self.processes.start(name, "tinrudder.cli.main", "serve", *flags)

    def unfinished_at_end(self, name: str, exit_code: int) -> int:
        """Return how many requests a stopped node left open, at least 1 for a bad exit."""
        lines = (self.directory / f"{name}.log").read_bytes().splitlines()
        for line in reversed(lines):
            fields = _stopped_line(line)
            if fields is not None:
                return fields.in_progress if exit_code == 0 else max(1, fields.in_progress)
        return 1

    def _make_nodes(self) -> dict[str, DemoNode]:
        nodes = {}
        for number, zone in enumerate(self.topology.zones):
            name = f"{zone.name}-n0"
            caller_port = self.first_port + CALLER_OFFSET + number
            peer_port = self.first_port + PEER_OFFSET + number
            nodes[name] = DemoNode(name, zone.name, zone.region, caller_port, peer_port)
        return nodes


def _make_topology(first_backend_port: int) -> Topology:
    """Return both users' deployments with one service of each shape."""
    zones = [Zone(name, PLATA_REGION) for name in PLATA_ZONES]
    zones += [Zone(name, ARENA_REGION) for name in ARENA_ZONES]
    deployment = both_deployments_resources(first_backend_port)
    return Topology(tuple(zones), 1, deployment)


def _member(node: DemoNode) -> PlatformMember:
    return PlatformMember(node.name, node.zone, node.region, LOOPBACK, node.peer_port)


def _stopped_line(line: bytes) -> StoppedLine | None:
    """Read a log line, ``None`` unless it is a node's last."""
    try:
        fields = msgspec.json.decode(line, type=StoppedLine)
    except msgspec.MsgspecError:
        return None
    return fields if fields.event == STOPPED else None
