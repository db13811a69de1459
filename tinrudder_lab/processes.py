"""Starts, monitors and stops the lab's processes for the demo and the soak test.

Owns the processes of one run, by name, and their log files.  Relies on the running event loop to
detect that a process has exited.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

STOP_TIMEOUT_S = 20.0
"""Seconds that a process has to exit after SIGTERM before it is killed: above the longest grace
of any planned stop."""


@dataclass
class ProcessGroup:
    """Processes of one run.

    :param log_directory: directory of the log files, one for each name; a restart appends to it.
    """

    log_directory: Path
    _processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    def log_of(self, name: str) -> Path:
        """Return the log file of a process."""
        return self.log_directory / f"{name}.log"

    async def start(self, name: str, module: str, *arguments: str) -> None:
        """Run ``python -m module`` with its output in its log file."""
        await self.start_command(name, (sys.executable, "-m", module, *arguments))

    async def start_command(
        self,
        name: str,
        command: tuple[str, ...],
        environment: Mapping[str, str] | None = None,
        prepare: Callable[[], None] | None = None,
    ) -> None:
        """Run a command with its output in its log file.

        :param environment: the variables of the process; ``None``: those of this one.
        :param prepare: called in the new process before the command runs.
        """
        with self.log_of(name).open("ab") as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, env=environment, preexec_fn=prepare
            )

    def pid_of(self, name: str) -> int | None:
        """Return the id of a running process, ``None`` if it does not run."""
        process = self._processes.get(name)
        return process.pid if process is not None and process.returncode is None else None

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, if it runs."""
        if self.pid_of(name) is not None:
            self._processes[name].send_signal(number)

    async def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait until a process has exited; return its exit code, ``None`` after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._processes[name].wait()
        except TimeoutError:
            return None

    def exit_codes(self) -> dict[str, int]:
        """Return the exit codes of the processes that have exited and were not restarted."""
        return {
            name: process.returncode
            for name, process in self._processes.items()
            if process.returncode is not None
        }

    async def stop_all(self) -> None:
        """Stop all processes with SIGTERM, also suspended ones; kill those that do not exit."""
        for name in self._processes:
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGTERM)
        for name in self._processes:
            await self.wait(name)
        await self.kill_all()

    async def kill_all(self) -> None:
        """Kill all running processes with SIGKILL."""
        for name in self._processes:
            self.send_signal(name, signal.SIGKILL)
        for process in self._processes.values():
            await process.wait()
