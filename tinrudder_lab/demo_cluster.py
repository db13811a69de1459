"""The processes of the demo: the platform, the back ends and the nodes, all on loopback."""

from __future__ import annotations

import itertools
import signal
import socket
from dataclasses import dataclass
from pathlib import Path

import msgspec

from tinrudder.node.configuration_service.messages import (
    MemberList,
    PlatformMember,
    ResourceDocument,
)
from tinrudder_lab.deployment import (
    ARENA_REGION,
    ARENA_ZONES,
    LOOPBACK,
    PLATA_REGION,
    PLATA_ZONES,
    Deployment,
    build_deployment,
)
from tinrudder_lab.platform_server import PlatformState
from tinrudder_lab.processes import ProcessGroup

FIRST_PORT = 21000
LAST_PORT = 32000
CALLER_OFFSET = 10
PEER_OFFSET = 50
BACKEND_OFFSET = 100
BLOCK_SIZE = 250
NODES_PER_ZONE = 2
BACKEND_PROCESSES = 4
SERVICE_MS = 1.5


@dataclass(frozen=True, slots=True)
class DemoNode:
    """One node process."""

    name: str
    zone: str
    region: str
    caller_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f"http://{LOOPBACK}:{self.caller_port}"


class StoppedFields(msgspec.Struct, frozen=True):
    """Fields of a node's last log line that the demo sums up."""

    event: str
    local: int = 0
    relayed: int = 0
    fallback: int = 0


class DemoCluster:
    """Starts and stops the demo's processes.

    :param killed_backend: the back end that will be killed; it runs in a process of its own.
    """

    def __init__(self, directory: Path, killed_backend: str) -> None:
        """Keep logs in ``directory``."""
        self.directory = directory
        self.killed_backend = killed_backend
        self.processes = ProcessGroup(directory)
        first_port = find_free_block()
        self.platform_port = first_port
        self.platform_url = f"http://{LOOPBACK}:{first_port}"
        self.nodes = make_nodes(first_port)
        self.deployment: Deployment = build_deployment(first_port + BACKEND_OFFSET)

    async def start(self) -> None:
        """Start the platform, the back ends and the nodes."""
        await self._start_platform()
        await self._start_backends()
        for node in self.nodes:
            await self._start_node(node)

    async def kill_backend(self) -> None:
        """Kill ``killed_backend`` with SIGKILL."""
        self.processes.send_signal("victim", signal.SIGKILL)
        await self.processes.wait("victim")

    async def stop_node(self, node: DemoNode) -> int | None:
        """Stop a node as planned; return its exit code, ``None`` if it did not exit in time."""
        self.processes.send_signal(node.name, signal.SIGTERM)
        return await self.processes.wait(node.name)

    def stopped_fields(self) -> list[StoppedFields]:
        """Return the last log line of every stopped node."""
        found = []
        for node in self.nodes:
            for line in self.processes.log_of(node.name).read_bytes().splitlines():
                fields = _stopped_fields(line)
                if fields is not None:
                    found.append(fields)
        return found

    async def _start_platform(self) -> None:
        members = tuple(
            PlatformMember(node.name, node.zone, node.region, LOOPBACK, node.peer_port)
            for node in self.nodes
        )
        document = ResourceDocument(1, tuple(self.deployment.resources))
        path = self.directory / "platform.json"
        path.write_bytes(msgspec.json.encode(PlatformState(document, MemberList(1, members))))
        arguments = ("--port", str(self.platform_port), "--state", str(path))
        await self.processes.start("platform", "tinrudder_lab.platform_server", *arguments)

    async def _start_backends(self) -> None:
        groups: list[list[str]] = [[] for _ in range(BACKEND_PROCESSES)]
        others = [name for name in self.deployment.backends if name != self.killed_backend]
        for number, name in enumerate(others):
            groups[number % BACKEND_PROCESSES].append(name)
        for number, names in enumerate(groups):
            await self._start_backend_process(f"backends-{number}", names)
        await self._start_backend_process("victim", [self.killed_backend])

    async def _start_backend_process(self, process: str, names: list[str]) -> None:
        arguments = ["--service-ms", str(SERVICE_MS)]
        for name in names:
            spec = self.deployment.backends[name]
            arguments += ["--backend", f"{name}:{spec.port}:{spec.slots}"]
        await self.processes.start(process, "tinrudder_lab.backend_server", *arguments)

    async def _start_node(self, node: DemoNode) -> None:
        flags = [
            f"--name={node.name}",
            f"--zone={node.zone}",
            f"--region={node.region}",
            f"--caller-port={node.caller_port}",
            f"--peer-port={node.peer_port}",
            f"--platform-url={self.platform_url}",
        ]
        await self.processes.start(node.name, "tinrudder.cli.main", "serve", *flags)


def find_free_block() -> int:
    """Return the first port of a block of ``BLOCK_SIZE`` free ports.

    :raises OSError: there is no such block.
    """
    for first in range(FIRST_PORT, LAST_PORT, BLOCK_SIZE):
        if all(_is_free(port) for port in range(first, first + BLOCK_SIZE)):
            return first
    raise OSError(f"no block of {BLOCK_SIZE} free ports between {FIRST_PORT} and {LAST_PORT}")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def make_nodes(first_port: int) -> list[DemoNode]:
    """Return ``NODES_PER_ZONE`` nodes for each zone."""
    zones = [(PLATA_REGION, zone) for zone in PLATA_ZONES]
    zones += [(ARENA_REGION, zone) for zone in ARENA_ZONES]
    nodes = []
    for number, ((region, zone), copy) in enumerate(
        itertools.product(zones, range(NODES_PER_ZONE))
    ):
        caller_port = first_port + CALLER_OFFSET + number
        peer_port = first_port + PEER_OFFSET + number
        nodes.append(DemoNode(f"{zone}-n{copy}", zone, region, caller_port, peer_port))
    return nodes


def _stopped_fields(line: bytes) -> StoppedFields | None:
    """Parse a log line; return ``None`` unless it is the last line of a node."""
    try:
        fields = msgspec.json.decode(line, type=StoppedFields)
    except msgspec.MsgspecError:
        return None
    return fields if fields.event == "stopped" else None
