"""Planted defects, which the lab enables by patching the product, never by a flag in the product.

A plant names the promise that it breaks and a scenario in which the checker must report it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from tinrudder.cluster.claims import claims_service
from tinrudder.cluster.replication.state_exchange import StateExchange
from tinrudder.node import node
from tinrudder.node.api import caller_app, query_body
from tinrudder.node.backends.messages import BackendCall, BackendReply, Broken, NotSent
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.environment import ReplyListener
from tinrudder.node.node import Node
from tinrudder.node.outcomes import Coverage, MayHaveRun, NotRun, NotRunReason, Outcome
from tinrudder.node.query import merge, query_outcome
from tinrudder.node.query.entry import Entry
from tinrudder.node.query.fan_out import FanOut
from tinrudder.node.query.operations import at_most_once
from tinrudder.node.query.operations.operation_call import OperationCall
from tinrudder.node.query.plan import QueryPlan
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources import store
from tinrudder_lab.checkers.violation import Promise
from tinrudder_lab.claim_plants import AlwaysOpenWindow, ForgetfulVoter
from tinrudder_lab.sim import world as sim_world
from tinrudder_lab.sim.backends import Exchange, SimBackendTransport


@dataclass(frozen=True, slots=True)
class Substitution:
    """One attribute of an object and its replacement."""

    owner: object
    name: str
    value: object


@dataclass(frozen=True, slots=True)
class PlantedDefect:
    """A planted defect.

    :param make_substitutions: returns the substitutions; called once for each run.
    """

    name: str
    what: str
    promise: Promise
    scenario: str
    make_substitutions: Callable[[], list[Substitution]]

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Apply the defect while the context is open."""
        with ExitStack() as stack:
            for one in self.make_substitutions():
                stack.enter_context(mock.patch.object(one.owner, one.name, one.value))
            yield


def _mixed_snapshots() -> list[Substitution]:
    original = FanOut._adopt

    def adopt(self: FanOut, plan: QueryPlan) -> None:
        earlier = {p.planned.spec.shard: p.rows for p in getattr(self, "_progress", ())}
        original(self, plan)
        for progress in self._progress:
            progress.rows = earlier.get(progress.planned.spec.shard)
            if progress.rows is not None:
                self._unsettled -= 1
                self._answered += 1

    return [Substitution(FanOut, "_adopt", adopt)]


def _page_on_newest() -> list[Substitution]:
    original = query_body.make_request

    def make_request(*arguments: Any) -> Any:
        return replace(original(*arguments), version=None)

    return [Substitution(caller_app, "make_request", make_request)]


