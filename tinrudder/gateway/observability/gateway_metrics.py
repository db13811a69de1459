"""Counters and latency histograms of a gateway, with bounded labels.

Counting needs no library.  The one that writes the text format is loaded at the first scrape: it
takes a fifth of a process's start, which every restart would pay.
"""

from __future__ import annotations

import functools
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING

from msgspec import Struct

from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.observability.request_latencies import LatencyCounts, LatencyLabels
from tinrudder.gateway.observability.request_log import FinishedRequest

if TYPE_CHECKING:
    from tinrudder.gateway.gateway import Gateway


class Figure(Struct, frozen=True):
    """A figure that some part of the gateway keeps.

    :param is_counter: it only grows while the process lives.
    """

    name: str
    help: str
    read: Callable[[], float]
    is_counter: bool = True


class TenantFigure(Struct, frozen=True):
    """What was decided on a tenant's requests, or is held for it."""

    tenant: str
    kind: str
    value: float


MOST_TENANTS = 100
"""Tenants with figures of their own, those that asked most; a scrape of 100 takes 2 ms."""
OTHER_TENANTS = "other"


class GatewayMetrics:
    """Everything the metrics address shows.

    Labels are an outcome's tag, a route's priority and the busiest tenants, so that their number
    stays small however many routes and tenants there are.
    """

    def __init__(self, node: Gateway) -> None:
        """Read what the node's parts count anyway at every scrape."""
        self.latencies: defaultdict[LatencyLabels, LatencyCounts] = defaultdict(LatencyCounts)
        self._missing_shards = 0
        self._quotas = node.quotas
        self.traffic = node.datagrams.traffic
        counters = node.counters
        self.figures = [
            Figure(f"{PREFIX}_{name}", text, functools.partial(getattr, counters, name))
            for name, text in _COUNTED.items()
        ]
        self.figures += [
            *_read_figures(node),
            Figure(
                f"{PREFIX}_zone_closings",
                "Times that a zone went out of reach.",
                lambda: node.watch.closings,
            ),
            *_memory_figures(node.memory),
            *_poison_figures(node),
            *_load_news_figures(node),
            Figure(
                f"{PREFIX}_missing_shards",
                "Shards left out of merged answers.",
                lambda: self._missing_shards,
            ),
            *_gauges(node),
        ]

    def observe(self, request: FinishedRequest) -> None:
        """Count one finished request."""
        priority = str(request.route.priority) if request.route is not None else "none"
        self.latencies[LatencyLabels(priority, request.outcome_name)].observe(request.elapsed_s)
        self._missing_shards += len(request.missing_shards)

    def tenant_requests(self) -> list[TenantFigure]:
        """Return the decisions on requests of the busiest tenants, and of all others together."""
        busiest = sorted(self._quotas.counts.items(), key=lambda one: one[1].asked, reverse=True)
        totals: Counter[tuple[str, str]] = Counter()
        for place, (name, counts) in enumerate(busiest):
            tenant = name if place < MOST_TENANTS else OTHER_TENANTS
            totals[tenant, "admitted"] += counts.admitted
            totals[tenant, "over_quota"] += counts.over_quota
            totals[tenant, "home_unknown"] += counts.unknown
        return [TenantFigure(tenant, kind, value) for (tenant, kind), value in totals.items()]

    def tenant_tokens(self) -> list[TenantFigure]:
        """Return what the emptiest buckets hold, of tenants whose home this gateway is."""
        held = sorted(self._quotas.homes.buckets.held().items(), key=lambda one: one[1])[
            :MOST_TENANTS
        ]
        return [TenantFigure(tenant, "held", tokens) for tenant, tokens in held]

    def render(self) -> bytes:
        """Return the text format."""
        from tinrudder.gateway.observability.metrics_text import metrics_text

        return metrics_text(self)


PREFIX = "tinrudder_gateway"
_COUNTED = {
    "requests": "Requests read.",
    "calls": "Calls sent to back ends.",
    "hedges": "Calls sent beside one that was overdue.",
    "retries": "Calls sent after one that failed.",
    "repeats_denied": "Hedges and retries that the budget did not allow.",
    "rejections": "Calls that back ends rejected.",
    "broken": "Calls without a usable answer.",
    "connections_opened": "Connections opened to back ends.",
    "refused": "Requests refused since they could not have been served in time.",
    "relayed": "Scatters handed to coordinators.",
    "delegated": "Groups of shards handed to gateways beside their replicas.",
    "delegations_run_here": "Groups of shards asked from here since the other gateway did not.",
    "relays_failed": "Coordinators that did not serve a scatter.",
    "relays_run_here": "Scatters run here because no coordinator served them.",
    "coordinated": "Scatters run for other gateways.",
    "clients_left": "Requests whose client left before the answer.",
}


