"""Every reason for the receiving gateway to refuse a request, in the order of evaluation.

:data:`RULES` is the complete list, and the text of each refusal goes into the log line of the
request.  The first rule that refuses ends the request; a rule may store a result (route, tenant,
service) for the rules after it.  The order matters: the refusal of a malformed request reveals
nothing about routes, that of a caller without a key nothing about back ends, and the most expensive
rules come last.

Owns no state.  Depends on the components that are grouped in :class:`RequestChecks`, each of which
keeps its own state.  After these rules, a scatter can still be refused by the gateway that runs it
(:mod:`tinrudder.gateway.scatters.scatter_admission`), and a run ends with a refusal if every back
end rejected it (:mod:`tinrudder.gateway.runs.run_outcome`).
"""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec import Struct

from tinrudder.gateway.model.outcomes import (
    STATUS_BAD_REQUEST,
    Invalid,
    NotRun,
    OverQuota,
    RequestOutcome,
    UnknownRoute,
)
from tinrudder.gateway.peers.poison_watch import PoisonWatch
from tinrudder.gateway.peers.reachability import Reachability
from tinrudder.gateway.quotas.quotas import Quotas
from tinrudder.gateway.requests.authentication import AuthenticatedRequest, Authentication
from tinrudder.gateway.requests.client_request import AuthorizedRequest, ClientRequest
from tinrudder.gateway.requests.process_end import PROCESS_ENDS, RETRY_AFTER_S, ProcessEnd
from tinrudder.gateway.requests.service_admission import ServiceAdmission
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.stored_values import Topic

STARTUP_RETRY_AFTER_S = 0.3
"""``Retry-After`` of a process that has no configuration yet, seconds: ten requests to peers fit
into this time."""


class RequestChecks(Struct, frozen=True):
    """The components that the rules query.

    :param process_end: when this process ends.
    :param is_fresh: returns whether this gateway would know of a newer configuration.
    :param authentication: determines the tenant of a request.
    :param quotas: limits the request rate of each tenant.
    :param reachability: knows the zones that this gateway cannot reach.
    :param poison: knows the requests that crash the back ends that run them.
    :param service_admission: knows the queues of services whose requests run at one back end.
    """

    call_context: CallContext
    process_end: ProcessEnd
    state: SharedState
    is_fresh: Callable[[], bool]
    authentication: Authentication
    quotas: Quotas
    reachability: Reachability
    poison: PoisonWatch
    service_admission: ServiceAdmission
    random: random.Random


class Rule(Struct, frozen=True):
    """The description of one reason to refuse.

    :param name: its name in the documentation and in tests.
    :param question: the condition that a request must meet.
    :param refusal: the outcome otherwise, and what its text says.
    """

    name: str
    question: str
    refusal: str


class ArrivalRule(Rule, frozen=True):
    """A rule on a request that has been read and not authorized yet."""

    check: Callable[[RequestChecks, ClientRequest], RequestOutcome | None]


class StartRule(Rule, frozen=True):
    """A rule on an authorized request, evaluated when it would start."""

    check: Callable[[RequestChecks, AuthorizedRequest], NotRun | None]


def refusal_on_arrival(checks: RequestChecks, request: ClientRequest) -> RequestOutcome | None:
    """Return the first refusal of a request that has just been read; ``None``: there is none."""
    for rule in ARRIVAL_RULES:
        refusal = rule.check(checks, request)
        if refusal is not None:
            return refusal
    return None


def check_quota(
    checks: RequestChecks,
    request: ClientRequest,
    decide: Callable[[OverQuota | NotRun | None], None],
) -> None:
    """Call ``decide`` with the quota's refusal or ``None``, at once or after a round trip.

    Requests without a tenant have no quota.
    """
    tenant = request.tenant
    if tenant is None:
        decide(None)
    else:
        checks.quotas.admit(tenant, decide)


def refusal_at_start(checks: RequestChecks, request: AuthorizedRequest) -> NotRun | None:
    """Return the first refusal of an authorized request; ``None`` lets it start."""
    for rule in START_RULES:
        refusal = rule.check(checks, request)
        if refusal is not None:
            return refusal
    return None


def _check_protocol(checks: RequestChecks, request: ClientRequest) -> Invalid | None:
    http_request = request.http_request
    if not http_request.target.startswith(b"/"):
        return Invalid(STATUS_BAD_REQUEST, "target: must begin with a slash")
    names = [name for name, _ in http_request.headers]
    if names.count(b"host") != 1:
        return Invalid(STATUS_BAD_REQUEST, "host: must stand exactly once")
    id_name = checks.call_context.names.request_id
    ids = [value for name, value in http_request.headers if name == id_name]
    if len(ids) != 1 or not ids[0]:
        return Invalid(STATUS_BAD_REQUEST, "request id: must stand exactly once")
    request.request_id = ids[0]
    return None


def _check_process_end(checks: RequestChecks, request: ClientRequest) -> NotRun | None:
    if request.received_at < checks.process_end.answers_until:
        return None
    return NotRun(PROCESS_ENDS, RETRY_AFTER_S)