class _ReusingTransport(SimBackendTransport):
    """Keeps a cancelled call's connection in use, so that the next call on it reads its answer."""

    def __init__(self, *arguments: Any) -> None:
        """Start without stale exchanges."""
        super().__init__(*arguments)
        self._stale: dict[str, list[Exchange]] = {}

    def cancel(self, call: BackendCall) -> None:
        """Drop the call, but keep its connection."""
        exchange = self._open.pop(call.call_id, None)
        if exchange is not None:
            exchange.listener = None
            self._stale.setdefault(call.backend, []).append(exchange)

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Start a call, which gets the answer of a stale exchange if there is one."""
        stale = self._stale.get(call.backend)
        super().start(call, listener)
        if stale:
            old = stale.pop()
            new_exchange = self._open[call.call_id]
            old.listener = lambda _, reply: self._deliver_stale(new_exchange, reply)

    def _deliver_stale(self, new_exchange: Exchange, reply: BackendReply) -> None:
        listener, new_exchange.listener = new_exchange.listener, None
        if listener is not None:
            self._open.pop(new_exchange.call.call_id, None)
            listener(new_exchange.call, reply)


def _reused_connection() -> list[Substitution]:
    return [Substitution(sim_world, "SimBackendTransport", _ReusingTransport)]


def _doubled_rows() -> list[Substitution]:
    original = merge.merge_rows

    def merge_rows(shards: Any, **options: Any) -> Any:
        rows = list(shards)
        return original(rows + rows[:1], **options)

    return [Substitution(query_outcome, "merge_rows", merge_rows)]


def _coverage_at_send() -> list[Substitution]:
    original = query_outcome.coverage_of

    def coverage_of(progress: Any) -> Coverage:
        true = original(progress)
        sent = {shard.planned.spec.shard for shard in progress if shard.tried}
        included = tuple(p.planned.spec.shard for p in progress if p.planned.spec.shard in sent)
        return Coverage(included, tuple(m for m in true.missing if m.shard not in sent))

    return [Substitution(query_outcome, "coverage_of", coverage_of)]


def _not_run_after_send() -> list[Substitution]:
    original = Entry.run

    async def run(self: Entry, request: QueryRequest) -> Outcome:
        outcome = await original(self, request)
        if isinstance(outcome, MayHaveRun):
            return NotRun(NotRunReason.NO_BACKEND, outcome.detail)
        return outcome

    return [Substitution(Entry, "run", run)]


def _lowered_revision() -> list[Substitution]:
    return [Substitution(store, "join_states", lambda mine, other: other)]


async def _do_nothing(*_: object) -> None:
    """Do nothing."""


def _no_dissemination() -> list[Substitution]:
    return [
        Substitution(StateExchange, "announce", lambda self: None),
        Substitution(StateExchange, "on_newer_revision", lambda self, address, revision: None),
        Substitution(StateExchange, "refresh_now", lambda self: None),
        Substitution(StateExchange, "start", lambda self: None),
        Substitution(StateExchange, "learn_from_peers", _do_nothing),
    ]


def _work_to_draining() -> list[Substitution]:
    always_false = property(lambda self: False, lambda self, value: None)
    return [Substitution(BackendRecord, "leaving", always_false)]


def _stop_drops_relayed() -> list[Substitution]:
    return [
        Substitution(Node, "in_progress", property(lambda self: 0)),
        Substitution(Node, "leave", _do_nothing),
        Substitution(node, "RESPONSE_FLUSH_S", 0.0),
    ]


def _tenant_from_index() -> list[Substitution]:
    find_rule = query_body.find_rule
    make_request = query_body.make_request
    tenants: dict[str, str] = {}

    def wrong_rule(body: Any, tenant: str, configuration: Any) -> Any:
        index = configuration.indexes[body.index]
        tenants[body.index] = configuration.services[index.service].tenants[0]
        return find_rule(body, tenants[body.index], configuration)

    def wrong_request(query_id: str, tenant: str, body: Any, *arguments: Any) -> Any:
        return make_request(query_id, tenants[body.index], body, *arguments)

    return [
        Substitution(caller_app, "find_rule", wrong_rule),
        Substitution(caller_app, "make_request", wrong_request),
    ]


def _claim_after_pause() -> list[Substitution]:
    return [Substitution(at_most_once, "DispatchWindow", AlwaysOpenWindow)]


def _forgetful_voter() -> list[Substitution]:
    return [Substitution(claims_service, "ClaimVoter", ForgetfulVoter)]


def _operation_resent() -> list[Substitution]:
    original = OperationCall._on_reply

    def on_reply(self: OperationCall, sent: Any, reply: BackendReply) -> None:
        original(self, sent, NotSent(reply.detail) if isinstance(reply, Broken) else reply)

    return [Substitution(OperationCall, "_on_reply", on_reply)]


PLANTED_DEFECTS = (
    PlantedDefect(
        "mixed-snapshots",
        "a replan keeps the rows of the previous version",
        Promise.SINGLE_SNAPSHOT,
        "version-change",
        _mixed_snapshots,
    ),
    PlantedDefect(
        "page-on-newest",
        "a later page ignores the version to which its listing is pinned",
        Promise.SINGLE_SNAPSHOT,
        "version-change",
        _page_on_newest,
    ),
    PlantedDefect(
        "reused-connection",
        "a cancelled call's connection is reused and its answer is delivered to the next call",
        Promise.OWN_ANSWER,
        "rolling-stop",
        _reused_connection,
    ),
    PlantedDefect(
        "doubled-rows",
        "a duplicate answer is merged twice",
        Promise.OWN_ANSWER,
        "replica-loss",
        _doubled_rows,
    ),
    PlantedDefect(
        "tenant-from-index",
        "the tenant is taken from the requested index, not from the credential",
        Promise.OWN_ANSWER,
        "drain",
        _tenant_from_index,
    ),
    PlantedDefect(
        "coverage-at-send",
        "a shard counts as included as soon as its call has been sent",
        Promise.TRUE_COVERAGE,
        "zone-cut",
        _coverage_at_send,
    ),
    PlantedDefect(
        "not-run-after-send",
        "a query whose relay was lost is reported as not run",
        Promise.TRUE_NOT_RUN,
        "zone-cut",
        _not_run_after_send,
    ),
    PlantedDefect(
        "lowered-revision",
        "a stale platform lowers the revision in force",
        Promise.CONFIGURATION_HOLDS,
        "config-stale",
        _lowered_revision,
    ),
    PlantedDefect(
        "no-dissemination",
        "nodes do not propagate a new revision to each other",
        Promise.CONFIGURATION_HOLDS,
        "config-down",
        _no_dissemination,
    ),
    PlantedDefect(
        "work-to-draining",
        "a draining back end stays a candidate",
        Promise.NO_WORK_TO_LEAVING,
        "drain",
        _work_to_draining,
    ),
    PlantedDefect(
        "stop-drops-relayed",
        "a planned stop waits neither for relayed queries nor until other nodes have noticed it",
        Promise.STOP_CUTS_NOTHING,
        "rolling-stop",
        _stop_drops_relayed,
    ),
    PlantedDefect(
        "claim-after-pause",
        "a process that was suspended past the validity of a claim still acts on it",
        Promise.AT_MOST_ONCE,
        "duplicate-purchase",
        _claim_after_pause,
    ),
    PlantedDefect(
        "forgetful-voter",
        "a voter votes right after its start as if it remembered its earlier votes",
        Promise.AT_MOST_ONCE,
        "duplicate-purchase",
        _forgetful_voter,
    ),
    PlantedDefect(
        "operation-resent",
        "an operation whose call failed after sending is sent to another replica",
        Promise.AT_MOST_ONCE,
        "duplicate-purchase",
        _operation_resent,
    ),
)

PLANTED_DEFECTS_BY_NAME = {plant.name: plant for plant in PLANTED_DEFECTS}
