"""The promises that checkers verify, and the record of a violation."""

from __future__ import annotations

import enum

import msgspec

from tinrudder_lab.history import Event


class Promise(enum.StrEnum):
    """The eight promises, in the order of their specification."""

    SINGLE_SNAPSHOT = "single_snapshot"
    TRUE_COVERAGE = "true_coverage"
    OWN_ANSWER = "own_answer"
    TRUE_NOT_RUN = "true_not_run"
    AT_MOST_ONCE = "at_most_once"
    NO_WORK_TO_LEAVING = "no_work_to_leaving"
    STOP_CUTS_NOTHING = "stop_cuts_nothing"
    CONFIGURATION_HOLDS = "configuration_holds"


class Violation(msgspec.Struct, frozen=True):
    """One violation of a promise.

    :param history: the events that prove it, in order of time.
    """

    promise: Promise
    detail: str
    history: tuple[Event, ...]
