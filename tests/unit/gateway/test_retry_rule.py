"""Whether and when a failed call of a shard is retried."""

from __future__ import annotations

import pytest

from tinrudder.gateway.runs.retry_rule import (
    MAX_SENDS,
    MAX_TRIES,
    NO_BACKOFF,
    RETRY_BACKOFF_S,
    ShardTries,
    retry_backoff_s,
)


def test_what_must_not_repeat_is_tried_again_only_while_it_has_not_run() -> None:
    not_run = ShardTries(1, 0, may_have_run=False, repeatable=False)
    assert retry_backoff_s(not_run, at_once=True) == NO_BACKOFF
    may_have_run = ShardTries(1, 1, may_have_run=True, repeatable=False)
    assert retry_backoff_s(may_have_run, at_once=True) is None
    assert retry_backoff_s(may_have_run, at_once=True, connection_refused=True) is None


def test_the_second_try_follows_at_once_and_later_ones_ever_later() -> None:
    pauses = [
        retry_backoff_s(ShardTries(tries, 1, may_have_run=True, repeatable=True), at_once=True)
        for tries in range(1, MAX_TRIES)
    ]
    assert pauses == [NO_BACKOFF, *(RETRY_BACKOFF_S * tries for tries in range(2, MAX_TRIES))]


def test_a_try_that_may_not_follow_at_once_waits() -> None:
    first = ShardTries(1, 1, may_have_run=False, repeatable=True)
    assert retry_backoff_s(first, at_once=False) == RETRY_BACKOFF_S


@pytest.mark.parametrize(("tries", "sends"), [(MAX_TRIES, 1), (3, MAX_SENDS)])
def test_tries_end(tries: int, sends: int) -> None:
    done = ShardTries(tries, sends, may_have_run=True, repeatable=True)
    assert retry_backoff_s(done, at_once=True) is None


def test_a_back_end_that_has_ended_costs_no_pause() -> None:
    """The caller excludes that back end from then on, so tries end when none is left."""
    done = ShardTries(MAX_TRIES, MAX_SENDS, may_have_run=False, repeatable=True)
    assert retry_backoff_s(done, at_once=True, connection_refused=True) == NO_BACKOFF
