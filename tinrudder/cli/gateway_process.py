"""Entry point of a gateway process on production machines.

A signal that arrives before its handler is installed kills the process, so the handlers are
installed before the slow imports.  SIGHUP is ignored here: a change of the settings is detected
later by the file's modification time.  SIGTERM exits with code 0, as it does once the gateway
serves.
"""

from __future__ import annotations

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda _signal, _frame: sys.exit(0))

from tinrudder.cli.gateway import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
