"""An emulated site: gateways, back ends, store and clients in virtual time."""

from __future__ import annotations

import asyncio
import contextvars
import enum
import inspect
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from tinrudder.cli.gateway import DECODERS
from tinrudder.common.address import Address
from tinrudder.gateway.gateway import Gateway
from tinrudder.gateway.model.configuration import ColdBounds, GatewaySettings, RepeatBounds
from tinrudder.platform.documents import BACKENDS_PREFIX, CONFIGURATION_KEY, EVACUATION_PREFIX
from tinrudder.platform.headers import HEADERS
from tinrudder.platform.store_client import StoreClient
from tinrudder_lab.emulator.backend import ANSWER_RECORDS, EmulatedBackend
from tinrudder_lab.emulator.client import PlannedRequest, send_request
from tinrudder_lab.emulator.http_server import ServedRequest
from tinrudder_lab.emulator.ledger import ROUTE_ATTEMPTS, Ledger
from tinrudder_lab.emulator.loop import EmulatorLoop
from tinrudder_lab.emulator.records import (
    ClientResult,
    ColdSpan,
    CrashedBackend,
    EvacuatedZone,
    KeySpan,
    UnreadableSpan,
    incarnation_of,
)
from tinrudder_lab.emulator.store import EmulatedStore
from tinrudder_lab.sim.loop import Machine

STORE_FIRST_PORT = 9000
CLIENT_PORT = 8100
HEALTH_PORT = 8101
PEER_PORT = 8102
BACKEND_PORT = 8080
SITE_HOST = "search.example"
COLD = ColdBounds(factor=1.5, extra=5.0)
REPEATS = RepeatBounds(ratio=0.2, extra=56.0, window_s=10.0)
DRAIN_S = 3.0
ENTRY_EXPIRY_S = 1.0
"""Seconds without a heartbeat after which the store drops the entry of a crashed back end."""
RESTART_DELAY_S = 3.0
"""Seconds after which a crashed back end restarts at its old address, by default under a new id."""
COLD_PROPAGATION_S = 1.0
"""Seconds until every gateway knows that a back end has turned cold."""
MS_PER_SECOND = 1000.0
CLOCK_START_MS = 1_764_720_000_000
"""Time of day, in Unix milliseconds, at which the loop's clock is zero."""
EVACUATION_S = 5.0
"""Seconds after an evacuation is written in which calls may still reach the zone."""
GRACE_S = 6.0
ZONES = ("zone-a", "zone-b")
HOSTS_PER_SUBNET = 250

Result = TypeVar("Result")


class AddressBlock(enum.IntEnum):
    """The addresses of one kind of machine."""

    GATEWAYS = 1
    BACKENDS = 128
    BACKEND_PROXIES = 160
    STORE = 200
    STORE_PROXIES = 201


@dataclass
class EmulatedNode:
    """One machine with its gateway process."""

    name: str
    index: int
    machine: Machine
    host: str
    gateway: Gateway | None = None

    @property
    def store_port(self) -> int:
        """Return the port at which this machine reaches the store."""
        return STORE_FIRST_PORT + self.index


@dataclass(frozen=True)
class SiteTenant:
    """A tenant of the emulated configuration."""

    name: str
    keys: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None

    def document(self) -> dict[str, Any]:
        """Return the tenant as an element of the configuration document."""
        return {
            "name": self.name,
            "api_keys": list(self.keys),
            "rate_per_s": self.rate_per_s,
            "burst": self.burst,
            "priority": self.priority,
        }


