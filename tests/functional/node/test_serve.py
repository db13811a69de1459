"""Two node processes over TLS: relayed queries, planned stop, operations, key rotation."""

from __future__ import annotations

import asyncio
import random
import re
import signal
import socket
import ssl
import sys
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import pytest
import trustme
import uvicorn

from tinrudder.node.configuration_service.messages import (
    MemberList,
    PlatformMember,
    RawResource,
    ResourceDocument,
)
from tinrudder.node.resources.model import BackendSpec, Kind
from tinrudder_lab.backend_model import BackendBehaviour, BackendModel
from tinrudder_lab.backend_server import serve_model
from tinrudder_lab.datasets import ShardStore
from tinrudder_lab.deployment import (
    LOOPBACK,
    OPERATION_RULE_SUFFIX,
    PLATA_REGION,
    Deployment,
    build_deployment,
)
from tinrudder_lab.platform_server import PlatformState, build_app

SERVICE = "finance"
SERVICE_TIME_S = 0.03
SLOWDOWN = 10.0
"""Factor on the service time of back ends, which makes it 0.3 s: no query may end before three are
relayed, even if six handshakes are slow on a busy machine."""
TIMEOUT_S = 20.0
PORTS = (11_000, 21_000)


def free_port() -> int:
    """Return a free port outside the range of outgoing connections, so none takes it before use."""
    source = random.SystemRandom()
    while True:
        port = source.randrange(*PORTS)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


@dataclass
class Reply:
    """One HTTP answer."""

    status: int
    headers: bytes
    body: dict[str, object] = field(default_factory=dict)
    text: bytes = b""


