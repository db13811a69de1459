"""An emulated site whose gateways are separate processes and whose links go through proxies."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tomllib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path

from tinrudder.common.address import Address
from tinrudder.gateway.model.configuration import QuotaBounds
from tinrudder.platform.settings_file import SETTINGS_VARIABLE
from tinrudder_lab.emulator.records import Disturbance
from tinrudder_lab.emulator.site import (
    BACKEND_PORT,
    CLIENT_PORT,
    DRAIN_S,
    GRACE_S,
    HEALTH_PORT,
    PEER_PORT,
    REPEATS,
    AddressBlock,
    EmulatedNode,
    EmulatedSite,
)
from tinrudder_lab.processes import ProcessGroup
from tinrudder_lab.soak.loopback_network import LoopbackNetwork, reserve_network
from tinrudder_lab.soak.proxy import LinkProxy
from tinrudder_lab.soak.surroundings import Surroundings, hold_address, write_in_halves

MS_PER_SECOND = 1000
ROOT = Path(__file__).parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = GRACE_S + 4.0
REVOCATION_S = 5.0
QUOTAS = QuotaBounds()
MEMORY_MB = 152
"""Memory limit in a gateway's settings, megabytes: the smallest setting in use."""


def _deployed_command() -> tuple[str, ...]:
    """Return the command that the deploy file runs on each machine, with this interpreter."""
    deployment = tomllib.loads(DEPLOY_FILE.read_text())
    (role,) = deployment["roles"].values()
    _, *arguments = role["run"].split(" ")
    return (sys.executable, *arguments)


def _environment(settings: Path) -> dict[str, str]:
    """Return the variables that a deployed process gets."""
    passed = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
    return {**passed, "PYTHONPATH": str(ROOT), SETTINGS_VARIABLE: str(settings)}


async def _is_listening(host: str, port: int) -> bool:
    """Return whether connections to an address are accepted."""
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


def version_route(version: int) -> str:
    """Return the name of the route that exists only in this version of the configuration."""
    return f"version-{version}"


