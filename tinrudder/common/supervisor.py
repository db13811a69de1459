"""Runs the tasks of a process: restarts long-lived ones that fail, and logs every failure.

A task that ends with an exception would otherwise leave the process running without it: it would
serve, but no longer follow the store, for instance.

Owns the tasks; relies on each to be in a sound state when it is run again.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from tinrudder.common.logs import LogValue, log_problem

MIN_PAUSE_S = 0.1
"""Seconds until a failed task is restarted; doubled with each failure in a row."""
MAX_PAUSE_S = 5.0
"""Maximum pause before a restart, in seconds."""
STABLE_S = 10.0
"""Seconds after which a failure is no longer in a row with the previous one."""


async def run_logged(name: str, work: Awaitable[None]) -> None:
    """Run a short task to its end; log an unexpected error, which nothing else would see."""
    try:
        await work
    except Exception as error:
        log_problem("task_failed", {"task": name, "detail": repr(error)}, error)


class Supervisor:
    """Restarts failed tasks until it is stopped.

    :ivar failures: number of failures, by the name of the task.
    """

    def __init__(self) -> None:
        """Start without tasks."""
        self.failures: Counter[str] = Counter()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._loop = asyncio.get_running_loop()

    def start(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task until it returns; ``run`` is called again after each failure."""
        self._tasks[name] = self._loop.create_task(self._supervise(name, run))

    def stop(self, *names: str) -> None:
        """Cancel the named tasks, or all of them."""
        for name in names or tuple(self._tasks):
            self._tasks[name].cancel()

    async def _supervise(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task, and restart it after a growing pause whenever it fails."""
        pause_s = MIN_PAUSE_S
        while True:
            started_at = self._loop.time()
            try:
                await run()
                return
            except asyncio.CancelledError as error:
                # A cancellation that nobody asked this task for comes from something it awaited.
                if _is_cancelled():
                    raise
                self._note_failure(name, error)
            except Exception as error:
                self._note_failure(name, error)
            if self._loop.time() - started_at >= STABLE_S:
                pause_s = MIN_PAUSE_S
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * 2)

    def _note_failure(self, name: str, error: BaseException) -> None:
        """Count and log a failure."""
        self.failures[name] += 1
        fields: dict[str, LogValue] = {
            "task": name,
            "detail": repr(error),
            "failures": self.failures[name],
        }
        log_problem("task_failed", fields, error)


def _is_cancelled() -> bool:
    """Return whether the current task has been asked to end."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
