"""Records what back ends and clients saw, and checks the gateways' promises against it."""

from __future__ import annotations

import contextlib
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from tinrudder.gateway.scatters.record_merge import RECORD_BYTES
from tinrudder_lab.emulator.records import (
    Arrival,
    ClientResult,
    ColdSpan,
    ContractViolation,
    CrashedBackend,
    Disturbance,
    EvacuatedZone,
    IssuedAnswer,
    KeySpan,
    SentRequest,
    StoreOutage,
    UnreadableSpan,
)

CRASHES_UNTIL_KNOWN = 3
"""Crashes of back ends under one request after which gateways must recognise it."""
PROPAGATION_S = 4.0
"""Seconds within which a change reaches all reachable gateways."""
ATTEMPTS_AFTER_KNOWN = 3
"""Attempts allowed after that, in a day."""
ROUTE_ATTEMPTS = 2
"""Attempts that every route of the emulator allows."""


@dataclass
class Ledger:
    """All records of one run."""

    issued: dict[str, IssuedAnswer] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    results: list[ClientResult] = field(default_factory=list)
    # By incarnation: a restarted back end is not leaving because the earlier incarnation was.
    draining_since: dict[str, float] = field(default_factory=dict)
    unreadable: list[UnreadableSpan] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    evacuations: list[EvacuatedZone] = field(default_factory=list)
    store_outages: list[StoreOutage] = field(default_factory=list)
    sent: dict[str, SentRequest] = field(default_factory=dict)
    keys: dict[str, list[KeySpan]] = field(default_factory=dict)
    revocation_s: float | None = None
    crashes: list[CrashedBackend] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    planned_stops: list[Disturbance] = field(default_factory=list)
    _serial: itertools.count[int] = field(default_factory=itertools.count)

    @contextlib.contextmanager
    def planned_stop(self, host: str, clock: Callable[[], float]) -> Iterator[None]:
        """Record a planned stop of a gateway, from its signal until its process has ended."""
        stop = Disturbance(host, clock())
        self.planned_stops.append(stop)
        yield
        stop.until = clock()

    def issue(self, request_id: str, service: str, body: bytes) -> str:
        """Record an answer and return its signature."""
        stamp = f"{next(self._serial):x}.signed"
        self.issued[stamp] = IssuedAnswer(request_id, service, body)
        return stamp

    def contract_violations(
        self, ratio: float, extra: float, window_s: float, drain_s: float, evacuation_s: float
    ) -> list[ContractViolation]:
        """Return all violations of the gateways' promises.

        :param ratio: repeats allowed for each counted request.
        :param extra: repeats allowed on top, in each window of ``window_s``.
        :param drain_s: time within which gateways stop calling a back end that leaves.
        :param evacuation_s: time within which gateways stop calling an evacuated zone.
        """
        return [
            *self._check_answers(),
            *self._check_single_runs(),
            *self._check_refusals(),
            *self._check_repeat_budget(ratio, extra, window_s),
            *self._check_draining(drain_s),
            *self._check_unreadable(drain_s),
            *self._check_attempts(),
            *self._check_evacuations(evacuation_s),
            *self._check_credentials(),
            *self._check_keys(),
            *self._check_crashing_requests(),
        ]

    def requests_after_three_crashes(self, target: str) -> list[str]:
        """Return the requests for a target that reached back ends after gateways had to know of it.

        Gateways must know once three back ends have crashed under it and the propagation time has
        passed.  Requests through gateways that were disturbed within that time do not count, as
        the news could not reach these gateways.
        """
        ends = sorted(one.at for one in self.crashes if one.target == target)
        if len(ends) < CRASHES_UNTIL_KNOWN:
            return []
        known_at = ends[CRASHES_UNTIL_KNOWN - 1] + PROPAGATION_S
        late = (one for one in self.arrivals if one.target == target and one.at > known_at)
        return sorted({one.request_id for one in late if not self._was_disturbed(one)})

    def is_disturbed(self, host: str, at: float) -> bool:
        """Return whether a gateway was disturbed at ``at`` or within ``PROPAGATION_S`` before."""
        return any(
            one.host == host and one.since <= at <= one.until + PROPAGATION_S
            for one in self.disturbances
        )

    def _was_disturbed(self, arrival: Arrival) -> bool:
        """Return whether the gateway that a request was sent to was disturbed when it arrived."""
        sent = self.sent.get(arrival.request_id)
        return sent is not None and self.is_disturbed(sent.host, arrival.at)

    def _check_crashing_requests(self) -> list[ContractViolation]:
        """Check that a request which crashes back ends is not sent to them again and again."""
        violations = []
        for target in {one.target for one in self.crashes}:
            repeats = self.requests_after_three_crashes(target)
            if len(repeats) > ATTEMPTS_AFTER_KNOWN:
                what = (
                    f"{target} was sent {len(repeats)} more times after gateways had to know of it"
                )
                violations.append(ContractViolation("ended back ends", what))
        return violations

    def _check_credentials(self) -> list[ContractViolation]:
        """Check that no client's key reaches a back end."""
        return [
            ContractViolation(
                "keys", f"{arrival.request_id} reached {arrival.backend_id} with its key"
            )
            for arrival in self.arrivals
            if arrival.credentials
        ]

    def _check_keys(self) -> list[ContractViolation]:
        """Check that every request which ran carried a valid key of its tenant."""
        if not self.keys:
            return []
        violations = []
        for arrival in self.arrivals:
            sent = self.sent.get(arrival.request_id)
            if arrival.ran and sent is not None and not self._is_authorized(arrival, sent):
                what = f"{arrival.request_id} ran for {arrival.tenant or 'nobody'}"
                violations.append(ContractViolation("keys", what))
        return violations

    def _is_authorized(self, arrival: Arrival, sent: SentRequest) -> bool:
        """Return whether a request's key was valid for its tenant, or was revoked only recently."""
        late_s = self.revocation_s if self.revocation_s is not None else float("inf")
        return any(
            held.tenant == arrival.tenant
            and held.since <= arrival.at
            and sent.at <= held.until + late_s
            for held in self.keys.get(sent.key, [])
        )

    def max_in_window(self, tenant: str, window_s: float) -> int:
        """Return the highest number of a tenant's executed requests sent within one window."""
        ran = {one.request_id for one in self.arrivals if one.ran and one.tenant == tenant}
        sent_times = sorted(self.sent[request_id].at for request_id in ran)
        first = 0
        most = 0
        for last, at in enumerate(sent_times):
            while sent_times[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _check_evacuations(self, evacuation_s: float) -> list[ContractViolation]:
        """Check that no request reaches a zone later than ``evacuation_s`` after its evacuation."""
        return [
            ContractViolation("evacuation", f"{arrival.request_id} reached {arrival.backend_id}")
            for arrival in self.arrivals
            for evacuated in self.evacuations
            if self.zones[arrival.backend_id] == evacuated.zone
            and evacuated.since + evacuation_s < arrival.at < evacuated.until
        ]

    def max_in_a_second(self, span: ColdSpan) -> int:
        """Return the highest number of requests that reached a back end in one second of a span."""
        arrivals = sorted(
            one.at
            for one in self.arrivals
            if one.backend_id == span.backend_id and span.since <= one.at < span.until
        )
        first = 0
        most = 0
        for last, at in enumerate(arrivals):
            while arrivals[first] <= at - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _check_attempts(self) -> list[ContractViolation]:
        """Check that no request ran on more back ends of a service than its route has attempts."""
        ran_on: dict[tuple[str, str], set[str]] = {}
        for arrival in self.arrivals:
            if arrival.ran:
                key = (arrival.request_id, arrival.service)
                ran_on.setdefault(key, set()).add(arrival.backend_id)
        return [
            ContractViolation("attempts", f"{request_id} ran on {len(used)} of {service}")
            for (request_id, service), used in ran_on.items()
            if len(used) > ROUTE_ATTEMPTS
        ]

    def _check_answers(self) -> list[ContractViolation]:
        """Check every successful answer against the signed answers."""
        violations = []
        for result in self.results:
            if 200 <= result.status < 300:
                problem = self._success_problem(result)
                if problem:
                    violations.append(
                        ContractViolation("own answer only", f"{result.request_id}: {problem}")
                    )
        return violations

    def _success_problem(self, result: ClientResult) -> str:
        """Return what is wrong with a successful answer; empty: nothing."""
        if result.top_records:
            return self._merged_problem(result)
        answer = self.issued.get(result.headers.get("tinrudder-server-stamp", ""))
        if answer is None or answer.request_id != result.request_id:
            return "no signature for this request"
        return "" if answer.body == result.body else "another body than the back end's"

    def _merged_problem(self, result: ClientResult) -> str:
        """Return what is wrong with parts, coverage or merge of a scatter; empty: nothing."""
        named = result.headers.get("tinrudder-parts", "")
        stamps = [stamp.strip() for stamp in named.split(",") if stamp.strip()]
        missing = int(result.headers.get("tinrudder-missing-parts", "0"))
        answers = [self.issued.get(stamp) for stamp in stamps]
        if any(answer is None or answer.request_id != result.request_id for answer in answers):
            return "a part that is no answer to this request"
        parts = [answer for answer in answers if answer is not None]
        services = {part.service for part in parts}
        if len(services) != len(parts) or not services <= set(result.services):
            return "two parts of one shard, or one of no shard"
        if len(parts) + missing != len(result.services):
            return "parts and missing do not make up the shards"
        if not parts or len(parts) < result.minimum_share * len(result.services) - 1e-9:
            return "too few parts"
        return "" if result.body == _top_records(parts, result.top_records) else "not the greatest"

    def _check_single_runs(self) -> list[ContractViolation]:
        """Check that every unrepeatable request ran at most once."""
        unrepeatable = {result.request_id for result in self.results if not result.repeatable}
        runs = Counter(arrival.request_id for arrival in self.arrivals if arrival.ran)
        return [
            ContractViolation("at most once", f"{request_id} ran {runs[request_id]} times")
            for request_id in unrepeatable
            if runs[request_id] > 1
        ]

    def _check_refusals(self) -> list[ContractViolation]:
        """Check that no unrepeatable request ran that was refused as not run."""
        ran = {arrival.request_id for arrival in self.arrivals if arrival.ran}
        return [
            ContractViolation("not run", f"{result.request_id} got {result.status} and ran")
            for result in self.results
            if not result.repeatable and result.status in (408, 421, 429, 503)
            if result.request_id in ran
        ]

    def _check_repeat_budget(
        self, ratio: float, extra: float, window_s: float
    ) -> list[ContractViolation]:
        """Check the retry budget of each service in every sliding window, over all gateways."""
        violations = []
        for service, repeats in self._repeats().items():
            requests = sorted(self._request_times(service))
            for index, end in enumerate(repeats):
                spent = sum(1 for at in repeats[: index + 1] if at > end - window_s)
                counted = sum(1 for at in requests if end - 2 * window_s < at <= end)
                if spent > ratio * counted + extra:
                    what = f"{service}: {spent} repeats in the {window_s} s before {end:.2f}"
                    violations.append(ContractViolation("repeat budget", what))
                    break
        return violations

    def _repeats(self) -> dict[str, list[float]]:
        """Return for each service the times of all arrivals beyond the first of each request."""
        seen: set[tuple[str, str]] = set()
        repeats: dict[str, list[float]] = defaultdict(list)
        for arrival in sorted(self.arrivals, key=lambda arrival: arrival.at):
            key = (arrival.service, arrival.request_id)
            if key in seen:
                repeats[arrival.service].append(arrival.at)
            seen.add(key)
        return repeats

    def _request_times(self, service: str) -> list[float]:
        """Return when clients sent requests for a service."""
        return [result.sent_at for result in self.results if service in result.services]

    def visible_at(self, written_at: float) -> float:
        """Return when a write to the store becomes visible to gateways, outages considered."""
        ends = [one.until for one in self.store_outages if one.since <= written_at < one.until]
        return max([written_at, *ends])

    def _check_draining(self, drain_s: float) -> list[ContractViolation]:
        """Check that no request runs on a back end later than ``drain_s`` after it began to drain.

        A drain that was written during an outage of the store counts from the end of the outage.
        Requests through recently disturbed gateways do not count, as the promise exempts them: a
        gateway that has just started learns that the back end is draining, but not since when.
        """
        known_at = {name: self.visible_at(at) for name, at in self.draining_since.items()}
        return [
            ContractViolation("leaving", f"{arrival.request_id} reached {arrival.backend_id}")
            for arrival in self.arrivals
            if arrival.ran
            and arrival.at > known_at.get(arrival.incarnation, float("inf")) + drain_s
            if not self._was_disturbed(arrival)
        ]

    def unreadable_now(self) -> set[str]:
        """Return the back ends whose entries are unreadable at present."""
        return {span.backend_id for span in self.unreadable if span.until == float("inf")}

    def record_readable(self, backend_id: str, now: float) -> None:
        """Record that a back end's entry is readable again, or removed."""
        for span in self.unreadable:
            if span.backend_id == backend_id:
                span.until = min(span.until, now)

    def _check_unreadable(self, drain_s: float) -> list[ContractViolation]:
        """Check that no request runs on a back end long after its entry became unreadable.

        Gateways have ``drain_s`` to stop, as for a back end that drains.
        """
        return [
            ContractViolation("unreadable", f"{arrival.request_id} reached {arrival.backend_id}")
            for arrival in self.arrivals
            for span in self.unreadable
            if arrival.ran and arrival.backend_id == span.backend_id
            if self.visible_at(span.since) + drain_s < arrival.at < span.until
            if not self._was_disturbed(arrival)
        ]


def _top_records(parts: list[IssuedAnswer], count: int) -> bytes:
    """Return the ``count`` greatest records of all parts, by sorting all of them."""
    records = []
    for part in parts:
        for start in range(0, len(part.body) - RECORD_BYTES + 1, RECORD_BYTES):
            records.append(part.body[start : start + RECORD_BYTES])
    return b"".join(sorted(records, reverse=True)[:count])
