"""Simulates one scenario in virtual time and returns its world with the recorded history."""

from __future__ import annotations

import asyncio
import random
import warnings
from unittest import mock

import async_solipsism
from absl import logging as absl_logging

from tinrudder_lab.faults import Step
from tinrudder_lab.scenarios import Scenario
from tinrudder_lab.sim.caller_pool import CallerPool
from tinrudder_lab.sim.loop import MachineLoop
from tinrudder_lab.sim.world import World
from tinrudder_lab.topology import Topology, draw_trace

WARM_UP_S = 6.0
STAGGER_S = 1.0
SETTLE_S = 3.0
SAMPLE_S = 0.05


def simulate(scenario: Scenario, topology: Topology, seed: int) -> World:
    """Run a scenario on a topology; the same arguments give the same history.

    The loop stays open: tasks of ended machines still refer to it when they are garbage-collected.
    """
    warnings.simplefilter("ignore", async_solipsism.ResolutionWarning)
    warnings.filterwarnings("ignore", message="coroutine .* was never awaited")
    absl_logging.set_verbosity(absl_logging.ERROR)
    loop = MachineLoop()
    world = World(topology, seed, loop)
    loop.set_exception_handler(lambda _, context: _on_error(world, context))
    ids = random.Random(f"query ids/{seed}")
    with mock.patch("secrets.token_hex", lambda _: f"{ids.getrandbits(64):016x}"):
        loop.run_until_complete(_run(scenario, world))
    world.closed = True
    return world


async def _run(scenario: Scenario, world: World) -> None:
    """Warm up, inject the faults, let the callers finish, settle."""
    stagger = random.Random(f"starts/{world.seed}")
    for member in world.members:
        world.loop.call_later(stagger.random() * STAGGER_S, world.start_node, member.name)
    sampling = world.loop.create_task(_sample(world))
    await asyncio.sleep(WARM_UP_S)
    start = world.now()
    for step in scenario.steps(random.Random(f"steps/{world.seed}")):
        _schedule(world, start, step)
    trace = draw_trace(
        world.topology.streams, scenario.duration_s, random.Random(f"trace/{world.seed}")
    )
    callers = CallerPool(world)
    for arrival in trace:
        await asyncio.sleep(max(0.0, start + arrival.at - world.now()))
        callers.start_caller(arrival)
    await asyncio.sleep(max(0.0, start + scenario.duration_s - world.now()))
    await world.finish_running()
    await asyncio.sleep(SETTLE_S)
    sampling.cancel()
    world.history.finished_at = world.now()


def _schedule(world: World, start: float, step: Step) -> None:
    world.loop.call_at(start + step.at, step.fault, world)


async def _sample(world: World) -> None:
    """Record periodically which revision each node enforces."""
    while True:
        world.sample_revisions()
        await asyncio.sleep(SAMPLE_S)


def _on_error(world: World, context: dict[str, object]) -> None:
    """Record an uncaught exception; after the run, those of ended machines' tasks are ignored."""
    error = context.get("exception")
    if world.closed or error is None:
        return
    world.errors.append(f"{context.get('message')}: {error!r}")
