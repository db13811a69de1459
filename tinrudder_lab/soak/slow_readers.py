"""Clients that read large answers slowly or not at all, and the memory that gateways use then."""

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
"""Records of 16 bytes: answers of 480 KB, more than the socket buffers of both sides hold."""
PIPELINED = 3
CLIENTS_PER_SECOND = 2.0
"""Mean arrival rate: about a tenth of all clients of a soak."""
READ_BYTES = 1024
READ_PAUSE_S = 1.0
MEMORY_POLL_S = 0.2
KILOBYTES_PER_MB = 1000
_PEAK = re.compile(r"VmHWM:\s+(\d+) kB")


def answer_record_count(request: ServedRequest) -> int:
    """Return the number of records in the answer to a request."""
    return LARGE_RECORDS if request.target.endswith(LARGE) else ANSWER_RECORDS


async def read_slowly(site: ProcessSite, seconds: float) -> int:
    """Run clients that read 1 KB a second or nothing; return the number of clients.

    Uses a random generator of its own, so it does not change the faults of a seed.
    """
    source = random.Random(f"slow {site.seed}")
    site.answer_record_count = answer_record_count
    end = site.loop.time() + seconds
    clients: list[asyncio.Task[None]] = []
    while site.loop.time() < end:
        await asyncio.sleep(source.expovariate(CLIENTS_PER_SECOND))
        node = source.choice(site.nodes)
        reads = source.random() < 0.5
        clients.append(asyncio.create_task(_run_client(site, node, reads=reads)))
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return len(clients)


async def _run_client(site: ProcessSite, node: EmulatedNode, *, reads: bool) -> None:
    """Pipeline requests for large answers and read the answers slowly, or not at all."""
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
    """Update ``site.peak_mb`` with the memory use of all gateways until cancelled."""
    while True:
        for node in site.nodes:
            site.peak_mb = max(site.peak_mb, peak_mb(site, node))
        await asyncio.sleep(MEMORY_POLL_S)


def peak_mb(site: ProcessSite, node: EmulatedNode) -> float:
    """Return the peak memory use of a gateway's process, megabytes; 0 if it has ended."""
    process_id = site.processes.pid_of(node.name)
    if process_id is None:
        return 0.0
    try:
        text = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    found = _PEAK.search(text)
    return int(found[1]) / KILOBYTES_PER_MB if found is not None else 0.0


def memory_violations(site: ProcessSite) -> list[str]:
    """Return a violation if any gateway used more memory than its settings allow."""
    if site.peak_mb <= MEMORY_MB:
        return []
    return [f"memory: a gateway used {site.peak_mb:.0f} MB, limit {MEMORY_MB} MB"]