@dataclass
class ProcessSite(EmulatedSite):
    """Gateways run as processes; store and back ends run in this process, behind proxies.

    :param folder: directory for settings files and logs.
    :param network: the loopback addresses of this site.
    :param problems: failures that fault injection found, beyond what clients and back ends see.
    :param peak_mb: highest memory use of any gateway's process, megabytes.
    :param memory_mb: memory limit in the gateways' settings, megabytes.
    :param draw_surroundings: returns the surroundings of the next start of a gateway.
    :param prepare_process: called in each new process of a gateway before its program runs.
    :param restore_lock: held during a restore of the store, and during a start of all gateways:
        processes that all start from a copy cannot know what it lacks.
    :param versions: time at which each version of the configuration was written.
    """

    folder: Path = field(default_factory=Path)
    network: LoopbackNetwork = field(default_factory=reserve_network)
    links: dict[str, LinkProxy] = field(default_factory=dict)
    processes: ProcessGroup = field(init=False)
    problems: list[str] = field(default_factory=list)
    peak_mb: float = 0.0
    versions: dict[int, float] = field(default_factory=dict)
    memory_mb: float = MEMORY_MB
    draw_surroundings: Callable[[], Surroundings] = Surroundings
    prepare_process: Callable[[], None] | None = None
    restore_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _locks: dict[str, asyncio.Lock] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Keep the gateways' logs in the folder."""
        self.processes = ProcessGroup(self.folder)

    async def expose_backend(self, backend_id: str, address: Address) -> Address:
        """Start a proxy in front of a back end; return the proxy's address."""
        proxied = Address(self._proxy_host(address.host), BACKEND_PORT)
        await self._add_link(backend_id, address, proxied)
        return proxied

    def host(self, block: AddressBlock, number: int) -> str:
        """Return an IP address in this site's own network."""
        return self.network.host(block, number)

    def _proxy_host(self, backend_host: str) -> str:
        """Return the address of the proxy in front of a back end."""
        return self.network.host_beside(
            backend_host, AddressBlock.BACKENDS, AddressBlock.BACKEND_PROXIES
        )

    @property
    def _store_proxy_host(self) -> str:
        """Return the address at which gateways reach the store."""
        return self.host(AddressBlock.STORE_PROXIES, 0)

    def start_node(self, node: EmulatedNode) -> None:
        """Start or restart a gateway's process."""
        self.loop.create_task(self.launch(node))

    async def launch(self, node: EmulatedNode) -> None:
        """Start a gateway's process and wait until its own code runs.

        A signal during the start of the interpreter ends any program, so none is sent before the
        readiness address is served.  From then on the gateway must handle signals.
        """
        await self._link_to_store(node)
        around = self.draw_surroundings()
        settings = self.settings_file(node)
        holder = hold_address(node.host, *around.held) if around.held is not None else None
        writing = asyncio.create_task(
            write_in_halves(settings, self.settings_text(node), around.half_written_s)
        )
        await asyncio.sleep(0.0)
        environment = _environment(settings)
        if not around.has_home:
            environment.pop("HOME", None)
        prepare = self.prepare_process or around.prepare
        await self.processes.start_command(node.name, _deployed_command(), environment, prepare)
        await asyncio.sleep(around.held_s)
        await writing
        if holder is not None:
            holder.close()
        await self._wait_until_listening(node, around)

    def settings_file(self, node: EmulatedNode) -> Path:
        """Return the path of a gateway's settings."""
        return self.folder / f"{node.name}.toml"

    async def _wait_until_listening(self, node: EmulatedNode, around: Surroundings) -> None:
        """Wait until a gateway serves its readiness address; record a problem if it does not."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await _is_listening(node.host, HEALTH_PORT):
                    if self.processes.pid_of(node.name) is None:
                        self.problems.append(f"start: {node.name} ended with {around}")
                        return
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            self.problems.append(f"start: {node.name} does not listen, {around}")

    def extra_routes(self) -> list[str]:
        """Return a route that only this version has, to show whether it is in force."""
        self.versions[self.version] = self.loop.time()
        return [version_route(self.version)]

    @contextlib.asynccontextmanager
    async def lock_random_node(self) -> AsyncIterator[EmulatedNode]:
        """Draw a gateway; see :meth:`locked`."""
        async with self.locked(self.random.choice(self.nodes)) as node:
            yield node

    @contextlib.asynccontextmanager
    async def locked(self, node: EmulatedNode) -> AsyncIterator[EmulatedNode]:
        """Lock a gateway against other process faults; record the disturbance.

        Also records a process that has ended by itself, which a restart would hide.
        """
        async with self._locks.setdefault(node.name, asyncio.Lock()):
            if self.processes.pid_of(node.name) is None:
                self.problems.append(f"unexpected exit: {node.name}, before the next fault")
            disturbance = Disturbance(node.host, self.loop.time())
            self.ledger.disturbances.append(disturbance)
            yield node
            disturbance.until = self.loop.time()

    def signal_node(self, node: EmulatedNode, number: signal.Signals) -> None:
        """Send a signal to a gateway's process, which this soak started."""
        self.processes.send_signal(node.name, number)

    def signal_running(self, node: EmulatedNode, number: signal.Signals) -> None:
        """Send a signal to a gateway's process, unless it is being stopped or started."""
        lock = self._locks.get(node.name)
        if lock is None or not lock.locked():
            self.signal_node(node, number)

    def kill_node(self, node: EmulatedNode) -> None:
        """Kill a gateway's process."""
        self.signal_node(node, signal.SIGKILL)

    async def wait_for_end(self, node: EmulatedNode) -> int | None:
        """Wait for a gateway's process to end; return its exit code, ``None`` on time-out."""
        return await self.processes.wait(node.name, STOP_TIMEOUT_S)

    def unexpected_exits(self) -> list[str]:
        """Return the gateways that exited although no fault ended them, with their exit codes."""
        return [
            f"unexpected exit: {name} ended with {code}"
            for name, code in self.processes.exit_codes().items()
        ]

    async def close(self) -> None:
        """End every process that this soak started, and close all sockets."""
        await self.processes.kill_all()
        for link in self.links.values():
            await link.close()
        self.network.release()
        for backend in self.backends.values():
            backend.stop()
        if self.nodes:
            self.store.close()

    def on_replaced(self, backend_id: str, new_id: str) -> None:
        """Register a back end's link under its new id too."""
        self.links[new_id] = self.links[backend_id]

    async def _link_to_store(self, node: EmulatedNode) -> None:
        """Start the proxy between a gateway and the store, unless it runs already."""
        if node.name not in self.links:
            target = Address(self.store.host, node.store_port)
            await self._add_link(
                node.name, target, Address(self._store_proxy_host, node.store_port)
            )

    async def _add_link(self, name: str, target: Address, address: Address) -> None:
        link = LinkProxy(target)
        self.links[name] = link
        await link.listen(address)

    def settings_text(self, node: EmulatedNode) -> str:
        """Return the contents of a gateway's settings file."""
        seeds = ", ".join(f'"{seed}"' for seed in self.seeds)
        return f"""node = "{node.name}"
zone = "{node.machine.zone}"
seeds = [{seeds}]
[listen]
front = "{node.host}:{CLIENT_PORT}"
ready = "{node.host}:{HEALTH_PORT}"
control = "{node.host}:{PEER_PORT}"
[platform]
addr = "{self._store_proxy_host}:{node.store_port}"
[bounds]
drain_ms = {DRAIN_S * MS_PER_SECOND}
grace_s = {GRACE_S}
budget_ratio = {REPEATS.ratio}
budget_extra = {REPEATS.extra}
budget_window_s = {REPEATS.window_s}
strict_revoke = {"true" if self.revocation_s is not None else "false"}
revoke_ms = {(self.revocation_s or REVOCATION_S) * MS_PER_SECOND}
quota_window_s = {QUOTAS.window_s}
quota_excess = {QUOTAS.excess}
quota_slack = {QUOTAS.slack}
[limits]
memory_mb = {self.memory_mb}
"""
