"""Failed tasks are restarted, and none ends unseen."""

from __future__ import annotations

import asyncio

import pytest

from tinrudder.common import supervisor
from tinrudder.common.supervisor import Supervisor, run_logged
from tinrudder_lab.emulator.loop import EmulatorLoop


class FailingTask:
    """Raises each of its errors in turn, then runs until it is cancelled."""

    def __init__(self, *errors: BaseException) -> None:
        self.errors = list(errors)
        self.started_at: list[float] = []
        self.cancelled = False

    async def run(self) -> None:
        self.started_at.append(asyncio.get_running_loop().time())
        if self.errors:
            raise self.errors.pop(0)
        try:
            await asyncio.sleep(3600.0)
        except asyncio.CancelledError:
            self.cancelled = True
            raise


def run_supervised(task: FailingTask, seconds: float) -> Supervisor:
    loop = EmulatorLoop()

    async def run() -> Supervisor:
        supervising = Supervisor()
        supervising.start("failing", task.run)
        await asyncio.sleep(seconds)
        supervising.stop()
        await asyncio.sleep(0.0)
        return supervising

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


@pytest.mark.parametrize("error", [ValueError("odd"), asyncio.CancelledError(), TimeoutError()])
def test_a_task_that_fails_is_restarted_and_counted(error: BaseException) -> None:
    task = FailingTask(error)
    assert run_supervised(task, 1.0).failures == {"failing": 1}
    assert len(task.started_at) == 2
    assert task.cancelled


def test_a_short_task_that_fails_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    loop = EmulatorLoop()
    try:
        loop.run_until_complete(run_logged("short", FailingTask(ValueError("odd")).run()))
    finally:
        loop.close()
    assert [record.getMessage() for record in caplog.records] == ["task_failed"]


def test_the_pause_before_a_restart_grows_up_to_a_bound() -> None:
    task = FailingTask(*(ValueError(str(number)) for number in range(12)))
    run_supervised(task, 60.0)
    pauses = [
        round(later - at, 6)
        for at, later in zip(task.started_at, task.started_at[1:], strict=False)
    ]
    assert pauses[0] == pytest.approx(supervisor.MIN_PAUSE_S)
    assert pauses == sorted(pauses)
    assert max(pauses) == pytest.approx(supervisor.MAX_PAUSE_S)
