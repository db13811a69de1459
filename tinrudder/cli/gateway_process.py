"""Entry of a gateway process on the users' machines.

A reload signal may come at any moment of a process's life, and until a handler stands it ends
the process.  So it is ignored first, before the long imports; a change of the settings that it
told of is noticed by the file's time.
"""

from __future__ import annotations

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from tinrudder.cli.gateway import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
