"""Processor time per back-end call: ``make bench`` or ``python -m bench.call_cost``.

The subjects are measured in alternating turns of one run, so that other load on the machine affects
all of them equally; each figure is the median over the turns.  The back ends run in a separate
process, whose time is not counted.  The last line of the output is one JSON object with at least
``floor_us``, ``client_us`` and ``node_us``, in microseconds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass, field

from absl import logging as absl_logging

from bench.node_under_test import InstantTransport
from bench.subjects import (
    AiosonicClient,
    BaselineClient,
    Subject,
    TransportClient,
    WholeNode,
    WholeNodeOverHttp,
    grouped_requests,
    single_requests,
)
from tinrudder.common.garbage_collection import tune_garbage_collection
from tinrudder.node.backends.http_transport import HttpBackendTransport

FAN_OUT = 130
"""Calls per fan-out, one for each shard."""
"""Calls per fan-out, one for each shard."""
PORTS = 20
"""Back ends, one for each port."""
TURNS = 60
FAN_OUTS_PER_TURN = 8
WARM_UP_FAN_OUTS = 20
MICROSECONDS = 1e6
MILLISECONDS = 1e3


@dataclass(slots=True)
class Measurement:
    """Results of all turns of one subject."""

    name: str
    subject: Subject
    processor_us: list[float] = field(default_factory=list)
    fan_out_ms: list[float] = field(default_factory=list)

    async def take_turn(self, fan_outs: int, fan_out: int) -> None:
        """Run one turn of ``fan_outs`` fan-outs and record its cost."""
        processor_s = time.process_time()
        wall_s = time.perf_counter()
        await self.subject.run(fan_outs)
        wall_s = time.perf_counter() - wall_s
        processor_s = time.process_time() - processor_s
        self.processor_us.append(processor_s / (fan_outs * fan_out) * MICROSECONDS)
        self.fan_out_ms.append(wall_s / fan_outs * MILLISECONDS)

    @property
    def median_us(self) -> float:
        """Return the median processor time of a call, in microseconds."""
        return round(statistics.median(self.processor_us), 1)


def build_measurements(ports: list[int], fan_out: int) -> list[Measurement]:
    """Return the subjects in the order of their turns."""
    return [
        Measurement("floor", BaselineClient(ports, fan_out)),
        Measurement("client", TransportClient(ports, single_requests(fan_out))),
        Measurement("grouped", TransportClient(ports, grouped_requests(fan_out, len(ports)))),
        Measurement("aiosonic", AiosonicClient(ports, fan_out)),
        Measurement("decision", WholeNode(ports, fan_out, InstantTransport())),
        Measurement("node", WholeNode(ports, fan_out, HttpBackendTransport())),
        Measurement("node_http", WholeNodeOverHttp(ports, fan_out)),
    ]


async def measure(ports: list[int], arguments: argparse.Namespace) -> list[Measurement]:
    """Warm up all subjects, then measure them in alternating turns."""
    measurements = build_measurements(ports, arguments.fan_out)
    for measurement in measurements:
        await measurement.subject.run(WARM_UP_FAN_OUTS)
    tune_garbage_collection()
    for _ in range(arguments.turns):
        for measurement in measurements:
            await measurement.take_turn(arguments.fan_outs, arguments.fan_out)
    for measurement in measurements:
        await measurement.subject.close()
    return measurements


def print_table(measurements: list[Measurement]) -> None:
    """Print one line per subject."""
    floor = measurements[0].median_us
    print(f"{'subject':12}{'us a call':>10}{'least':>8}{'most':>8}{'x floor':>9}{'fan-out ms':>12}")
    for measurement in measurements:
        cost = measurement.median_us
        least, most = min(measurement.processor_us), max(measurement.processor_us)
        fan_out = statistics.median(measurement.fan_out_ms)
        print(
            f"{measurement.name:12}{cost:10.1f}{least:8.1f}{most:8.1f}"
            f"{cost / floor:9.2f}{fan_out:12.2f}"
        )


def report(measurements: list[Measurement], fan_out: int) -> dict[str, float]:
    """Return the object that is printed on the last line."""
    figures: dict[str, float] = {f"{each.name}_us": each.median_us for each in measurements}
    figures["node_over_floor"] = round(figures["node_us"] / figures["floor_us"], 2)
    figures["fan_out"] = fan_out
    return figures


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fan-out", type=int, default=FAN_OUT)
    parser.add_argument("--ports", type=int, default=PORTS)
    parser.add_argument("--turns", type=int, default=TURNS)
    parser.add_argument("--fan-outs", type=int, default=FAN_OUTS_PER_TURN, help="fan-outs per turn")
    return parser.parse_args()


def main() -> None:
    """Run the benchmark."""
    arguments = parse_arguments()
    absl_logging.set_verbosity(absl_logging.ERROR)
    command = [sys.executable, "-m", "bench.canned_backend", "--ports", str(arguments.ports)]
    backends = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    try:
        assert backends.stdout is not None
        ports = [int(port) for port in backends.stdout.readline().split()]
        measurements = asyncio.run(measure(ports, arguments))
    finally:
        assert backends.stdin is not None
        backends.stdin.close()
        backends.wait()
    print_table(measurements)
    print(json.dumps(report(measurements, arguments.fan_out)))


if __name__ == "__main__":
    main()
