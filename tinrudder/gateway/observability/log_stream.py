"""A text stream for logs that never blocks the process and bounds its volume.

The reader of the logs may stall.  A bounded buffer holds lines that cannot be written immediately;
lines beyond it, or beyond the rate limit, are dropped and counted.  The count is written once lines
are accepted again.

Owns the file descriptor and its buffer.
"""

from __future__ import annotations

import io
import os
import time
from collections.abc import Callable

LINES_PER_SECOND = 400
"""Sustained limit, lines per second: bounds the resources that logging uses during a flood of
requests."""
BURST_LINES = 800
"""Lines that may be written in one burst: two seconds at the sustained rate."""
MAX_PENDING_BYTES = 256 * 1024
"""Bytes buffered for a stalled reader: small compared with the memory of the process."""


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
        file_descriptor: int | None,
        lines_per_second: float = LINES_PER_SECOND,
        burst_lines: float = BURST_LINES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Write to ``file_descriptor``, which is made non-blocking; ``None`` drops all lines."""
        super().__init__()
        if file_descriptor is not None:
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
        """Return true: the stream is write-only."""
        return True

    def write(self, text: str) -> int:
        """Write or buffer a line; drop and count it beyond the rate limit or the buffer's size."""
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
        """Write as much of the buffer as the descriptor accepts without blocking."""
        self._write_pending()

    def _take_token(self) -> bool:
        """Take a token for one line; return whether there was one."""
        now = self._clock()
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write_pending(self) -> None:
        """Write buffered bytes without blocking; drop them when the descriptor has failed."""
        descriptor = self._file_descriptor
        if descriptor is None:
            self._drop_pending()
            return
        while self._pending:
            try:
                written = os.write(descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                self._drop_pending()
                return
            self._pending = self._pending[written:]

    def _drop_pending(self) -> None:
        """Drop the buffered lines and count them."""
        self.dropped += self._pending.count(b"\n")
        self._pending = b""