def _read_figures(node: Gateway) -> list[Figure]:
    """Return what was read, and what of it nobody can use."""
    return [
        Figure(f"{PREFIX}_store_calls", "Calls to the store.", lambda: node.store_calls),
        Figure(
            f"{PREFIX}_unreadable_values",
            "Values in the store that do not have the form agreed on.",
            lambda: node.unreadable_values.count,
        ),
        Figure(
            f"{PREFIX}_unreadable_load_reports",
            "Load reports of back ends that do not have the form agreed on.",
            lambda: node.call_context.load_reports.unreadable,
        ),
        Figure(
            f"{PREFIX}_unreadable_datagrams",
            "Datagrams that are none of the kinds that gateways send each other.",
            lambda: node.datagrams.unreadable,
        ),
        Figure(
            f"{PREFIX}_knowledge_reads",
            "Calls to the store to know that nothing newer is there.",
            lambda: node.keeper.reads,
        ),
    ]


def _memory_figures(account: MemoryAccount) -> list[Figure]:
    """Return what is held for others, and who found no room."""
    counted = {
        "memory_refused": ("refused", "Requests refused since there was no room in memory."),
        "clients_ended_unread": ("ended_unread", "Connections ended since nobody read answers."),
        "reading_paused": ("pauses", "Times that reading from a client was stopped."),
    }
    held = {
        "clients": "Bytes held for clients: requests, and answers that they have not taken.",
        "backends": "Bytes held of back ends: requests not taken, answers until they are merged.",
        "peers": "Bytes held for other gateways, at the latest look, one a second.",
        "bound": "Bytes that may be held for all together.",
    }
    figures = [
        Figure(f"{PREFIX}_{name}", text, functools.partial(getattr, account, field))
        for name, (field, text) in counted.items()
    ]
    figures += [
        Figure(
            f"{PREFIX}_held_{name}_bytes",
            text,
            functools.partial(getattr, account, name),
            is_counter=False,
        )
        for name, text in held.items()
    ]
    return figures


def _poison_figures(node: Gateway) -> list[Figure]:
    """Return what is done about requests under which back ends crash."""
    return [
        Figure(
            f"{PREFIX}_poison_refused",
            "Requests refused since back ends crash under them.",
            lambda: node.poison.refused,
        ),
        Figure(
            f"{PREFIX}_poison_reports_unsent",
            "Reports of poison requests kept back by the bound on them.",
            lambda: node.poison.unsent,
        ),
        Figure(
            f"{PREFIX}_poison_alerts",
            "Routes and callers all whose requests begin as canaries now.",
            node.poison.alerts,
            is_counter=False,
        ),
    ]


def _load_news_figures(node: Gateway) -> list[Figure]:
    """Return how much gateways tell each other of long queues."""
    return [
        Figure(
            f"{PREFIX}_load_news_sent",
            "Datagrams that told other gateways of long queues, each receiver counted.",
            lambda: node.load_watch.sent,
        ),
        Figure(
            f"{PREFIX}_load_news_taken",
            "Loads of back ends told by other gateways and newer than what was known.",
            lambda: node.load_watch.taken,
        ),
        Figure(
            f"{PREFIX}_load_news_ignored",
            "Loads told of back ends that are not known, or that cannot be true.",
            lambda: node.load_watch.ignored,
        ),
    ]


def _gauges(node: Gateway) -> list[Figure]:
    """Return what is as it is now."""
    return [
        Figure(
            f"{PREFIX}_configuration_revision",
            "Revision of the configuration in force.",
            lambda: node.state.configuration_revision,
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_nodes",
            "Gateways that share budgets, this one included.",
            node.nodes,
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_backends",
            "Back ends known.",
            lambda: len(node.directory),
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_knowledge_age_seconds",
            "How old what is known of the operator's word is at most; -1: it was never proven.",
            lambda: _proven(node.knowledge.told_age_s),
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_zones_out_of_reach",
            "Zones to which calls would only hang.",
            lambda: len(node.watch.paths.lost),
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_heard_share",
            "Part of the gateways known that can be reached, this one included.",
            lambda: node.watch.heard_share,
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_ready",
            "1 while clients should come here.",
            node.is_ready,
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_suspect_requests",
            "Different requests under which back ends were lost lately.",
            lambda: len(node.poison.requests),
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_barred_requests",
            "Different requests that no gateway sends now, since back ends crash under them.",
            node.poison.barred,
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_evacuated_zones",
            "Zones whose back ends get nothing since the operator evacuates them.",
            lambda: len(node.state.evacuations.zones),
            is_counter=False,
        ),
        *_gate_figures(node),
        Figure(
            f"{PREFIX}_in_progress",
            "Requests being served.",
            lambda: node.handler.in_progress,
            is_counter=False,
        ),
    ]


def _gate_figures(node: Gateway) -> list[Figure]:
    """Return what waits for room at the back ends, and how much room there is."""
    return [
        Figure(
            f"{PREFIX}_scatters_waiting",
            "Scatters that wait here for room at the back ends.",
            lambda: node.gates.waiting,
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_scatter_room_held",
            "Slots of a typical shard that running scatters hold.",
            lambda: node.gates.held,
            is_counter=False,
        ),
        Figure(
            f"{PREFIX}_scatter_room_limit",
            "Slots of a typical shard that scatters of this gateway may hold now.",
            lambda: node.gates.limit,
            is_counter=False,
        ),
    ]


def _proven(age_s: float | None) -> float:
    """Return an age for a gauge, which has no word for never."""
    return -1.0 if age_s is None else age_s
