"""The results of a run, printed as the last line for scripts to parse."""

from __future__ import annotations

import msgspec

from tinrudder_lab.checkers.violation import Violation

REFUSED = "not_run"
ANSWERED = frozenset({"complete", "partial"})
ROUND_MS = 3
ROUND_RATIO = 5


class TenantFigures(msgspec.Struct, frozen=True):
    """One tenant's figures.

    :param served: share of its queries that were answered.
    :param share: its share of the answered queries of all tenants.
    """

    queries: int
    refused: int
    p99_ms: float
    served: float
    share: float


class RunResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """The last line of ``tinrudder-lab run``.

    :param goodput: answered queries as a share of the capacity, if one service is shared.
    :param calls_per_accepted: ratio of sent calls to the calls that answered queries needed.
    """

    scenario: str
    seed: int
    nodes: int
    backends: int
    queries: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage_mean: float
    extra_load: float
    refused: int
    violations: tuple[Violation, ...]
    outcomes: dict[str, int] = {}
    config_in_force_s: float | None = None
    drain_s: float | None = None
    tenants: dict[str, TenantFigures] | None = None
    goodput: float | None = None
    calls_per_accepted: float | None = None