def _check_configuration(checks: RequestChecks, request: ClientRequest) -> NotRun | None:
    if request.routes is None or not checks.state.complete:
        return NotRun("no configuration is known yet", STARTUP_RETRY_AFTER_S)
    request.version = request.routes.configuration.version
    return None


def _check_route(checks: RequestChecks, request: ClientRequest) -> UnknownRoute | NotRun | None:
    assert request.routes is not None
    request.route = request.routes.find(request.http_request)
    if request.route is not None:
        return None
    known = _describe_configuration_age(checks.state)
    if checks.is_fresh():
        return UnknownRoute(f"no route, {known}")
    return NotRun(
        f"no route, and no word from store or peers lately; {known}", STARTUP_RETRY_AFTER_S
    )


def _describe_configuration_age(state: SharedState) -> str:
    """Describe the age of the configuration in force, for the request's log line."""
    age_s = state.unconfirmed_s(Topic.OPERATOR)
    when = f"{age_s:.2f} s ago" if age_s != float("inf") else "never"
    return f"version {state.configuration_version}, the store's last word heard of: {when}"


def _check_key(checks: RequestChecks, request: ClientRequest) -> RequestOutcome | None:
    assert request.routes is not None
    assert request.route is not None
    authenticated = checks.authentication.authenticate(
        request.routes, request.route, request.http_request, request.received_at
    )
    if not isinstance(authenticated, AuthenticatedRequest):
        return authenticated
    request.authenticated = authenticated
    return None


def _check_reachability(checks: RequestChecks, request: AuthorizedRequest) -> NotRun | None:
    return checks.reachability.refusal(request.route)


def _check_time_left(checks: RequestChecks, request: AuthorizedRequest) -> NotRun | None:
    deadlines = request.deadlines
    if not deadlines.is_shortened:
        return None
    context = checks.call_context
    left_s = deadlines.deadline_at - context.loop.time()
    shortest_s = context.shortest_time_s(request.route)
    if left_s > shortest_s:
        return None
    detail = f"{PROCESS_ENDS} in {left_s:.3f} s, a request takes {shortest_s:.3f} s"
    return NotRun(detail, RETRY_AFTER_S)


def _check_memory(checks: RequestChecks, request: AuthorizedRequest) -> NotRun | None:
    memory = checks.call_context.memory
    if not memory.may_be_near:
        return None
    return memory.refusal(request.priority_steps)


def _check_poison(checks: RequestChecks, request: AuthorizedRequest) -> NotRun | None:
    return checks.poison.refusal(request.route, request.authenticated.request)


def _check_overload(checks: RequestChecks, request: AuthorizedRequest) -> NotRun | None:
    route = request.route
    if route.shards:
        return None
    request.service = request.routes.choose_service(route, checks.random)
    return checks.service_admission.refusal(
        route,
        request.service,
        request.deadlines,
        request.priority_steps,
        request.authenticated.tenant_name,
    )


ARRIVAL_RULES = (
    ArrivalRule(
        "protocol",
        "Does the request have a path, one host header and one request id?",
        "Invalid: the one that is missing or malformed.",
        _check_protocol,
    ),
    ArrivalRule(
        "stopped",
        "Does this process still answer?",
        "NotRun: a planned stop is about to end.",
        _check_process_end,
    ),
    ArrivalRule(
        "configuration",
        "Has this gateway read the whole configuration and all back ends?",
        "NotRun: the gateway has just started.",
        _check_configuration,
    ),
    ArrivalRule(
        "route",
        "Does a route of the configuration in force match host and path?",
        "UnknownRoute, or NotRun if a newer configuration may exist.",
        _check_route,
    ),
    ArrivalRule(
        "key",
        "Does its key belong to a tenant, or is no key required, by a fresh enough configuration?",
        "Invalid: two sets of credentials. Unauthorized: unknown key. NotRun: may be stale. "
        "Unconfirmed: the key may be a tenant's in a newer configuration; the request waits.",
        _check_key,
    ),
)
QUOTA_RULE = Rule(
    "quota",
    "Is the tenant's request rate, over all gateways, within its rate and burst?",
    "OverQuota, or NotRun if the gateway that counts the tenant's requests does not answer.",
)
START_RULES = (
    StartRule(
        "stopping",
        "During a planned stop, can a back end answer it before this process ends?",
        "NotRun: the time left and the time that such requests take.",
        _check_time_left,
    ),
    StartRule(
        "cut zone",
        "Can enough of its shards, or one of its back ends, be reached from this zone?",
        "NotRun: the zones that cannot be reached.",
        _check_reachability,
    ),
    StartRule(
        "memory",
        "Does the gateway have memory for it?  Less urgent requests are refused first.",
        "NotRun: the memory in use.",
        _check_memory,
    ),
    StartRule(
        "poison",
        "Have fewer back ends crashed under it, or under its caller's other requests, than bar it?",
        "NotRun: when it may be tried again.",
        _check_poison,
    ),
    StartRule(
        "overload",
        "Will a back end of its service probably answer in time?  Scatters pass: the gateway that "
        "runs them checks its queue.",
        "NotRun: expected wait, admitted share and time left.",
        _check_overload,
    ),
)
RULES: tuple[Rule, ...] = (*ARRIVAL_RULES, QUOTA_RULE, *START_RULES)
"""All rules, in the order of evaluation."""
