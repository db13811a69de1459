"""Seeds of soaks that failed, kept as regression tests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RegressionSeed:
    """A soak that failed.

    :param gateways: number of gateways.
    :param cause: cause of the failure, or that it is unknown.
    :param poison: whether a client sent requests that crash back ends.
    :param entries: whether back ends restarted under their ids and entries were corrupted.
    :param slow: whether clients read slowly or not at all.
    :param restores: whether the store was restored from older copies.
    :param silences: whether open connections were silenced.
    :param surroundings: whether gateways ran in odd surroundings.
    :param stops: whether gateways were stopped as planned under long requests.
    """

    seed: int
    seconds: float
    gateways: int
    cause: str
    poison: bool = False
    entries: bool = False
    slow: bool = False
    restores: bool = False
    silences: bool = False
    surroundings: bool = False
    stops: bool = False


REGRESSIONS = (
    RegressionSeed(
        12,
        25.0,
        3,
        "2026-12-02: a gateway of an earlier soak was still alive and held gateway-2's addresses",
    ),
    RegressionSeed(
        13,
        25.0,
        3,
        "2026-12-02: a reload signal ended a gateway that had not installed its handler yet; "
        "fixed.  Seen again with exit codes -1 and -15: a signal during the start of the "
        "interpreter ends any program; since then the soak waits for the gateway's first log line",
    ),
    RegressionSeed(
        104,
        40.0,
        3,
        "2026-12-02: 52 requests of a tenant ran in a window that allows 50: its quota homes were "
        "killed or paused one after another, and each began with a new token bucket; since then "
        "entry gateways pass the level that the last home reported to the next home.  Seen again "
        "with 51: a resumed gateway admitted the 21 requests that waited for it before its home "
        "could answer; since then it admits at most 3",
    ),
    RegressionSeed(
        311,
        12.0,
        3,
        "a request reached a back end 3.8 s after it began to drain.  By the logs a gateway sent "
        "it 0.06 s after the gateway's start, as a last resort: all other back ends of the service "
        "had crashed.  Allowed: a new gateway cannot know since when a back end drains; the check "
        "leaves such gateways out",
        poison=True,
    ),
)
