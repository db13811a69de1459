"""Fault primitives, of which scenarios are composed.

Each returns a function that injects the fault into a world; the function of a temporary fault also
schedules its end.  Times are virtual seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from tinrudder.node.configuration_service.messages import MemberState
from tinrudder.node.resources.model import (
    AnySpec,
    BackendSpec,
    BackendState,
    IndexSpec,
    IndexVersionSpec,
    Kind,
    ShardSpec,
)
from tinrudder_lab.platform_server import ResourceWrite
from tinrudder_lab.sim.world import World

SpecType = TypeVar("SpecType")
Fault = Callable[[World], None]
KEPT_VERSIONS = 2
MAX_LOADING_S = 1.2
DEFAULT_RESTART_S = 1.0


@dataclass(frozen=True, slots=True)
class Step:
    """A fault and the time of its injection."""

    at: float
    fault: Fault


def slow_backend(name: str, factor: float, seconds: float | None = None) -> Fault:
    """Make every call of one back end ``factor`` times slower."""

    def inject(world: World) -> None:
        behaviour = world.backends[name].model.behaviour
        behaviour.slowdown = factor
        world.record_fault(f"{name} is {factor} times slower")
        if seconds is not None:
            world.loop.call_later(seconds, setattr, behaviour, "slowdown", 1.0)

    return inject


def slow_everything(factor: float, seconds: float) -> Fault:
    """Make all back ends slower for some seconds."""

    def inject(world: World) -> None:
        for name in world.backends:
            slow_backend(name, factor, seconds)(world)

    return inject


def straggling_calls(share: float, factor: float) -> Fault:
    """Make a share of all calls ``factor`` times slower."""

    def inject(world: World) -> None:
        for backend in world.backends.values():
            backend.model.behaviour.tail_share = share
            backend.model.behaviour.tail_factor = factor
        world.record_fault(f"{share} of all calls take {factor} times longer")

    return inject


def kill_backend(name: str, restart_after_s: float | None = None) -> Fault:
    """Kill a back end's process; it restarts cold after ``restart_after_s``."""

    def inject(world: World) -> None:
        world.backends[name].kill()
        world.record_fault(f"{name} killed")
        if restart_after_s is not None:
            world.loop.call_later(restart_after_s, cold_start(name), world)

    return inject


def cold_start(name: str, seconds: float = 2.0, factor: float = 10.0) -> Fault:
    """Start a back end's process; its calls are slow during the warm-up."""

    def inject(world: World) -> None:
        backend = world.backends[name]
        backend.up = True
        behaviour = backend.model.behaviour
        behaviour.cold_start_s = seconds
        behaviour.cold_factor = factor
        behaviour.warm_at = world.now() + seconds
        world.record_fault(f"{name} starts cold")

    return inject


def misreport_load(name: str, reported: int, slowdown: float) -> Fault:
    """Make a back end slow and let it report a false load."""

    def inject(world: World) -> None:
        behaviour = world.backends[name].model.behaviour
        behaviour.reported_load = reported
        behaviour.slowdown = slowdown
        world.record_fault(
            f"{name} reports {reported} calls in flight and is {slowdown} times slower"
        )

    return inject


def lag_load(seconds: float) -> Fault:
    """Let every back end report the load of some seconds ago."""

    def inject(world: World) -> None:
        for backend in world.backends.values():
            backend.model.behaviour.load_lag_s = seconds
        world.record_fault(f"all load reports are {seconds} s old")

    return inject


def late_cancellation(seconds: float) -> Fault:
    """Let every back end free the slot of a cancelled call late."""

    def inject(world: World) -> None:
        for backend in world.backends.values():
            backend.model.behaviour.cancel_delay_s = seconds
        world.record_fault(f"slots of cancelled calls are freed {seconds} s late")

    return inject


def drain_by_answer(name: str) -> Fault:
    """Let a back end report in its answers that it is draining."""

    def inject(world: World) -> None:
        world.backends[name].model.behaviour.draining = True
        world.record_drain(name)
        world.record_fault(f"{name} drains and reports it in its answers")

    return inject


def drain_by_configuration(name: str) -> Fault:
    """Declare a back end draining in the configuration; the back end itself continues to answer."""

    def inject(world: World) -> None:
        spec = _current_spec(world, Kind.BACKEND, name, BackendSpec)
        changed = msgspec.structs.replace(spec, state=BackendState.DRAINING)
        revision = _write(world, Kind.BACKEND, name, changed)
        world.expect_drain(revision, name)
        world.record_fault(f"{name} is declared draining")

    return inject


def change_configuration(name: str) -> Fault:
    """Change a back end's slots, which creates a new revision that has to propagate."""

    def inject(world: World) -> None:
        spec = _current_spec(world, Kind.BACKEND, name, BackendSpec)
        revision = _write(
            world, Kind.BACKEND, name, msgspec.structs.replace(spec, slots=spec.slots + 1)
        )
        world.record_fault(f"revision {revision} changes {name}")

    return inject


