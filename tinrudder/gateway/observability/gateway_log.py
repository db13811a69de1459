"""Log events for configuration changes, store connectivity, coordination and pulls from peers.

Owns the names and fields of these events; the components that detect a change call it.
"""

from __future__ import annotations

from tinrudder.common.logs import LogValue, log_event, log_problem
from tinrudder.gateway.scatters.coordination import Coordination
from tinrudder.gateway.store.configuration_in_force import AcceptedConfiguration
from tinrudder.gateway.store.epoch_change import EpochChange
from tinrudder.gateway.store.epoch_rules import ObservedValue
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.stored_values import Topic

MAX_KEYS_LOGGED = 20
"""Maximum number of keys logged for one change of epoch, which can affect every back end."""


def log_configuration(accepted: AcceptedConfiguration, unconfirmed_s: float) -> None:
    """Log that a configuration has come into force.

    :param unconfirmed_s: seconds since the store's last known confirmation of its contents.
    """
    fields: dict[str, LogValue] = {
        "version": accepted.configuration.version,
        "epoch": accepted.value.revision.epoch,
        "revision": accepted.value.revision.number,
        "routes": len(accepted.configuration.routes),
        "tenants": len(accepted.configuration.tenants),
        "source": accepted.source,
        "unconfirmed_s": finite_age_s(unconfirmed_s),
    }
    log_event("configuration_in_force", fields)


def log_store_reachability(topic: Topic, reachable: bool, detail: str) -> None:
    """Log that the store became unreachable or reachable again."""
    fields: dict[str, LogValue] = {"topic": topic.value, "detail": detail}
    if reachable:
        log_event("store_regained", fields)
    else:
        log_problem("store_lost", fields)


def log_store_reading(topic: Topic, reason: str, unconfirmed_s: float) -> None:
    """Log that this gateway starts or stops reading the store itself.

    :param reason: why it reads the store; empty when other gateways read it again on its behalf.
    :param unconfirmed_s: seconds since the last known confirmation of the topic by the store.
    """
    fields: dict[str, LogValue] = {
        "topic": topic.value,
        "reason": reason,
        "unconfirmed_s": finite_age_s(unconfirmed_s),
    }
    log_event("store_asked" if reason else "store_left_to_others", fields)


def log_missed_change(topic: Topic) -> None:
    """Log that a read found a change which the store's watch had failed to deliver."""
    log_problem("store_watch_silent", {"topic": topic.value})


def finite_age_s(age_s: float) -> float:
    """Return an age for logs and gauges, rounded to milliseconds; infinity (never) becomes -1.

    >>> finite_age_s(1.23456), finite_age_s(float("inf"))
    (1.235, -1.0)
    """
    return -1.0 if age_s == float("inf") else round(age_s, 3)


def log_store_restored(change: EpochChange) -> None:
    """Log that the store was restored from an older copy.

    It has lost acknowledged writes, so the operator should investigate.
    """
    fields: dict[str, LogValue] = {
        "topic": change.topic.value,
        "epoch": change.shown.epoch,
        "epoch_before": change.known.epoch,
        "shown": change.shown.number,
        "known": change.known.number,
        "kept": len(change.retained_keys),
        "detail": " ".join(change.retained_keys[:MAX_KEYS_LOGGED]),
    }
    log_problem("store_restored", fields)


def log_settled_values(settled: list[ObservedValue]) -> None:
    """Log a restored store's values that took effect, as known ones were not written again."""
    for item in settled[:MAX_KEYS_LOGGED]:
        fields: dict[str, LogValue] = {
            "key": item.value.key,
            "epoch": item.revision.epoch,
            "revision": item.revision.number,
            "removed": item.is_removal,
            "of": len(settled),
        }
        log_event("store_believed", fields)


def log_coordination(coordination: Coordination, nodes: int) -> None:
    """Log a change in which gateways call the back ends of an index."""
    fields: dict[str, LogValue] = {
        "own": coordination.calls_backends,
        "asked": " ".join(str(address) for address in coordination.preferred_coordinators),
        "handed_over": coordination.delegated_count,
        "callers": coordination.callers,
        "nodes": nodes,
    }
    log_event("coordination_changed", fields)


def log_pull(peer: str, result: str, revision: StoreRevision) -> None:
    """Log the result of pulling state from a peer."""
    fields: dict[str, LogValue] = {
        "peer": peer,
        "result": result,
        "epoch": revision.epoch,
        "revision": revision.number,
    }
    log_event("pulled_from_peer", fields)
