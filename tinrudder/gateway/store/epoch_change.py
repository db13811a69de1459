"""Values that report changes of the store's history: a new epoch, and the end of precedence.

Owns nothing: values and their listeners.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from tinrudder.gateway.store.epoch_rules import ObservedValue
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.stored_values import Topic


class EpochChange(Struct, frozen=True):
    """This process found that the store was restored from an older copy.

    :param known: revision up to which this process knew the previous epoch.
    :param shown: revision up to which the new epoch was read.
    :param retained_keys: keys whose known value takes precedence over the store's value, or over
        its lack of one.
    """

    topic: Topic
    known: StoreRevision
    shown: StoreRevision
    retained_keys: tuple[str, ...]


class HistoryListener(Struct, frozen=True):
    """Callbacks for changes of the store's history.

    :param on_epoch: called for every later epoch.
    :param on_settled: called with the values that now win because the precedence of another value
        has ended, or because a missing key was not written again in time.
    """

    on_epoch: Callable[[EpochChange], None] = lambda change: None
    on_settled: Callable[[list[ObservedValue]], None] = lambda _winning_values: None


IGNORE_HISTORY = HistoryListener()
"""Ignores all changes of the store's history."""