def new_version(index: str, old_gone_after_s: float, *, move_shards: bool) -> Fault:
    """Publish the next index version; back ends load it at random times, then drop the old ones.

    :param move_shards: whether shards also move to other back ends (repartition).
    """

    def inject(world: World) -> None:
        spec = _current_spec(world, Kind.INDEX, index, IndexSpec)
        newest = spec.versions[-1]
        shards = _moved(newest.shards) if move_shards else newest.shards
        added = IndexVersionSpec(version=newest.version + 1, shards=shards)
        versions = (*spec.versions, added)[-KEPT_VERSIONS:]
        _write(world, Kind.INDEX, index, msgspec.structs.replace(spec, versions=versions))
        world.record_fault(f"{index} version {added.version} published")
        both = frozenset(version.version for version in versions)
        for name, backend in world.topology.deployment.backends.items():
            if backend.service == spec.service:
                behaviour = world.backends[name].model.behaviour
                behaviour.versions = both - {added.version}
                loaded_after_s = world.random.random() * MAX_LOADING_S
                world.loop.call_later(loaded_after_s, setattr, behaviour, "versions", both)
        served = frozenset((added.version,))
        world.loop.call_later(old_gone_after_s, _serve_only, world, spec.service, served)

    return inject


def _moved(shards: tuple[ShardSpec, ...]) -> tuple[ShardSpec, ...]:
    """Return the shards, each on the replicas of the next one."""
    return tuple(
        msgspec.structs.replace(shard, backends=other.backends)
        for shard, other in zip(shards, shards[1:] + shards[:1], strict=True)
    )


def pause_node(name: str, seconds: float, *, clock_frozen: bool = False) -> Fault:
    """Pause a node's process; it resumes with the state that it had before the pause.

    :param clock_frozen: whether its monotonic clock is frozen during the pause, as on a suspended
        machine.
    """
    return lambda world: world.pause_node(name, seconds, clock_frozen=clock_frozen)


def crash_node(name: str, restart_after_s: float | None = DEFAULT_RESTART_S) -> Fault:
    """Kill a node; a new process with the same name starts after ``restart_after_s``."""

    def inject(world: World) -> None:
        if world.hosts[name].machine.crashed:
            return
        world.crash_node(name)
        if restart_after_s is not None:
            world.loop.call_later(restart_after_s, world.start_node, name)

    return inject


def stop_node(name: str, restart_after_s: float | None = DEFAULT_RESTART_S) -> Fault:
    """Stop a node as planned; a new process replaces it after ``restart_after_s``."""

    async def stop_and_replace(world: World) -> None:
        await world.stop_node(name)
        if restart_after_s is not None:
            world.set_member_state(name, MemberState.LIVE)
            await world.sleep(restart_after_s)
            world.start_node(name)

    def inject(world: World) -> None:
        if world.hosts[name].accepting:
            world.set_member_state(name, MemberState.LEAVING)
            world.spawn(stop_and_replace(world))

    return inject


def cut(first: frozenset[str], second: frozenset[str], seconds: float, *, both: bool) -> Fault:
    """Partition zones or regions from others, in one or both directions, for some seconds."""

    def inject(world: World) -> None:
        world.cut(first, second, seconds)
        if both:
            world.cut(second, first, seconds)
        world.record_fault(f"cut {sorted(first)} {'<->' if both else '->'} {sorted(second)}")

    return inject


def slow_network(delay_s: float, seconds: float) -> Fault:
    """Add ``delay_s`` to the delay of every message for some seconds."""

    def inject(world: World) -> None:
        world.network.extra_delay_s = delay_s
        world.loop.call_later(seconds, setattr, world.network, "extra_delay_s", 0.0)
        world.record_fault(f"every message takes {delay_s} s longer")

    return inject


def lossy_datagrams(loss: float, duplication: float) -> Fault:
    """Lose and duplicate shares of the datagrams between nodes."""

    def inject(world: World) -> None:
        world.network.datagram_loss = loss
        world.network.datagram_duplication = duplication
        world.record_fault(f"datagrams: {loss} lost, {duplication} duplicated")

    return inject


def platform_down(zones: frozenset[str] | None, seconds: float) -> Fault:
    """Make the platform unavailable in some zones, or in all, for some seconds."""

    def inject(world: World) -> None:
        names = frozenset(world.zone_of) if zones is None else zones
        world.platform.down |= names
        world.record_fault(f"platform down in {sorted(names)}")
        world.loop.call_later(seconds, world.platform.down.difference_update, names)
        world.loop.call_later(seconds, world.record_fault, "platform up")

    return inject


def platform_stale(zones: frozenset[str] | None, revision: int, seconds: float) -> Fault:
    """Let the platform serve an older revision, as after a restore from an old copy."""

    def inject(world: World) -> None:
        document = world.platform.documents[revision]
        names = frozenset(world.zone_of) if zones is None else zones
        for zone in sorted(names):
            world.platform.stale[zone] = document
            world.loop.call_later(seconds, world.platform.stale.pop, zone, None)
        world.record_fault(f"platform serves revision {revision} in {sorted(names)}")

    return inject


def _serve_only(world: World, service: str, versions: frozenset[int]) -> None:
    for name, spec in world.topology.deployment.backends.items():
        if spec.service == service:
            world.backends[name].model.behaviour.versions = versions
    world.record_fault(f"{service}: only versions {sorted(versions)} are served")


def _current_spec(world: World, kind: Kind, name: str, spec_type: type[SpecType]) -> SpecType:
    """Return a resource's current specification in the platform."""
    document = world.platform.state.document
    raw = next(raw for raw in document.resources if (raw.kind, raw.name) == (kind.value, name))
    return msgspec.json.decode(raw.spec, type=spec_type)


def _write(world: World, kind: Kind, name: str, spec: AnySpec) -> int:
    """Write a resource to the platform; return the new revision."""
    raw = msgspec.Raw(msgspec.json.encode(spec))
    return world.write_resource(ResourceWrite(kind.value, name, raw))
