"""The lines that a gateway logs of what it learns and of whom it can reach.

Owns the names and fields of these events; relies on the parts to call it.
"""

from __future__ import annotations

from tinrudder.common.logs import LogValue, log_event, log_problem
from tinrudder.gateway.scatters.coordination import Coordination
from tinrudder.gateway.store.shared_state import AcceptedConfiguration
from tinrudder.gateway.store.store_status import ShownRevision
from tinrudder.gateway.store.stored_values import Topic


def log_configuration(accepted: AcceptedConfiguration) -> None:
    """Write the line of a configuration that has come into force."""
    fields: dict[str, LogValue] = {
        "version": accepted.configuration.version,
        "revision": accepted.value.revision,
        "routes": len(accepted.configuration.routes),
        "tenants": len(accepted.configuration.tenants),
    }
    log_event("configuration_in_force", fields)


def log_reachability(topic: Topic, reachable: bool, detail: str) -> None:
    """Write the line of a store that was lost or regained."""
    fields: dict[str, LogValue] = {"topic": topic.value, "detail": detail}
    if reachable:
        log_event("store_regained", fields)
    else:
        log_problem("store_lost", fields)


def log_store_history(shown: ShownRevision) -> None:
    """Write the line of a store whose epoch changed, or that shows less than is known, or no more.

    The store acknowledged what it shows no longer, so the operator should look.
    """
    fields: dict[str, LogValue] = {
        "topic": shown.topic.value,
        "epoch": shown.epoch,
        "shown": shown.shown,
        "known": shown.known,
    }
    if shown.is_behind:
        log_problem("store_history", fields)
    else:
        log_event("store_history", fields)


def log_coordination(coordination: Coordination, nodes: int) -> None:
    """Write the line of a change in who calls the back ends of an index."""
    fields: dict[str, LogValue] = {
        "own": coordination.own,
        "asked": " ".join(str(address) for address in coordination.asked),
        "handed_over": coordination.delegated_count,
        "callers": coordination.callers,
        "nodes": nodes,
    }
    log_event("coordination_changed", fields)


def log_pull(peer: str, result: str, revision: int) -> None:
    """Write the line of what a peer taught."""
    fields: dict[str, LogValue] = {"peer": peer, "result": result, "revision": revision}
    log_event("pulled_from_peer", fields)