@dataclass
class Cluster:
    """Two nodes, a platform and the back ends of one service."""

    directory: Path
    deployment: Deployment
    authority: trustme.CA
    ports: dict[str, int] = field(default_factory=dict)
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    models: list[BackendModel] = field(default_factory=list)
    valid_until: float = 0.0

    def write_identity(self) -> None:
        certificate = self.authority.issue_cert(LOOPBACK)
        self.authority.cert_pem.write_to_path(str(self.directory / "ca.pem"))
        certificate.private_key_pem.write_to_path(str(self.directory / "key.pem"))
        certificate.cert_chain_pems[0].write_to_path(str(self.directory / "cert.pem"))

    async def start_node(self, member: PlatformMember, platform_port: int) -> None:
        self.ports[member.name] = free_port()
        files = {name: self.directory / f"{name}.pem" for name in ("cert", "key", "ca")}
        arguments = [
            f"--name={member.name}",
            f"--zone={member.zone}",
            f"--region={member.region}",
            f"--caller-port={self.ports[member.name]}",
            f"--peer-port={member.port}",
            f"--platform-url=http://{LOOPBACK}:{platform_port}",
            "--stop-grace-s=0.5",
            "--tls-check-s=0.1",
            f"--peer-tls-certificate={files['cert']}",
            f"--peer-tls-key={files['key']}",
            f"--peer-tls-authority={files['ca']}",
            f"--caller-tls-certificate={files['cert']}",
            f"--caller-tls-key={files['key']}",
        ]
        self.processes[member.name] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tinrudder.cli.main", "serve", *arguments),
            stderr=(self.directory / f"{member.name}.log").open("wb"),
        )

    async def request(
        self, node: str, method: str, path: str, body: bytes = b"", head: str = ""
    ) -> Reply:
        """Send one request over a new connection."""
        context = ssl.create_default_context(cadata=self.authority.cert_pem.bytes().decode())
        reader, writer = await asyncio.open_connection(LOOPBACK, self.ports[node], ssl=context)
        lines = f"{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: {len(body)}\r\n{head}\r\n"
        writer.write(lines.encode() + body)
        headers = await reader.readuntil(b"\r\n\r\n")
        length = int(headers.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        content = await reader.readexactly(length)
        writer.close()
        if b"application/json" not in headers:
            return Reply(int(headers.split()[1]), headers.lower(), text=content)
        return Reply(int(headers.split()[1]), headers.lower(), msgspec.json.decode(content))

    async def query(self, node: str) -> Reply:
        kind = next(kind for kind in self.deployment.query_kinds if kind.rule == SERVICE)
        body = msgspec.json.encode({"index": kind.index, "rule": kind.rule, "limit": 5})
        head = f"Authorization: {kind.caller.authorization}\r\n"
        return await self.request(node, "POST", "/v1/query", body, head)

    async def operate(self, node: str, operation: str = "book") -> Reply:
        kind = next(kind for kind in self.deployment.query_kinds if kind.rule == SERVICE)
        content = {
            "index": kind.index,
            "rule": kind.rule + OPERATION_RULE_SUFFIX,
            "operation": operation,
            "key": "entry-0001",
            "valid_until": self.valid_until,
        }
        head = f"Authorization: {kind.caller.authorization}\r\n"
        body = msgspec.json.encode(content)
        return await self.request(node, "POST", "/v1/operations", body, head)

    async def wait_for_members(self) -> None:
        """Wait until every node has logged the other as alive, since it relays only then."""
        async with asyncio.timeout(TIMEOUT_S):
            while not all(self._knows_the_other(node) for node in self.processes):
                await asyncio.sleep(0.02)

    def _knows_the_other(self, node: str) -> bool:
        text = (self.directory / f"{node}.log").read_bytes()
        return any(b'"member changed"' in line and b'"alive"' in line for line in text.splitlines())

    def set_slowdown(self, factor: float) -> None:
        """Set the slowdown of back ends for calls that arrive from now on."""
        for model in self.models:
            model.behaviour.slowdown = factor

    async def wait_for_relayed(self, queries: int) -> None:
        """Wait until the nodes have relayed at least this number of queries."""
        async with asyncio.timeout(TIMEOUT_S):
            while sum([await self.relayed(node) for node in self.processes]) < queries:
                await asyncio.sleep(0.005)

    async def relayed(self, node: str) -> float:
        reply = await self.request(node, "GET", "/metrics")
        found = re.search(rb"^tinrudder_queries_relayed_total (\S+)", reply.text, re.MULTILINE)
        assert found is not None, reply.text[:200]
        return float(found[1])

    async def wait_for_status(self, node: str, path: str, status: int) -> Reply:
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    reply = await self.request(node, "GET", path)
                    if reply.status == status:
                        return reply
                except (OSError, EOFError):
                    pass
                await asyncio.sleep(0.02)


@asynccontextmanager
async def running_cluster(directory: Path):
    """Start the platform, back ends and nodes, and stop them at the end."""
    loop = asyncio.get_running_loop()
    deployment = build_deployment(1024, services_per_shape=1)
    cluster = Cluster(directory, deployment, trustme.CA())
    cluster.write_identity()
    servers = []
    resources: list[RawResource] = []
    for raw in deployment.resources:
        spec = deployment.backends.get(raw.name) if raw.kind == Kind.BACKEND.value else None
        if spec is not None and spec.service == SERVICE:
            behaviour = BackendBehaviour(slots=spec.slots, service_median_s=SERVICE_TIME_S)
            model = BackendModel(raw.name, loop, random.Random(1), ShardStore(), behaviour)
            cluster.models.append(model)
            servers.append(await serve_model(model, LOOPBACK, 0))
            port = servers[-1].sockets[0].getsockname()[1]
            moved: BackendSpec = msgspec.structs.replace(spec, port=port)
            raw = msgspec.structs.replace(raw, spec=msgspec.Raw(msgspec.json.encode(moved)))
        resources.append(raw)
    members = tuple(
        PlatformMember(name, f"mvd-{name}", PLATA_REGION, LOOPBACK, free_port())
        for name in ("a", "b")
    )
    state = PlatformState(ResourceDocument(1, tuple(resources)), MemberList(1, members))
    platform_port = free_port()
    config = uvicorn.Config(
        build_app(state), host=LOOPBACK, port=platform_port, loop="asyncio", log_level="error"
    )
    platform = uvicorn.Server(config)
    serving = asyncio.create_task(platform._serve())
    try:
        for member in members:
            await cluster.start_node(member, platform_port)
        for member in members:
            await cluster.wait_for_status(member.name, "/readyz", 200)
        await cluster.wait_for_members()
        yield cluster
    finally:
        for process in cluster.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        platform.should_exit = True
        await serving
        for server in servers:
            server.close()


@pytest.mark.parametrize("signals", [1, 2])
def test_planned_stop_of_every_node_interrupts_no_query(tmp_path: Path, signals: int) -> None:
    async def scenario() -> None:
        async with running_cluster(tmp_path) as cluster:
            cluster.set_slowdown(SLOWDOWN)
            queries = [asyncio.create_task(cluster.query(node)) for node in ("a", "b") * 3]
            await cluster.wait_for_relayed(3)
            assert not any(query.done() for query in queries)
            cluster.set_slowdown(1.0)
            for _ in range(signals):
                for process in cluster.processes.values():
                    process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.01)
            unready = await cluster.wait_for_status("a", "/readyz", 503)
            assert unready.body["state"] == "leaving"
            alive = await cluster.request("a", "GET", "/healthz")
            assert alive.status == 200
            assert b"connection: close" in alive.headers
            late = asyncio.create_task(cluster.query("b"))
            for reply in await asyncio.gather(*queries, late):
                assert reply.status == 200, reply.body
            for process in cluster.processes.values():
                assert await process.wait() == 0
        logs = b"".join(path.read_bytes() for path in tmp_path.glob("*.log"))
        stopped = [line for line in logs.splitlines() if b'"stopped"' in line]
        assert len(stopped) == 2
        assert sum(msgspec.json.decode(line)["relayed"] for line in stopped) >= 3

    asyncio.run(scenario())


def test_an_operation_sent_through_both_nodes_runs_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_cluster(tmp_path) as cluster:
            async with asyncio.timeout(TIMEOUT_S):
                status = 503
                while status == 503:
                    cluster.valid_until = time.time() + 59.5
                    first = await cluster.operate("a")
                    status = first.status
                    await asyncio.sleep(0.05)
            assert (status, first.body["outcome"]) == (200, "complete"), first.body
            second = await cluster.operate("b")
            assert (second.status, second.body["outcome"]) == (200, "complete"), second.body
            other = await cluster.operate("b", "cancel")
            assert (other.status, other.body["reason"]) == (409, "already_claimed")
            assert sum(model.counters.operations for model in cluster.models) == 1

    asyncio.run(scenario())


def test_keys_of_callers_and_nodes_rotate_without_restart(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_cluster(tmp_path) as cluster:
            cluster.authority = trustme.CA()
            cluster.write_identity()
            for node in ("a", "b"):
                await cluster.wait_for_status(node, "/healthz", 200)
                assert (await cluster.query(node)).status == 200

    asyncio.run(scenario())
