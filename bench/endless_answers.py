"""Latency of sound requests beside back ends that answer without end.

    python -m bench.endless_answers

Runs one gateway as a process on loopback.  For each form of endless answer it measures scatters
over sound back ends, first alone and then beside 64 requests whose answers do not end, and prints
one JSON object with the medians and their ratio.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import tempfile
from pathlib import Path

from tinrudder_lab.emulator.endless_answers import EndlessAnswer
from tinrudder_lab.soak.process_site import ProcessSite

ENDLESS_REQUESTS = 64
SCATTERS = 60
ENDLESS_DEADLINE_MS = 10_000
MILLISECONDS_PER_S = 1000.0
SERVED = 200


async def median_ms(site: ProcessSite) -> float:
    """Return the median latency of scatters sent one after another, milliseconds.

    :raises RuntimeError: a scatter was not served.
    """
    results = [await site.send("scatter") for _ in range(SCATTERS)]
    if any(result.status != SERVED for result in results):
        raise RuntimeError(f"scatters ended with {sorted({one.status for one in results})}")
    return MILLISECONDS_PER_S * statistics.median(one.ended_at - one.sent_at for one in results)


async def measure(answer: EndlessAnswer, folder: Path) -> dict[str, float]:
    """Return the medians without and beside endless answers, and the second by the first."""
    site = ProcessSite(asyncio.get_running_loop(), folder=folder, shards=2, node_count=1)
    try:
        await site.start()
        calm_ms = await median_ms(site)
        for name, link in site.links.items():
            if name.startswith("single"):
                link.answer_endlessly(answer)
        endless = [
            asyncio.create_task(site.send("single", deadline_ms=ENDLESS_DEADLINE_MS))
            for _ in range(ENDLESS_REQUESTS)
        ]
        beside_ms = await median_ms(site)
        for request in endless:
            request.cancel()
        await asyncio.gather(*endless, return_exceptions=True)
    finally:
        await site.close()
    return {
        "calm_ms": round(calm_ms, 2),
        "beside_ms": round(beside_ms, 2),
        "ratio": round(beside_ms / calm_ms, 3),
    }


def main() -> None:
    """Measure every form."""
    with tempfile.TemporaryDirectory() as folder:
        figures = {one.name: asyncio.run(measure(one, Path(folder))) for one in EndlessAnswer}
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
