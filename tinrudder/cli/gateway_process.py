"""Entry of a gateway process on the users' machines.

Signals may come at any moment of a process's life, and until a handler stands they end it.  So
handlers stand first, before the long imports.  A reload is ignored: a change of the settings that
it told of is noticed by the file's time.  A planned stop ends a process that has not served yet as
one that has, with success.
"""

from __future__ import annotations

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda _signal, _frame: sys.exit(0))

from tinrudder.cli.gateway import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
