"""What a machine does to a process that starts on it.

A gateway starts with addresses in use, output that nobody takes, few descriptors or no home; its
settings are half written when it reads them.
"""

from __future__ import annotations

import asyncio
import enum
import os
import random
import resource
import socket
from dataclasses import dataclass
from pathlib import Path

from tinrudder_lab.emulator.site import CLIENT_PORT, HEALTH_PORT, PEER_PORT

STANDARD_OUTPUT = 1
METRICS_PORT = 9464
FEW_DESCRIPTORS = 256
FEW_GATEWAYS = 8
"""Most gateways of a site whose settings are half written: the starts of more keep the soak from
writing the second half in time."""
ODD_SHARE = 0.5
HELD_S = (0.3, 2.5)
HALF_WRITTEN_S = (0.05, 0.8)
HELD_ADDRESSES = (
    (CLIENT_PORT, socket.SOCK_STREAM),
    (HEALTH_PORT, socket.SOCK_STREAM),
    (PEER_PORT, socket.SOCK_STREAM),
    (PEER_PORT, socket.SOCK_DGRAM),
    (METRICS_PORT, socket.SOCK_STREAM),
)


class Output(enum.Enum):
    """What standard output of a process is connected to."""

    LOG = "its log"
    CLOSED = "nothing"
    UNREAD = "a pipe that nobody reads"
    ABANDONED = "a pipe without a reader"
    FULL = "a full device"


@dataclass(frozen=True)
class Surroundings:
    """The surroundings of one start of a gateway.

    :param descriptors: most descriptors that the process may have open; ``None``: as usual.
    :param held: an address of the gateway that another socket holds for ``held_s`` seconds.
    :param half_written_s: seconds for which only half of the settings file is there; 0: none.
    """

    output: Output = Output.LOG
    has_home: bool = True
    descriptors: int | None = None
    held: tuple[int, socket.SocketKind] | None = None
    held_s: float = 0.0
    half_written_s: float = 0.0

    def prepare(self) -> None:
        """Change the new process before its program runs."""
        if self.output is Output.CLOSED:
            os.close(STANDARD_OUTPUT)
        elif self.output is Output.FULL:
            os.dup2(os.open("/dev/full", os.O_WRONLY), STANDARD_OUTPUT)
        elif self.output is not Output.LOG:
            reading, writing = os.pipe()
            # Only an inherited end stays open in the program.
            os.set_inheritable(reading, self.output is Output.UNREAD)
            os.dup2(writing, STANDARD_OUTPUT)
        # Last: the soak itself has more descriptors open, and so has this process until it starts.
        if self.descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))


def draw_surroundings(source: random.Random, gateways: int) -> Surroundings:
    """Draw the surroundings of a start; half of them are ordinary.

    :param gateways: number of gateways of the site.
    """
    if source.random() >= ODD_SHARE:
        return Surroundings()
    held = source.choice((None, *HELD_ADDRESSES))
    return Surroundings(
        source.choice((*Output, Output.LOG)),
        source.random() < 0.5,
        source.choice((None, FEW_DESCRIPTORS)),
        held,
        source.uniform(*HELD_S) if held else 0.0,
        source.choice((0.0, source.uniform(*HALF_WRITTEN_S))) if gateways <= FEW_GATEWAYS else 0.0,
    )


def hold_address(host: str, port: int, kind: socket.SocketKind) -> socket.socket | None:
    """Occupy an address; ``None`` if something else does."""
    holder = socket.socket(socket.AF_INET, kind)
    try:
        if kind is socket.SOCK_STREAM:
            # Connections of an earlier process may still be in TIME_WAIT.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((host, port))
        if kind is socket.SOCK_STREAM:
            holder.listen()
    except OSError:
        holder.close()
        return None
    return holder


async def write_in_halves(path: Path, text: str, seconds: float) -> None:
    """Write the first half of a file, and all of it some time later; at 0 s, all of it at once."""
    if seconds:
        path.write_text(text[: len(text) // 2])
        await asyncio.sleep(seconds)
    path.write_text(text)
