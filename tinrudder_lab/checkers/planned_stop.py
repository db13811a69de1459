"""Promise: a planned stop loses no request in flight, including relayed ones."""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.unavailability import is_disturbed
from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import LOST, History, NodeSeen, NodeStage, QueryEnded, QuerySent

RELAY_LOST = "relay_lost"
TIMED_OUT = "no answer in"
SETTLE_S = 1.0


def check(history: History) -> Iterator[Violation]:
    """Find requests that were lost to a planned stop."""
    for begun in history.nodes:
        if begun.stage is not NodeStage.STOP_BEGUN:
            continue
        stopped = _end_of_stop(history, begun)
        if stopped is None:
            continue
        if stopped.unfinished:
            detail = f"{begun.node} ended with {stopped.unfinished} requests in flight"
            yield Violation(Promise.STOP_CUTS_NOTHING, detail, (begun, stopped))
        for ended in _lost_requests(history, begun, stopped):
            detail = f"lost to the stop of {begun.node}: {ended.outcome} {ended.reason}"
            events = (begun, history.sent[ended.query], stopped, ended)
            yield Violation(Promise.STOP_CUTS_NOTHING, detail, events)


def _end_of_stop(history: History, begun: NodeSeen) -> NodeSeen | None:
    """Return the event that ended a stop, ``None`` if the node crashed or has not stopped."""
    for event in history.nodes:
        if event.node == begun.node and event.at >= begun.at:
            if event.stage is NodeStage.CRASHED:
                return None
            if event.stage is NodeStage.STOPPED:
                return event
    return None


def _lost_requests(history: History, begun: NodeSeen, stopped: NodeSeen) -> Iterator[QueryEnded]:
    """Return the requests that were lost to a stop while no other fault was active."""
    for ended in history.ended.values():
        sent = history.sent[ended.query]
        if sent.at > stopped.at or ended.at > stopped.at + SETTLE_S or ended.at < begun.at:
            continue
        if not _is_lost_to(begun, sent, ended):
            continue
        if not is_disturbed(history, sent.at - SETTLE_S, ended.at):
            yield ended


def _is_lost_to(begun: NodeSeen, sent: QuerySent, ended: QueryEnded) -> bool:
    """Return whether the stopping node lost a request that it received or that was relayed to it.

    A relay from it to another node that timed out does not count.  If its address is unknown,
    every lost relay counts.
    """
    if ended.reason == RELAY_LOST:
        entered_here = sent.node == begun.node and TIMED_OUT not in ended.detail
        return entered_here or begun.address in ended.detail
    return ended.outcome == LOST and sent.node == begun.node
