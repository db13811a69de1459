"""The simulator: determinism, pauses and crashes of machines."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys

from tinrudder_lab.sim.loop import Machine, MachineLoop

ARGUMENTS = ("-m", "tinrudder_lab.main", "run", "everything", "--seed", "3", "--json")


def _run_lab(hash_seed: str) -> bytes:
    environment = os.environ | {"PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, *ARGUMENTS], env=environment, check=True, capture_output=True
    ).stdout


def test_same_seed_gives_the_same_bytes_under_any_hash_seed() -> None:
    assert _run_lab("1") == _run_lab("2")


def test_a_paused_machine_runs_nothing_until_it_wakes() -> None:
    loop = MachineLoop()
    machine = Machine("m", "z", "r")
    ticks: list[float] = []

    async def tick() -> None:
        while True:
            await asyncio.sleep(1.0)
            ticks.append(loop.time())

    async def run() -> None:
        loop.create_task(tick(), context=machine.context)
        await asyncio.sleep(1.5)
        machine.pause()
        await asyncio.sleep(3.0)
        machine.resume(loop)
        await asyncio.sleep(0.2)

    loop.run_until_complete(run())
    assert ticks == [1.0, 4.5]


def test_a_crashed_machine_does_not_run_its_clean_up() -> None:
    loop = MachineLoop()
    machine = Machine("m", "z", "r")
    cleaned: list[str] = []

    async def wait_forever() -> None:
        try:
            await asyncio.sleep(1.0)
        finally:
            cleaned.append("cleaned")

    async def run() -> None:
        loop.create_task(wait_forever(), context=machine.context)
        await asyncio.sleep(0.5)
        machine.crash()
        await asyncio.sleep(1.0)

    loop.run_until_complete(run())
    assert cleaned == []
