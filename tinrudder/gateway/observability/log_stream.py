"""A text stream for logs that never blocks the process and bounds its volume.

Whoever reads the logs may stall.  Lines that cannot be written at once, or that go beyond the rate,
are dropped and counted; the count is written once there is room again.

Owns the file descriptor and what waits for it; relies on the clock alone.
"""

from __future__ import annotations

import io
import os
import time
from collections.abc import Callable

LINES_PER_SECOND = 400
"""Lines that are written a second at most, in the long run.  Chosen, not measured: a bound on what
a flood of requests may take of the machine for logs."""
BURST_LINES = 800
"""Lines that may be written at once after a calm time: two seconds of the rate.  Chosen, not
measured."""
MAX_PENDING_BYTES = 256 * 1024
"""Bytes kept for a reader that does not read.  Chosen, not measured: little beside the memory of a
process."""


class BoundedLineStream(io.TextIOBase):
    """Writes whole lines to a file descriptor without blocking.

    >>> read_end, write_end = os.pipe()
    >>> stream = BoundedLineStream(write_end)
    >>> _ = stream.write("one line\\n")
    >>> os.read(read_end, 100)
    b'one line\\n'
    """

    def __init__(
        self,
        file_descriptor: int,
        lines_per_second: float = LINES_PER_SECOND,
        burst_lines: float = BURST_LINES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Write to ``file_descriptor``, which becomes non-blocking."""
        super().__init__()
        os.set_blocking(file_descriptor, False)
        self.dropped = 0
        self._file_descriptor = file_descriptor
        self._rate = lines_per_second
        self._burst = burst_lines
        self._clock = clock
        self._tokens = burst_lines
        self._filled_at = clock()
        self._pending = b""
        self._unreported = 0

    def writable(self) -> bool:
        """Tell that this is a stream to write to."""
        return True

    def write(self, text: str) -> int:
        """Write a line, keep it while the reader lags a little, or drop and count it."""
        if not self._take_token() or len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            self._unreported += 1
            self._write_pending()
            return len(text)
        if self._unreported:
            self._pending += b'{"event": "log_lines_dropped", "count": %d}\n' % self._unreported
            self._unreported = 0
        self._pending += text.encode("utf-8", "replace")
        self._write_pending()
        return len(text)

    def flush(self) -> None:
        """Write what is pending as far as the reader takes it."""
        self._write_pending()

    def _take_token(self) -> bool:
        """Tell whether the rate allows one more line."""
        now = self._clock()
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write_pending(self) -> None:
        """Write without waiting."""
        while self._pending:
            try:
                written = os.write(self._file_descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                self._pending = b""
                return
            self._pending = self._pending[written:]
