"""Runs every checker on one history."""

from __future__ import annotations

from tinrudder_lab.checkers import (
    configuration,
    coverage,
    draining,
    not_run,
    once,
    own_answer,
    planned_stop,
    snapshot,
)
from tinrudder_lab.checkers.index import HistoryIndex
from tinrudder_lab.checkers.violation import Violation
from tinrudder_lab.history import History

MAX_SHOWN = 10


def check_history(history: History) -> tuple[Violation, ...]:
    """Return the violations found in a history, at most ``MAX_SHOWN`` for each promise."""
    index = HistoryIndex(history)
    found = (
        snapshot.check(history, index),
        coverage.check(history, index),
        own_answer.check(history, index),
        not_run.check(history, index),
        once.check(history),
        draining.check(history),
        planned_stop.check(history),
        configuration.check(history),
    )
    return tuple(violation for each in found for violation in list(each)[:MAX_SHOWN])
