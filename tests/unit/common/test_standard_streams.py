"""A closed standard stream must not give its number to a socket, which would get the logs."""

from __future__ import annotations

import subprocess
import sys

PROGRAM = """
import os, socket
for number in {closed}:
    os.close(number)
from tinrudder.common.standard_streams import open_missing_standard_streams
missing = open_missing_standard_streams()
opened = socket.socket().fileno()
raise SystemExit(0 if missing == {{*{closed}}} and opened > 2 else 1)
"""


def test_no_socket_gets_the_number_of_a_closed_standard_stream() -> None:
    for closed in ([], [1], [0, 2], [0, 1, 2]):
        program = PROGRAM.format(closed=closed)
        assert subprocess.run([sys.executable, "-c", program]).returncode == 0