@dataclass
class EmulatedSite:
    """A store, gateways, back ends and a ledger; call :meth:`start` first.

    :param shards: how many shards the scatter route has.
    :param copies: how many back ends each shard has.
    :param capacities: processor cores of the gateways, assigned round-robin.
    :param zones: zones of the gateways, assigned round-robin.
    :param spread: place the copies of a shard in successive zones from the shard's own number on,
        so that every zone lacks some shards; otherwise the copies of all shards are in the same
        first zones.
    :param work_s: median time for which a request holds a slot of a back end.
    :param cold_calls_per_s: configured rate limit of a cold back end.
    :param tenants: tenants of the configuration, with their keys.
    :param restarts_under_same_id: whether crashed back ends restart under their ids.
    :param variants: further scatter routes, each as its differences from the first one.
    :param single_routes: further routes to the single service.
    :param max_connections: connections that each back end accepts.
    :param header_timeout_s: time within which a client must send a whole request.
    :param stop_grace_s: grace period of a gateway's planned stop.
    :param stated_work_s: returns how long a request takes if it says so itself.
    :param revocation_s: time within which a revoked key stops working on all gateways.
    """

    loop: asyncio.AbstractEventLoop
    seed: int = 1
    node_count: int = 3
    shards: int = 8
    copies: int = 2
    zones: tuple[str, ...] = ZONES
    spread: bool = False
    capacities: tuple[float, ...] = (1.0,)
    singles: int = 3
    work_s: float = 0.02
    cold_calls_per_s: float = 0.0
    tenants: tuple[SiteTenant, ...] = ()
    restarts_under_same_id: bool = False
    variants: tuple[dict[str, Any], ...] = ()
    single_routes: tuple[dict[str, Any], ...] = ()
    max_connections: int = 26
    header_timeout_s: float = 3.0
    stop_grace_s: float = GRACE_S
    stated_work_s: Callable[[ServedRequest], float | None] = lambda request: None
    revocation_s: float | None = None
    ledger: Ledger = field(default_factory=Ledger)
    nodes: list[EmulatedNode] = field(default_factory=list)
    backends: dict[str, EmulatedBackend] = field(default_factory=dict)
    version: int = 0
    backends_added: int = 0
    crashes_on: Callable[[ServedRequest], bool] = lambda request: False
    answer_record_count: Callable[[ServedRequest], int] = lambda request: ANSWER_RECORDS
    _serial: int = 0
    _entries: dict[str, tuple[str, str, str]] = field(default_factory=dict)
    _started_ms: dict[str, int] = field(default_factory=dict)

    async def start(self) -> None:
        """Start the store, the back ends and the gateways, and give them 2 s to become ready."""
        self.random = random.Random(self.seed)
        self.store = EmulatedStore(self.host(AddressBlock.STORE, 0))
        for index in range(self.node_count):
            name = f"gateway-{index}"
            machine = Machine(name, self.zones[index % len(self.zones)], "region")
            host = self.host(AddressBlock.GATEWAYS, index)
            self.nodes.append(EmulatedNode(name, index, machine, host))
        for node in self.nodes:
            await self.store.listen(node.store_port)
        for number, shard in enumerate(self.shard_services):
            first = number if self.spread else 0
            for copy in range(self.copies):
                zone = self.zones[(first + copy) % len(self.zones)]
                await self.add_backend(f"{shard}-{copy}", shard, zone)
        for copy in range(self.singles):
            await self.add_backend(f"single-{copy}", "single", ZONES[copy % 2])
        self.configure()
        for node in self.nodes:
            self.start_node(node)
        await asyncio.sleep(2.0)

    @property
    def shard_services(self) -> tuple[str, ...]:
        """Return the names of the services that a scatter calls, one for each shard."""
        return tuple(f"shard-{index}" for index in range(self.shards))

    async def add_backend(self, backend_id: str, service: str, zone: str) -> EmulatedBackend:
        """Start a back end and write its entry."""
        backend = self._create_backend(backend_id, service)
        host = self._next_host()
        await backend.start(host, BACKEND_PORT)
        address = await self.expose_backend(backend_id, Address(host, BACKEND_PORT))
        self.write_entry(backend_id, service, str(address), zone)
        return backend

    def _next_host(self) -> str:
        """Return an IP address that no back end has used."""
        number = self.backends_added
        self.backends_added += 1
        return self.host(AddressBlock.BACKENDS, number)

    def host(self, block: AddressBlock, number: int) -> str:
        """Return the IP address of one of the machines in a block."""
        return f"10.{block}.{number // HOSTS_PER_SUBNET}.{number % HOSTS_PER_SUBNET + 1}"

    def unix_ms(self) -> int:
        """Return the virtual time of day, Unix milliseconds."""
        return CLOCK_START_MS + int(self.loop.time() * MS_PER_SECOND)

    def _create_backend(self, backend_id: str, service: str) -> EmulatedBackend:
        """Create an incarnation of a back end, not yet listening."""
        started_ms = self.unix_ms()
        self._started_ms[backend_id] = started_ms
        backend = EmulatedBackend(
            backend_id, service, self.ledger, self.random, self._work_time, started_ms=started_ms
        )
        backend.crashes_on = lambda request: self.crashes_on(request)
        backend.answer_record_count = lambda request: self.answer_record_count(request)
        backend.stated_work_s = lambda request: self.stated_work_s(request)
        backend.on_crash = lambda request: self._on_crash(backend, request)
        self.backends[backend_id] = backend
        return backend

    def _on_crash(self, backend: EmulatedBackend, request: ServedRequest) -> None:
        """Record that a back end crashed while running a request, and schedule its restart."""
        request_id = request.headers["tinrudder-request-id"]
        crash = CrashedBackend(self.loop.time(), backend.backend_id, request_id, request.target)
        self.ledger.crashes.append(crash)
        self.crash_backend(backend.backend_id)

    def crash_backend(self, backend_id: str) -> None:
        """Crash a back end; its entry expires, and it restarts, by default under another id."""
        if self.restarts_under_same_id:
            self.loop.create_task(self.restart_backend(backend_id, RESTART_DELAY_S))
            return
        backend = self.backends.pop(backend_id)
        backend.stop()
        self.loop.call_later(ENTRY_EXPIRY_S, self.remove_entry, backend_id)
        self.loop.create_task(self._replace_backend(backend_id, backend))

    async def _replace_backend(self, backend_id: str, backend: EmulatedBackend) -> None:
        """Restart a crashed back end under another id at its old address."""
        await asyncio.sleep(RESTART_DELAY_S)
        _, address, zone = self._entries[backend_id]
        first_id, _, generation = backend_id.partition("+")
        new_id = f"{first_id}+{int(generation or 0) + 1}"
        await self._create_backend(new_id, backend.service).start(*backend.listen_address)
        self.on_replaced(backend_id, new_id)
        self.write_entry(new_id, backend.service, address, zone)

    async def restart_backend(
        self, backend_id: str, down_s: float, *, moves: bool = False, cold_left_s: float = 0.0
    ) -> None:
        """Crash a back end and restart it under its id.

        :param down_s: time until it listens again; above ``ENTRY_EXPIRY_S`` its entry expires.
        :param moves: whether it restarts at another address.
        """
        ended = self.backends.pop(backend_id)
        ended.stop()
        if down_s > ENTRY_EXPIRY_S:
            await asyncio.sleep(ENTRY_EXPIRY_S)
            self.remove_entry(backend_id)
        await asyncio.sleep(down_s - ENTRY_EXPIRY_S if down_s > ENTRY_EXPIRY_S else down_s)
        service, address, zone = self._entries[backend_id]
        host, port = (self._next_host(), BACKEND_PORT) if moves else ended.listen_address
        await self._create_backend(backend_id, service).start(host, port)
        if moves:
            address = str(await self.expose_backend(backend_id, Address(host, port)))
        self.write_entry(backend_id, service, address, zone, cold_left_s=cold_left_s)

    def on_replaced(self, backend_id: str, new_id: str) -> None:
        """Handle the restart of a back end under another id; a hook for subclasses."""

    async def expose_backend(self, backend_id: str, address: Address) -> Address:
        """Return the address at which gateways reach a back end; subclasses may add a proxy."""
        return address

    @property
    def seeds(self) -> tuple[Address, ...]:
        """Return the seed peers in every gateway's settings."""
        return tuple(Address(node.host, PEER_PORT) for node in self.nodes[:2])

    def _work_time(self) -> float:
        """Draw the time for which a request holds a slot."""
        return self.work_s * self.random.lognormvariate(0.0, 0.35)

    @property
    def backends_with_entry(self) -> list[str]:
        """Return the running back ends; one that is just being added has no entry yet."""
        return sorted(self.backends.keys() & self._entries.keys())

    def write_entry(
        self,
        backend_id: str,
        service: str,
        address: str,
        zone: str,
        state: str = "ready",
        cold_left_s: float = 0.0,
    ) -> None:
        """Write a back end's entry to the store."""
        self._entries[backend_id] = (service, address, zone)
        self.ledger.zones[backend_id] = zone
        self.put_document(backend_id, self.entry_document(backend_id, state, cold_left_s))

    def entry_document(
        self, backend_id: str, state: str = "ready", cold_left_s: float = 0.0
    ) -> dict[str, object]:
        """Return a back end's entry as a document."""
        service, address, zone = self._entries[backend_id]
        return {
            "service": service,
            "addr": address,
            "zone": zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "cold_left_ms": cold_left_s * MS_PER_SECOND,
            "seq": 1,
            "born": self._started_ms.get(backend_id, self.unix_ms()),
        }

    def put_document(self, backend_id: str, document: dict[str, object]) -> None:
        """Write a readable document under a back end's key."""
        self.ledger.record_readable(backend_id, self.loop.time())
        self.store.put(BACKENDS_PREFIX + backend_id, document)

    def write_unreadable(self, backend_id: str, value: bytes) -> None:
        """Write an unreadable value under a back end's key, as a faulty writer would."""
        self.ledger.unreadable.append(UnreadableSpan(backend_id, self.loop.time()))
        self.store.put_bytes(BACKENDS_PREFIX + backend_id, value)

    def remove_entry(self, backend_id: str) -> None:
        """Remove a back end's entry."""
        self.ledger.record_readable(backend_id, self.loop.time())
        self.store.remove(BACKENDS_PREFIX + backend_id)

    def rewrite_entry(self, backend_id: str) -> None:
        """Write a back end's entry again in its present state, as its heartbeat would."""
        service, address, zone = self._entries[backend_id]
        incarnation = incarnation_of(backend_id, self._started_ms.get(backend_id, 0))
        state = "draining" if incarnation in self.ledger.draining_since else "ready"
        self.write_entry(backend_id, service, address, zone, state)

    def mark_cold(self, backend_id: str, seconds: float) -> ColdSpan:
        """Mark a back end as cold for some time; return the span in which gateways must know it."""
        service, address, zone = self._entries[backend_id]
        self.write_entry(backend_id, service, address, zone, cold_left_s=seconds)
        since = self.loop.time() + COLD_PROPAGATION_S
        return ColdSpan(backend_id, since, since + seconds - COLD_PROPAGATION_S)

    def drain(self, backend_id: str) -> None:
        """Mark a back end as draining."""
        service, address, zone = self._entries[backend_id]
        self.write_entry(backend_id, service, address, zone, state="draining")
        incarnation = incarnation_of(backend_id, self._started_ms.get(backend_id, 0))
        self.ledger.draining_since[incarnation] = self.loop.time()

    def evacuate(self, zone: str) -> None:
        """Write the evacuation of a zone."""
        self.store.put(EVACUATION_PREFIX + zone, {})
        self.ledger.evacuations.append(EvacuatedZone(zone, self.loop.time()))

    def end_evacuation(self, zone: str) -> None:
        """Remove the evacuation of a zone."""
        self.store.remove(EVACUATION_PREFIX + zone)
        for evacuated in self.ledger.evacuations:
            if evacuated.zone == zone:
                evacuated.until = min(evacuated.until, self.loop.time())

    def configure(self, **changes: Any) -> None:
        """Write the next configuration; ``changes`` replace fields of the scatter's route."""
        self.version += 2
        scatter: dict[str, Any] = {
            "name": "scatter",
            "host": SITE_HOST,
            "path_prefix": "/all/",
            "kind": "safe",
            "timeout_ms": 2000,
            "goal_ms": 200,
            "attempts": ROUTE_ATTEMPTS,
            "priority": 1,
            "gather": list(self.shard_services),
            "top_k": 10,
            "oldest_version": 0.75,
        } | changes
        routes = [scatter, single_route("single", "safe"), single_route("once", "unsafe")]
        routes.extend(scatter | changed for changed in self.variants)
        routes.extend(self.single_routes)
        routes.extend(single_route(name, "safe") for name in self.extra_routes())
        names = {*self.shard_services, "single", *scatter["gather"]}
        services = [
            {"name": name, "max_conns": self.max_connections, "cold_per_s": self.cold_calls_per_s}
            for name in sorted(names)
        ]
        limits = {
            "max_body_bytes": 65536,
            "header_timeout_ms": int(self.header_timeout_s * MS_PER_SECOND),
            "idle_timeout_ms": 15000,
        }
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": limits,
            "tenants": [tenant.document() for tenant in self.tenants],
        }
        self._record_keys()
        self.store.put(CONFIGURATION_KEY, document)

    def extra_routes(self) -> list[str]:
        """Return names of additional routes to the single service; a hook for subclasses."""
        return []

    def _record_keys(self) -> None:
        """Record which keys become valid or invalid with the configuration about to be written."""
        now = self.loop.time()
        self.ledger.revocation_s = self.revocation_s
        given = {key: tenant.name for tenant in self.tenants for key in tenant.keys}
        for key, spans in self.ledger.keys.items():
            if spans[-1].until > now and given.get(key) != spans[-1].tenant:
                spans[-1].until = now
        for key, name in given.items():
            spans = self.ledger.keys.setdefault(key, [])
            if not spans or spans[-1].until <= now:
                spans.append(KeySpan(name, now))

    def set_tenants(self, *tenants: SiteTenant) -> None:
        """Replace the tenants and write the configuration."""
        self.tenants = tenants
        self.configure()

    def start_node(self, node: EmulatedNode) -> None:
        """Start or restart a gateway's process."""
        node.machine = Machine(node.name, node.machine.zone, "region")
        node.machine.context.run(self._start_in_machine, node)

    def _start_in_machine(self, node: EmulatedNode) -> None:
        settings = GatewaySettings(
            name=node.name,
            zone=node.machine.zone,
            clients=Address(node.host, CLIENT_PORT),
            health=Address(node.host, HEALTH_PORT),
            peers=Address(node.host, PEER_PORT),
            seeds=self.seeds,
            store=Address(self.store.host, node.store_port),
            capacity=self.capacities[node.index % len(self.capacities)],
            drain_s=DRAIN_S,
            stop_grace_s=self.stop_grace_s,
            repeats=REPEATS,
            cold=COLD,
            revocation_s=self.revocation_s,
        )

        async def run() -> None:
            node.gateway = Gateway(settings, HEADERS, DECODERS, StoreClient)
            await node.gateway.run()
            # The process ends here: close all connections that it still has open.
            outside = contextvars.Context()
            self.loop.call_soon(self.kill_node, node, context=outside)

        self.loop.create_task(run())

    def kill_node(self, node: EmulatedNode) -> None:
        """Kill a gateway's process."""
        assert isinstance(self.loop, EmulatorLoop)
        self.loop.end_machine(node.machine)

    def request(self, route: str, **changes: Any) -> PlannedRequest:
        """Plan a request on one of the routes: ``scatter``, ``single`` or ``once``."""
        self._serial += 1
        request_id = f"request-{self._serial}"
        fields: dict[str, Any] = {
            "request_id": request_id,
            "host": SITE_HOST,
            "deadline_ms": 2000,
            "target": f"/{route}/{self._serial}",
            "services": ("single",),
            "repeatable": route != "once",
            "key": self._newest_key(),
        }
        if route == "scatter":
            fields |= {
                "target": f"/all/{self._serial}",
                "services": self.shard_services,
                "top_records": 10,
                "minimum_share": 0.75,
            }
        return PlannedRequest(**(fields | changes))

    def _newest_key(self) -> str:
        """Return the newest key of the first tenant, empty if there are no tenants."""
        keys = self.tenants[0].keys if self.tenants else ()
        return keys[-1] if keys else ""

    async def send(self, route: str, node: int = 0, **changes: Any) -> ClientResult:
        """Send one request to a gateway."""
        address = (self.nodes[node].host, CLIENT_PORT)
        return await send_request(self.request(route, **changes), address, self.ledger)

    async def traffic(self, seconds: float, per_second: float, routes: tuple[str, ...]) -> None:
        """Send requests to random gateways with Poisson arrivals, and wait until all have ended."""
        tasks = []
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            await asyncio.sleep(self.random.expovariate(per_second))
            route = self.random.choice(routes)
            node = self.random.randrange(len(self.nodes))
            tasks.append(self.loop.create_task(self.send(route, node)))
        await asyncio.gather(*tasks)

    def served_share(self) -> float:
        """Return the share of requests answered 200, without clients that disconnect early."""
        stayed = [result for result in self.ledger.results if not result.disconnected_early]
        return sum(1 for result in stayed if result.status == 200) / max(1, len(stayed))

    def contract_violations(self) -> list[str]:
        """Return all violations of the gateways' promises as texts."""
        violations = self.ledger.contract_violations(
            REPEATS.ratio, REPEATS.extra, REPEATS.window_s, DRAIN_S, EVACUATION_S
        )
        return [f"{violation.promise}: {violation.what}" for violation in violations]


def single_route(name: str, kind: str) -> dict[str, Any]:
    """Return a route to the single service."""
    return {
        "name": name,
        "host": SITE_HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "goal_ms": 400,
        "attempts": ROUTE_ATTEMPTS,
        "priority": 2,
        "service": "single",
    }


def _never_started(coroutine: Coroutine[Any, Any, Any]) -> bool:
    """Return whether a coroutine was created but never started when the run ended."""
    return inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED


def run_site(
    scenario: Callable[[EmulatedSite], Coroutine[Any, Any, Result]],
    site_type: type[EmulatedSite] = EmulatedSite,
    **options: Any,
) -> Result:
    """Run a scenario on a new site in virtual time."""
    loop = EmulatorLoop()
    asyncio.set_event_loop(loop)
    site = site_type(loop, **options)

    async def main() -> Result:
        await site.start()
        return await scenario(site)

    try:
        result: Result = loop.run_until_complete(main())
        return result
    finally:
        for task in asyncio.all_tasks(loop):
            # Gateways run until they are stopped, so pending tasks are expected here.
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            coroutine = task.get_coro()
            if inspect.iscoroutine(coroutine) and _never_started(coroutine):
                coroutine.close()
        asyncio.set_event_loop(None)
        loop.close()
