"""What clients of a gateway get while it stops as planned.

    python -m bench.planned_stop [ROW ...]

Runs three gateways as processes on loopback, signals one of them while clients use it, and prints
one JSON object with a row for each kind of client: requests in progress at the signal or sent after
it, how many were served, refused or failed, and how many were read whole and got no answer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from tinrudder_lab.planned_stops import (
    CONNECTIONS_PER_ROUTE,
    PlannedStop,
    long_routes,
    stated_work_s,
)
from tinrudder_lab.soak.loopback_network import reserve_network
from tinrudder_lab.soak.process_site import ProcessSite

START_S = 3.0
LATE_S = tuple(0.25 * step for step in range(1, 24))
FEW_CONNECTIONS, MANY_CONNECTIONS = 9, 90
FEW_BACKENDS, MANY_BACKENDS = 3, 32
ROWS: dict[str, Callable[[PlannedStop], Awaitable[None]]] = {
    "late bodies": lambda stop: stop.late_bodies(LATE_S),
    "requests that wait": lambda stop: stop.kept_connections(1.0, CONNECTIONS_PER_ROUTE, 1.0),
    "long requests that wait": lambda stop: stop.kept_connections(2.5, CONNECTIONS_PER_ROUTE, 2.0),
    "new connections": lambda stop: stop.new_connections(4.0),
    "kept connections": lambda stop: stop.kept_connections(0.05, 60, 1.0),
    "pipelined": lambda stop: stop.pipelined(1.0, 24),
}


async def measure(name: str, folder: Path) -> dict[str, int]:
    """Return the figures of one row."""
    scarce = "wait" in name
    site = ProcessSite(
        asyncio.get_running_loop(),
        folder=folder,
        network=reserve_network(),
        single_routes=tuple(long_routes()),
        singles=FEW_BACKENDS if scarce else MANY_BACKENDS,
        max_connections=FEW_CONNECTIONS if scarce else MANY_CONNECTIONS,
        header_timeout_s=10.0,
        stated_work_s=stated_work_s,
    )
    try:
        await site.start()
        await asyncio.sleep(START_S)
        node = site.nodes[0]
        stop = PlannedStop(site, node, lambda: site.signal_node(node, signal.SIGTERM))
        await ROWS[name](stop)
        code = await site.wait_for_end(node)
    finally:
        await site.close()
    ran = {arrival.request_id for arrival in site.ledger.arrivals if arrival.ran}
    sent = stop.result.sent_whole()
    unanswered = stop.result.unanswered(ran)
    statuses = Counter(str(one.status) for one in sent)
    return {
        "requests": len(sent),
        **dict(sorted(statuses.items())),
        "unanswered": len(unanswered),
        "unanswered that ran": sum(1 for one in unanswered if one.request.request_id in ran),
        "exit code": code if code is not None else -1,
        "broken": len(site.contract_violations()),
    }


def main() -> None:
    """Measure the rows named, or every row."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("rows", nargs="*", help="names of rows; all by default")
    rows = parser.parse_args().rows or list(ROWS)
    figures = {}
    for name in rows:
        with tempfile.TemporaryDirectory() as folder:
            figures[name] = asyncio.run(measure(name, Path(folder)))
        print(json.dumps({name: figures[name]}), flush=True)


if __name__ == "__main__":
    main()
