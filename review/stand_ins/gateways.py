"""Starts and signals the project's gateway as separate processes, as the deploy file tells."""

from __future__ import annotations

import asyncio
import os
import signal
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from stand_ins.http1 import encode, read_message

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT = 8104
READY_PORT = 8108
CONTROL_PORT = 8106
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
PASSED_ON = ("PATH", "HOME", "LANG")


def command() -> list[str]:
    """Return the program and arguments of the role that carries the traffic."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    return str(role["run"]).split(" ")


@dataclass
class Gateway:
    """One gateway process; its address is a loopback address of its own."""

    name: str
    host: str
    zone: str
    seeds: list[str]
    store: str
    folder: Path
    bounds: dict[str, object] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.host, FRONT_PORT

    @property
    def control(self) -> str:
        """Return the address for other gateways."""
        return f"{self.host}:{CONTROL_PORT}"

    @property
    def log(self) -> Path:
        """Return the file with the process's output."""
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        """Write the settings and start the process; :meth:`wait_until_ready` follows."""
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(self._settings())
        environment = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TINRUDDER_CONFIG"] = str(settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Ask for readiness until the answer is 200.

        :raises TimeoutError: it was not ready in time.
        """
        until = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} is not ready after {START_TIMEOUT_S} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def is_ready(self) -> bool:
        """Ask once, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, READY_PORT)
                writer.write(encode("GET /v1/ready HTTP/1.1", [("Host", self.host)]))
                answer = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.start_line.split(" ")[1] == "200"

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End this process at once."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()

    def _settings(self) -> str:
        """Return the settings file, as in DEPLOY.md."""
        bounds = {
            "drain_ms": 3000,
            "grace_s": 6,
            "config_apply_ms": 3000,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_extra": 56,
            **self.bounds,
        }
        lines = [f"{name} = {str(value).lower()}" for name, value in bounds.items()]
        seeds = ", ".join(f'"{seed}"' for seed in self.seeds)
        return "\n".join(
            [
                f'node = "{self.name}"',
                f'zone = "{self.zone}"',
                f"seeds = [{seeds}]",
                "[listen]",
                f'front = "{self.host}:{FRONT_PORT}"',
                f'ready = "{self.host}:{READY_PORT}"',
                f'control = "{self.control}"',
                "[limits]",
                "cpu_share = 0.537",
                "cores = 2",
                "memory_mb = 300",
                "max_fds = 4100",
                "[bounds]",
                *lines,
                "[platform]",
                f'addr = "{self.store}"',
                'form = "read"',
                "",
            ]
        )
