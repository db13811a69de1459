"""Python's cycle collector, set for a process that makes thousands of short-lived objects a query.

With the interpreter's defaults a fan-out of 130 calls triggers several collections, and each walks
the calls in flight, none of which is garbage (docs/CALL_COST.md has the figures).  Reference counts
free nearly everything at once, so collections may be rare; what a node builds at its start lives as
long as the node and need not be walked at all.
"""

from __future__ import annotations

import gc

YOUNG_THRESHOLD = 20_000
"""Objects made beyond those freed after which the youngest are collected; the interpreter's own is
700. Together with frozen start-up objects a shard call took 2.37 times the floor of a plain call,
by the interpreter's defaults 2.70 (150 turns in one run)."""
MIDDLE_THRESHOLD = 20
"""Collections of the youngest for each one of the middle generation. Chosen, not measured
apart."""
OLD_THRESHOLD = 100
"""Collections of the middle generation for each one of the oldest, which walks everything. Chosen,
not measured apart."""


def tune_garbage_collection() -> None:
    """Take everything alive out of the collector's sight and collect the rest rarely.

    Call it once, when the node has started.  Frozen objects are still freed by their reference
    counts; only cycles among them stay, and those were made before the first query.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
