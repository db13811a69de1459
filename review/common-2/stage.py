"""Stand-ins and helpers for the scripts of this review: store, back ends, clients, gateways.

Everything runs on loopback addresses.  The store, the back ends and the clients are coroutines of
the script's own process; the gateways are processes, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
STORE_DELAY_S = 0.004
PAGE_ITEMS = 500
READY_TIMEOUT_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


@dataclass(slots=True)
class Message:
    """One HTTP message: a request that arrived, or an answer that was read."""

    start: list[str]
    headers: list[tuple[str, str]]
    body: bytes = b""
    at: float = 0.0

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), default)

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a length, with chunks or without a body; ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = [(name.strip().lower(), value.strip()) for name, _, value in pairs]
    message = Message(lines[0].split(" ", 2), headers, at=time.monotonic())
    if "chunked" in message.header("transfer-encoding"):
        while size := int((await reader.readline()).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        message.body = await reader.readexactly(int(message.header("content-length", "0")))
    return message


def encode(status: int, headers: dict[str, str], body: bytes = b"", reason: str = "X") -> bytes:
    """Encode an answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{key}: {value}" for key, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: ranges and watches over keys with revisions."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.values: dict[str, tuple[int, bytes | None]] = {}
        self.address = ""
        self.acknowledged: list[tuple[float, str]] = []
        self.delay_s = STORE_DELAY_S
        self._changed = asyncio.Condition()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port of ``host``."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    async def put(self, key: str, document: object) -> float:
        """Write a key; return when the write was acknowledged."""
        return await self._write(key, json.dumps(document).encode())

    async def remove(self, key: str) -> float:
        """Remove a key; return when that was acknowledged."""
        return await self._write(key, None)

    async def _write(self, key: str, value: bytes | None) -> float:
        async with self._changed:
            self.revision += 1
            self.values[key] = (self.revision, value)
            self._changed.notify_all()
        at = time.monotonic()
        self.acknowledged.append((at, key))
        return at

    def _item(self, key: str) -> dict[str, object]:
        revision, value = self.values[key]
        if value is None:
            return {"key": key, "rev": revision, "gone": True}
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "rev": revision, "made": revision, "lease": 0}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                parts = urlsplit(request.start[1])
                query = {name: one[0] for name, one in parse_qs(parts.query).items()}
                if parts.path == "/v1/kv-range":
                    answer = self._range(query)
                else:
                    answer = await self._watch(query)
                await asyncio.sleep(self.delay_s)
                body = json.dumps(answer).encode()
                writer.write(encode(200, {"Content-Type": "application/json"}, body))
        self._writers.discard(writer)
        writer.close()

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query["path_prefix"], query.get("after", "")
        keys = sorted(
            key
            for key, (_, value) in self.values.items()
            if key.startswith(prefix) and key > after and value is not None
        )
        items = [self._item(key) for key in keys[:PAGE_ITEMS]]
        return {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query["path_prefix"], int(query["after"])

        def changed() -> list[str]:
            found = [
                (revision, key)
                for key, (revision, _) in self.values.items()
                if key.startswith(prefix) and revision > after
            ]
            return [key for _, key in sorted(found)]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await self._changed.wait_for(changed)
            return {"events": [self._item(key) for key in changed()], "at": self.revision}


@dataclass(slots=True)
class Arrival:
    """A request that arrived at a back end."""

    at: float
    backend: str
    service: str
    message: Message
    ran: bool = True


Handler = Callable[["Backend", Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Backend:
    """One back end; ``handle`` decides what it does with a request."""

    identity: str
    service: str
    handle: Handler
    zone: str = "zone-a"
    slots: int = 4
    arrivals: list[Arrival] = field(default_factory=list)
    address: str = ""
    cold_ms: int = 0
    state: str = "ready"
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    extra: dict[str, object] = field(default_factory=dict)

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on ``host``."""
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict[str, object]:
        """Return what it writes to the store."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": self.cold_ms,
            "seq": 1,
            **self.extra,
        }

    async def register(self, store: Store) -> float:
        """Write the entry."""
        return await store.put(f"servers/{self.identity}", self.entry())

    def headers(self, request: Message) -> dict[str, str]:
        """Return the headers of an answer to a request."""
        return {
            "Tinrudder-Request-Id": request.header("tinrudder-request-id"),
            "Tinrudder-Server-Stamp": f"{self.identity}.{request.header('tinrudder-request-id')}",
            "Tinrudder-Backend-Load": f"1,0,{self.slots}",
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                if request.header("tinrudder-expect-instance") != self.identity:
                    writer.write(encode(421, {"Tinrudder-Instance": self.identity}))
                    continue
                self.arrivals.append(Arrival(request.at, self.identity, self.service, request))
                await self.handle(self, request, writer)
        self.writers.discard(writer)
        writer.close()


def answer_after(seconds: float, body: bytes = b"whole answer") -> Handler:
    """Return a handler that answers with success after a time."""

    async def handle(backend: Backend, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        writer.write(encode(200, backend.headers(request), body))

    return handle


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free on ``host``."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


@dataclass
class Gateway:
    """One gateway process."""

    name: str
    host: str
    zone: str
    port: int
    ready_port: int
    control_port: int
    folder: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def settings(self) -> Path:
        """Return the path of its settings file."""
        return self.folder / f"{self.name}.toml"

    @property
    def log(self) -> Path:
        """Return the path of its log."""
        return self.folder / f"{self.name}.log"

    def write_settings(self, seeds: list[str], store: str, bounds: dict[str, object]) -> None:
        """Write the settings file, as the platform does."""
        figures = {**BOUNDS, **bounds}
        lines = [
            f'node = "{self.name}"',
            f'zone = "{self.zone}"',
            f"seeds = {json.dumps(seeds)}",
            "[listen]",
            f'front = "{self.host}:{self.port}"',
            f'ready = "{self.host}:{self.ready_port}"',
            f'control = "{self.host}:{self.control_port}"',
            "[limits]",
            "cpu_share = 0.537",
            "cores = 2",
            "memory_mb = 300",
            "max_fds = 4100",
            "[bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in figures.items()),
            "[platform]",
            f'addr = "{store}"',
        ]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TINRUDDER_CONFIG": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def send(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask for readiness, as the platform does."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                client = await Client.connect(self.host, self.ready_port)
                answer = await client.ask("GET", "/v1/ready", {"Host": "ready"})
                client.close()
                return answer is not None and answer.status == 200
        return False


BOUNDS: dict[str, object] = {
    "contact_ms": 4000,
    "ack_ms": 5000,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "skew_max_ms": 12000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 56,
    "recovery_s": 12,
}


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap an open connection."""
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, host: str, port: int) -> Client:
        """Open a connection."""
        return cls(*await asyncio.open_connection(host, port))

    def send(self, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Send one request."""
        lines = [f"{method} {target} HTTP/1.1", *(f"{key}: {one}" for key, one in headers.items())]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def ask(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Message | None:
        """Send one request and read its answer; ``None`` if the connection ended without one."""
        try:
            self.send(method, target, headers, body)
            return await read_message(self.reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            return None

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


@dataclass(slots=True)
class Sent:
    """One request of a client, and how it ended: a status, or why there is none."""

    request_id: str
    gateway: str
    at: float
    outcome: str = "open"
    took_s: float = 0.0

    @property
    def served(self) -> bool:
        """Return whether the client got a success."""
        return self.outcome.startswith("2")


class Traffic:
    """Clients that send requests at a steady pace, over kept connections; none retries."""

    def __init__(
        self,
        method: str = "GET",
        target: str = "/desk/1",
        deadline_ms: int = 6000,
        wait_s: float = 7.0,
    ) -> None:
        """Prepare; every request waits ``wait_s`` for its answer, longer than its deadline."""
        self.sent: list[Sent] = []
        self.more_headers: dict[str, str] = {}
        self._method = method
        self._target = target
        self._deadline_ms = deadline_ms
        self._wait_s = wait_s
        self._number = 0
        self._idle: dict[str, list[Client]] = {}

    async def run(self, gateway: Gateway, per_s: float, seconds: float) -> None:
        """Send ``per_s`` requests a second to one gateway, and wait for the last answer."""
        tasks = []
        due_at = time.monotonic()
        end_at = due_at + seconds
        while due_at < end_at:
            tasks.append(asyncio.create_task(self.one(gateway)))
            due_at += 1.0 / per_s
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        await asyncio.gather(*tasks)

    async def one(self, gateway: Gateway) -> Sent:
        """Send one request."""
        self._number += 1
        sent = Sent(f"r{self._number:05}", gateway.name, time.monotonic())
        self.sent.append(sent)
        idle = self._idle.setdefault(gateway.name, [])
        try:
            async with asyncio.timeout(self._wait_s):
                client = idle.pop() if idle else await Client.connect(gateway.host, gateway.port)
                fields = headers(sent.request_id, self._deadline_ms, **self.more_headers)
                answer = await client.ask(self._method, self._target, fields)
        except TimeoutError:
            sent.outcome = "no answer"
        except OSError as error:
            sent.outcome = type(error).__name__
        else:
            sent.outcome = "connection ended" if answer is None else str(answer.status)
            if answer is not None and answer.header("connection") != "close":
                idle.append(client)
            else:
                client.close()
        sent.took_s = time.monotonic() - sent.at
        return sent

    def between(self, begin: float, end: float) -> list[Sent]:
        """Return the requests sent in a span of time."""
        return [one for one in self.sent if begin <= one.at < end]


def most_within(times: list[float], window_s: float) -> tuple[int, float]:
    """Return the most moments in any span of ``window_s``, and when that span begins."""
    ordered = sorted(times)
    best = (0, 0.0)
    first = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= window_s:
            first += 1
        best = max(best, (last - first + 1, ordered[first]))
    return best


class Stage:
    """The deployment of one script: a store, back ends, gateways and the record of the run."""

    def __init__(self, folder: Path) -> None:
        """Write the record to ``folder``."""
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.backends: list[Backend] = []
        self.started_at = time.monotonic()
        self._lines: list[str] = []
        self._record = folder / "record.txt"
        self.folder = Path(tempfile.mkdtemp(prefix="tinrudder-review-"))
        self.note(f"trouble: {'on' if self.trouble else 'off'}")

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    async def add_gateways(
        self, count: int, zones: list[str], bounds: dict[str, object] | None = None
    ) -> list[Gateway]:
        """Start ``count`` gateways, spread over ``zones``, and wait until they are ready.

        The first three gateways of the stage are the seeds of all.
        """
        added = []
        for number in range(len(self.gateways), len(self.gateways) + count):
            host = f"127.0.8.{2 + number}"
            ports = [free_port(host) for _ in range(3)]
            zone = zones[number % len(zones)]
            added.append(Gateway(f"front-{number + 1}", host, zone, *ports, self.folder))
        self.gateways += added
        seeds = [f"{one.host}:{one.control_port}" for one in self.gateways[:3]]
        for gateway in added:
            gateway.write_settings(seeds, self.store.address, bounds or {})
            gateway.start()
        await self.wait_ready(*added)
        return added

    async def wait_ready(self, *gateways: Gateway) -> None:
        """Wait until gateways are ready."""
        end_at = time.monotonic() + READY_TIMEOUT_S
        for gateway in gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end_at:
                    raise TimeoutError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        self.note(f"ready: {len(gateways)} gateways")

    async def add_backend(self, backend: Backend, host: str = "127.0.4.1") -> Backend:
        """Start a back end and record it in the store."""
        await backend.start(host)
        await backend.register(self.store)
        self.backends.append(backend)
        return backend

    def arrivals(self) -> list[Arrival]:
        """Return what arrived at all back ends, in order."""
        return sorted((one for each in self.backends for one in each.arrivals), key=lambda a: a.at)

    def since_start(self, at: float) -> float:
        """Return a moment as the record shows it."""
        return at - self.started_at

    def note_traffic(self, traffic: Traffic) -> None:
        """Add what was sent, answered and run to the record."""
        ran: dict[str, list[str]] = {}
        for one in self.arrivals():
            at = f"{one.backend} at {self.since_start(one.at):.3f}"
            ran.setdefault(one.message.header("tinrudder-request-id"), []).append(at)
        for sent in traffic.sent:
            runs = ", ".join(ran.get(sent.request_id, ["nowhere"]))
            self._lines.append(
                f"{self.since_start(sent.at):8.3f} {sent.request_id} to {sent.gateway}: "
                f"{sent.outcome} after {sent.took_s:.3f} s; arrived {runs}"
            )

    def end(self) -> None:
        """End all processes and write the record."""
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            gateway.send(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()
        self._record.write_text("\n".join(self._lines) + "\n")
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, prefix: str, **fields: object) -> dict[str, object]:
    """Return a route of the operator's configuration."""
    base = {
        "name": name,
        "host": "hall.example",
        "path_prefix": prefix,
        "kind": "safe",
        "timeout_ms": 6000,
        "goal_ms": 500,
        "priority": 1,
        "attempts": 2,
        "public": False,
    }
    return {**base, **fields}


def configuration(
    version: int, routes: list[dict[str, object]], services: dict[str, int], **fields: object
) -> dict[str, object]:
    """Return the operator's configuration; ``services`` maps names to ``max_conns``."""
    listed = [
        {"name": name, "health_path": "/health", "max_conns": most, "protocol": "h1", "tls": False}
        for name, most in services.items()
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": version, "routes": routes, "services": listed, "limits": limits, **fields}


def headers(request_id: str, deadline_ms: int = 6000, **more: str) -> dict[str, str]:
    """Return the headers of a client's request."""
    base = {
        "Host": "hall.example",
        "Tinrudder-Request-Id": request_id,
        "Tinrudder-Deadline-Ms": str(deadline_ms),
    }
    return base | more


def run_case(
    folder: Path, play: Callable[[Stage], Awaitable[bool]], limit_s: float = 110.0
) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def main() -> int:
        stage = Stage(folder)
        try:
            await stage.store.start("127.0.3.1")
            async with asyncio.timeout(limit_s):
                held = await play(stage)
            stage.note("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        except Exception as error:
            stage.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            stage.end()

    loop = asyncio.new_event_loop()
    result = loop.run_until_complete(main())
    # Connections are still open; closing the loop would only print their warnings.
    sys.stderr.flush()
    sys.stdout.flush()
    os._exit(result)
