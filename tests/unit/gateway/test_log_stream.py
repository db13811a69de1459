"""The log stream never blocks the process, and its rate and buffer are bounded."""

from __future__ import annotations

import os

from tinrudder.gateway.observability.log_stream import MAX_PENDING_BYTES, BoundedLineStream


def test_a_reader_that_stalls_blocks_nothing_and_learns_what_was_dropped() -> None:
    now = [0.0]
    read_end, write_end = os.pipe()
    stream = BoundedLineStream(
        write_end, lines_per_second=1e9, burst_lines=1e9, clock=lambda: now[0]
    )
    line = "x" * 999 + "\n"
    for _ in range(2 * MAX_PENDING_BYTES // 1000):
        stream.write(line)
    assert stream.dropped > 0
    received = b""
    for _ in range(100):
        received += os.read(read_end, 1 << 20)
        dropped = stream.dropped
        stream.write("after\n")
        if received.endswith(b"after\n"):
            break
    assert b'"log_lines_dropped", "count": %d' % dropped in received
    assert all(part == b"x" * 999 for part in received.split(b"\n") if part.startswith(b"x"))


def test_the_rate_is_bounded() -> None:
    now = [0.0]
    read_end, write_end = os.pipe()
    stream = BoundedLineStream(write_end, lines_per_second=10, burst_lines=20, clock=lambda: now[0])
    for _ in range(100):
        stream.write("line\n")
    assert stream.dropped == 80
    now[0] = 1.0
    for _ in range(100):
        stream.write("line\n")
    assert stream.dropped == 170
    assert os.read(read_end, 1 << 16).count(b"line\n") == 30


def test_a_closed_reader_is_no_error() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    stream = BoundedLineStream(write_end)
    assert stream.write("line\n") == 5
