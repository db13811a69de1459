"""Clients that read large answers slowly or not at all, and how much memory gateways take then."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
from pathlib import Path

from tinrudder_lab.emulator.backend import ANSWER_RECORDS
from tinrudder_lab.emulator.http_server import ServedRequest
from tinrudder_lab.emulator.records import SentRequest
from tinrudder_lab.emulator.site import CLIENT_PORT, EmulatedNode
from tinrudder_lab.soak.process_site import MEMORY_MB, ProcessSite

LARGE = "large"
LARGE_RECORDS = 30_000
"""Records of 16 bytes: answers of 480 KB, more than what sockets on both sides take."""
PIPELINED = 3
CLIENTS_PER_SECOND = 2.0
"""About a tenth of all clients of a soak."""
READ_BYTES = 1024
READ_PAUSE_S = 1.0
MEMORY_LOOK_S = 0.2
KILOBYTES_PER_MB = 1000
_PEAK = re.compile(r"VmHWM:\s+(\d+) kB")


def records_of(request: ServedRequest) -> int:
    """Tell how many records an answer has."""
    return LARGE_RECORDS if request.target.endswith(LARGE) else ANSWER_RECORDS


async def read_slowly(site: ProcessSite, seconds: float) -> int:
    """Let clients come who read 1 KB a second or nothing; return how many came.

    Their moments come from randomness of their own: a seed's faults stay what they were.
    """
    source = random.Random(f"slow {site.seed}")
    site.records_of = records_of
    end = site.loop.time() + seconds
    clients: list[asyncio.Task[None]] = []
    while site.loop.time() < end:
        await asyncio.sleep(source.expovariate(CLIENTS_PER_SECOND))
        node = source.choice(site.nodes)
        reads = source.random() < 0.5
        clients.append(asyncio.create_task(_ask(site, node, reads=reads)))
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return len(clients)


async def _ask(site: ProcessSite, node: EmulatedNode, *, reads: bool) -> None:
    """Ask for some large answers at once and read them slowly, or not."""
    with socket.socket() as client, contextlib.suppress(OSError):
        client.setblocking(False)
        await site.loop.sock_connect(client, (node.host, CLIENT_PORT))
        for _ in range(PIPELINED):
            request = site.request("single")
            request = site.request("single", target=f"{request.target}-{LARGE}")
            sent = SentRequest(request.key, site.loop.time(), node.host)
            site.ledger.sent[request.request_id] = sent
            await site.loop.sock_sendall(client, request.encode())
        while not reads or await site.loop.sock_recv(client, READ_BYTES):
            await asyncio.sleep(READ_PAUSE_S)


async def watch_memory(site: ProcessSite) -> None:
    """Note the most that any gateway's process took, until cancelled."""
    while True:
        for node in site.nodes:
            site.peak_mb = max(site.peak_mb, peak_mb(site, node))
        await asyncio.sleep(MEMORY_LOOK_S)


def peak_mb(site: ProcessSite, node: EmulatedNode) -> float:
    """Return the most that a gateway's process took so far, megabytes; 0 if it has ended."""
    process_id = site.processes.pid_of(node.name)
    if process_id is None:
        return 0.0
    try:
        text = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    found = _PEAK.search(text)
    return int(found[1]) / KILOBYTES_PER_MB if found is not None else 0.0


def over_memory(site: ProcessSite) -> list[str]:
    """Tell whether any gateway outgrew the memory that its settings give it."""
    if site.peak_mb <= MEMORY_MB:
        return []
    return [f"memory: a gateway took {site.peak_mb:.0f} MB, at most {MEMORY_MB}"]
