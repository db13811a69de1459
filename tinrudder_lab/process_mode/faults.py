"""Fault primitives on real processes, beside those of the simulator."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from tinrudder.node.resources.model import BackendSpec, BackendState, Kind
from tinrudder_lab.backend_server import ControlMessage
from tinrudder_lab.process_mode.cluster import PLATFORM
from tinrudder_lab.process_mode.run import ProcessRun

Fault = Callable[[ProcessRun], Awaitable[None]]
NEXT_POLL_S = 3.0


@dataclass(frozen=True, slots=True)
class Step:
    """A fault and when it strikes, seconds after the callers began."""

    at: float
    fault: Fault


def pause_node(name: str, seconds: float) -> Fault:
    """Stop a node's process for a while with SIGSTOP."""
    return lambda run: run.pause_node(name, seconds)


def crash_node(name: str, restart_after_s: float) -> Fault:
    """Kill a node; a new process under the same name starts later."""
    return lambda run: run.crash_node(name, restart_after_s)


def stop_nodes(*names: str) -> Fault:
    """Stop nodes as planned and replace them, one after the other."""

    async def strike(run: ProcessRun) -> None:
        for name in names:
            await run.stop_node(name)

    return strike


def kill_backend(name: str, restart_after_s: float | None = None) -> Fault:
    """End a back end's process; it may come back."""
    return lambda run: run.kill_backend(name, restart_after_s)


def slow_backend(name: str, factor: float) -> Fault:
    """Make every call of one back end ``factor`` times slower."""

    async def strike(run: ProcessRun) -> None:
        await run.control_backend(name, ControlMessage(slowdown=factor))
        run.recorder.note(f"{name} is {factor} times slower")

    return strike


def drain_by_answer(name: str) -> Fault:
    """Let a back end say in its own answers that it leaves."""

    async def strike(run: ProcessRun) -> None:
        await run.control_backend(name, ControlMessage(draining=True))
        run.recorder.sign_drain(name)
        run.recorder.note(f"{name} drains and says so in its answers")

    return strike


def drain_by_configuration(name: str) -> Fault:
    """Let an operator declare a back end draining; the back end itself goes on answering."""

    async def strike(run: ProcessRun) -> None:
        if not run.is_up(PLATFORM):
            return
        spec = await run.read_spec(Kind.BACKEND, name, BackendSpec)
        changed = msgspec.structs.replace(spec, state=BackendState.DRAINING)
        await run.write_spec(Kind.BACKEND, name, changed)
        run.recorder.sign_drain(name)
        run.recorder.note(f"{name} is declared draining")

    return strike


def change_configuration(name: str, *, then_kill_platform_s: float | None = None) -> Fault:
    """Change a back end's slots, so that a new revision has to get into force.

    :param then_kill_platform_s: kill the platform for so long once a first node has it.
    """

    async def strike(run: ProcessRun) -> None:
        if not run.is_up(PLATFORM):
            return
        spec = await run.read_spec(Kind.BACKEND, name, BackendSpec)
        changed = msgspec.structs.replace(spec, slots=spec.slots + 1)
        revision = await run.write_spec(Kind.BACKEND, name, changed)
        run.recorder.note(f"revision {revision} changes {name}")
        if then_kill_platform_s is not None:
            await run.balancer.wait_for_revision(revision, NEXT_POLL_S)
            await run.restart_platform(then_kill_platform_s)

    return strike


def platform_down(seconds: float) -> Fault:
    """Kill the platform for a while."""
    return lambda run: run.restart_platform(seconds)


def platform_stale(seconds: float) -> Fault:
    """Restore the platform from its first state for a while."""
    return lambda run: run.restart_platform(seconds, run.cluster.first_state)
