"""One small site: a store, back ends, gateways, and a record of what they and the clients see."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

from stand_ins.backends import Backend, BackendSpec
from stand_ins.gateways import CONTROL_PORT, FRONT_PORT, READY_PORT, Gateway
from stand_ins.record import Record
from stand_ins.store import Store

STORE_PORT = 8102
METRICS_PORT = 9464
BACKEND_PORT = 8080
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def with_trouble() -> bool:
    """Tell whether the case brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Site:
    """Starts everything on loopback addresses that are free."""

    def __init__(self, zones: list[str], bounds: dict[str, object] | None = None) -> None:
        """Lay the site out with one gateway for each entry of ``zones``."""
        self.record = Record()
        self.store = Store()
        self.backends: list[Backend] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._network = _free_network(len(zones))
        hosts = [f"{self._network}.{number}" for number in range(1, len(zones) + 1)]
        seeds = [f"{host}:{CONTROL_PORT}" for host in hosts[:3]]
        self.gateways = [
            Gateway(
                f"front-{zone}-{number}",
                host,
                zone,
                seeds,
                f"{self._network}.200:{STORE_PORT}",
                self.folder,
                bounds or {},
            )
            for number, (host, zone) in enumerate(zip(hosts, zones, strict=True), 1)
        ]

    def backend_host(self, number: int) -> str:
        """Return the address of a back end."""
        return f"{self._network}.{100 + number}"

    async def add_backend(self, spec: BackendSpec) -> Backend:
        """Start a back end and put its entry into the store."""
        backend = Backend(spec, self.record)
        await backend.listen()
        self.backends.append(backend)
        await self.store.put(f"servers/{spec.backend_id}", spec.entry())
        return backend

    async def start(self, configuration: dict[str, object]) -> None:
        """Write the first configuration, start the gateways, and wait until they are ready."""
        await self.store.listen(f"{self._network}.200", STORE_PORT)
        await self.store.put("op/config", configuration)
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
        self.record.note("all gateways are ready")

    async def close(self) -> None:
        """End every process and remove the folder; ``KEEP_LOGS`` names a place for the logs."""
        for gateway in self.gateways:
            await gateway.end()
        for backend in self.backends:
            backend.close()
        self.store.close()
        kept = os.environ.get("KEEP_LOGS")
        for log in self.folder.glob("*.log") if kept else ():
            shutil.copy(log, Path(kept or "") / log.name)
        shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.asynccontextmanager
async def running(
    site: Site, configuration: dict[str, object], case: Path
) -> AsyncIterator[Record]:
    """Run a site for one case; write its record into the folder of the case."""
    try:
        await site.start(configuration)
        yield site.record
    finally:
        await site.close()
        site.record.write(case / "record.txt")


def run_case(main: Callable[[], Awaitable[bool]]) -> None:
    """Run a case and exit as the review asks: 0 held, 1 broken, 2 could not run."""
    try:
        held = asyncio.run(_awaited(main))
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    sys.exit(HELD if held else BROKEN)


async def _awaited(main: Callable[[], Awaitable[bool]]) -> bool:
    return await main()


def _free_network(gateways: int) -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT)
    for _ in range(50):
        network = f"127.{random.randint(64, 120)}.{random.randint(1, 250)}"
        wanted = [
            (f"{network}.{number}", port) for number in range(1, gateways + 1) for port in ports
        ]
        wanted.append((f"{network}.200", STORE_PORT))
        try:
            for address in wanted:
                with socket.socket() as one:
                    one.bind(address)
        except OSError:
            continue
        return network
    raise OSError("no free loopback addresses")
