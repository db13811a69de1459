"""What back ends and clients saw, and the checks of a gateway's promises against it."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from tinrudder.gateway.scatters.record_merge import RECORD_BYTES
from tinrudder_lab.emulator.records import (
    Arrival,
    BrokenPromise,
    ClientResult,
    ColdSpan,
    Disturbance,
    EndedBackend,
    EvacuatedZone,
    HeldKey,
    IssuedAnswer,
    SentRequest,
    StoreOutage,
    UnreadableSpan,
)

KNOWN_AFTER_ENDS = 3
"""How many back ends end under a request before gateways must know it."""
TELLING_S = 4.0
"""Within this time all gateways that can be reached know it."""
TRIES_ALLOWED = 3
"""How often it may be tried again after that, in a day."""
ROUTE_ATTEMPTS = 2
"""What every route of the emulator allows."""


@dataclass
class Ledger:
    """Everything that was seen."""

    issued: dict[str, IssuedAnswer] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    results: list[ClientResult] = field(default_factory=list)
    # By the life of the back end: what one start said does not bind the next.
    leaving_at: dict[str, float] = field(default_factory=dict)
    unreadable: list[UnreadableSpan] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    evacuations: list[EvacuatedZone] = field(default_factory=list)
    store_outages: list[StoreOutage] = field(default_factory=list)
    sent: dict[str, SentRequest] = field(default_factory=dict)
    keys: dict[str, list[HeldKey]] = field(default_factory=dict)
    revocation_s: float | None = None
    ended: list[EndedBackend] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    _serial: itertools.count[int] = field(default_factory=itertools.count)

    def issue(self, request_id: str, service: str, body: bytes) -> str:
        """Sign an answer."""
        stamp = f"{next(self._serial):x}.signed"
        self.issued[stamp] = IssuedAnswer(request_id, service, body)
        return stamp

    def broken_promises(
        self, ratio: float, extra: float, window_s: float, drain_s: float, evacuation_s: float
    ) -> list[BrokenPromise]:
        """Return everything that must not have happened."""
        return [
            *self._mixed(),
            *self._ran_twice(),
            *self._refused_but_ran(),
            *self._over_budget(ratio, extra, window_s),
            *self._after_leaving(drain_s),
            *self._while_unreadable(drain_s),
            *self._too_many_back_ends(),
            *self._in_evacuated_zones(evacuation_s),
            *self._keys_passed_on(),
            *self._ran_without_key(),
            *self._came_again_to_end_back_ends(),
        ]

    def requests_after_three_ends(self, target: str) -> list[str]:
        """Return the requests with a target that reached back ends although it was known.

        Known: three back ends had ended under it, and the time to tell every gateway was over.
        Gateways that were disturbed within that time are left out: nobody could tell them.
        """
        ends = sorted(one.at for one in self.ended if one.target == target)
        if len(ends) < KNOWN_AFTER_ENDS:
            return []
        known_at = ends[KNOWN_AFTER_ENDS - 1] + TELLING_S
        late = (one for one in self.arrivals if one.target == target and one.at > known_at)
        return sorted({one.request_id for one in late if not self._was_disturbed(one)})

    def is_disturbed(self, host: str, at: float) -> bool:
        """Tell whether a gateway could not be told of anything lately."""
        return any(
            one.host == host and one.since <= at <= one.until + TELLING_S
            for one in self.disturbances
        )

    def _was_disturbed(self, arrival: Arrival) -> bool:
        """Tell whether the gateway that took a request could not be told of anything lately."""
        sent = self.sent.get(arrival.request_id)
        return sent is not None and self.is_disturbed(sent.host, arrival.at)

    def _came_again_to_end_back_ends(self) -> list[BrokenPromise]:
        """Check that a request which ends back ends is not sent to one again and again."""
        broken = []
        for target in {one.target for one in self.ended}:
            again = self.requests_after_three_ends(target)
            if len(again) > TRIES_ALLOWED:
                what = f"{target} was sent {len(again)} times more after it was known"
                broken.append(BrokenPromise("ended back ends", what))
        return broken

    def _keys_passed_on(self) -> list[BrokenPromise]:
        """Check that no client's key reaches a back end."""
        return [
            BrokenPromise("keys", f"{arrival.request_id} reached {arrival.backend_id} with its key")
            for arrival in self.arrivals
            if arrival.credentials
        ]

    def _ran_without_key(self) -> list[BrokenPromise]:
        """Check that what ran for a tenant was asked for with a key that it had."""
        if not self.keys:
            return []
        broken = []
        for arrival in self.arrivals:
            sent = self.sent.get(arrival.request_id)
            if arrival.ran and sent is not None and not self._allowed(arrival, sent):
                what = f"{arrival.request_id} ran for {arrival.tenant or 'nobody'}"
                broken.append(BrokenPromise("keys", what))
        return broken

    def _allowed(self, arrival: Arrival, sent: SentRequest) -> bool:
        """Tell whether a request's key was its tenant's, or had been a short while before."""
        late_s = self.revocation_s if self.revocation_s is not None else float("inf")
        return any(
            held.tenant == arrival.tenant
            and held.since <= arrival.at
            and sent.at <= held.until + late_s
            for held in self.keys.get(sent.key, [])
        )

    def most_in_window(self, tenant: str, window_s: float) -> int:
        """Return how many requests of a tenant ran that were sent within the fullest window."""
        ran = {one.request_id for one in self.arrivals if one.ran and one.tenant == tenant}
        deadlines = sorted(self.sent[request_id].at for request_id in ran)
        first = 0
        most = 0
        for last, at in enumerate(deadlines):
            while deadlines[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _in_evacuated_zones(self, evacuation_s: float) -> list[BrokenPromise]:
        """Check that nothing reaches a zone from a while after it was evacuated."""
        return [
            BrokenPromise("evacuation", f"{arrival.request_id} reached {arrival.backend_id}")
            for arrival in self.arrivals
            for evacuated in self.evacuations
            if self.zones[arrival.backend_id] == evacuated.zone
            and evacuated.since + evacuation_s < arrival.at < evacuated.until
        ]

    def most_in_a_second(self, span: ColdSpan) -> int:
        """Return how many requests reached a back end in the fullest second of a span."""
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

    def _too_many_back_ends(self) -> list[BrokenPromise]:
        """Check that no request ran on more of one service's back ends than its route allows."""
        ran_on: dict[tuple[str, str], set[str]] = {}
        for arrival in self.arrivals:
            if arrival.ran:
                key = (arrival.request_id, arrival.service)
                ran_on.setdefault(key, set()).add(arrival.backend_id)
        return [
            BrokenPromise("attempts", f"{request_id} ran on {len(used)} of {service}")
            for (request_id, service), used in ran_on.items()
            if len(used) > ROUTE_ATTEMPTS
        ]

    def _mixed(self) -> list[BrokenPromise]:
        """Check every success against what back ends signed."""
        broken = []
        for result in self.results:
            if 200 <= result.status < 300:
                problem = self._success_problem(result)
                if problem:
                    broken.append(
                        BrokenPromise("own answer only", f"{result.request_id}: {problem}")
                    )
        return broken

    def _success_problem(self, result: ClientResult) -> str:
        """Return what is wrong with one success."""
        if result.top_records:
            return self._merged_problem(result)
        answer = self.issued.get(result.headers.get("tinrudder-server-stamp", ""))
        if answer is None or answer.request_id != result.request_id:
            return "no signature for this request"
        return "" if answer.body == result.body else "another body than the back end's"

    def _merged_problem(self, result: ClientResult) -> str:
        """Check parts, coverage and merge of one scatter."""
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
        return "" if result.body == _greatest(parts, result.top_records) else "not the greatest"

    def _ran_twice(self) -> list[BrokenPromise]:
        """Check that what must not be repeated ran at most once."""
        unrepeatable = {result.request_id for result in self.results if not result.repeatable}
        runs = Counter(arrival.request_id for arrival in self.arrivals if arrival.ran)
        return [
            BrokenPromise("at most once", f"{request_id} ran {runs[request_id]} times")
            for request_id in unrepeatable
            if runs[request_id] > 1
        ]

    def _refused_but_ran(self) -> list[BrokenPromise]:
        """Check that what was refused as not run did not run."""
        ran = {arrival.request_id for arrival in self.arrivals if arrival.ran}
        return [
            BrokenPromise("not run", f"{result.request_id} got {result.status} and ran")
            for result in self.results
            if not result.repeatable and result.status in (408, 421, 429, 503)
            if result.request_id in ran
        ]

    def _over_budget(self, ratio: float, extra: float, window_s: float) -> list[BrokenPromise]:
        """Check repeats of each service in every sliding window, over all gateways."""
        broken = []
        for service, repeats in self._repeats().items():
            requests = sorted(self._request_times(service))
            for index, end in enumerate(repeats):
                spent = sum(1 for at in repeats[: index + 1] if at > end - window_s)
                counted = sum(1 for at in requests if end - 2 * window_s < at <= end)
                if spent > ratio * counted + extra:
                    what = f"{service}: {spent} repeats in the {window_s} s before {end:.2f}"
                    broken.append(BrokenPromise("repeat budget", what))
                    break
        return broken

    def _repeats(self) -> dict[str, list[float]]:
        """Return for each service when arrivals beyond the first of each request came."""
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

    def known_at(self, written_at: float) -> float:
        """Return from when gateways must know of what was written to the store at a moment."""
        ends = [one.until for one in self.store_outages if one.since <= written_at < one.until]
        return max([written_at, *ends])

    def _after_leaving(self, drain_s: float) -> list[BrokenPromise]:
        """Check that nothing reaches a back end long after it said that it leaves.

        What it said while no gateway could hear the store counts from the end of that.  A gateway
        that has just started learns only then that it leaves, and from when on it cannot tell;
        those that were disturbed lately are left out, as the users' rule leaves them out.
        """
        known_at = {name: self.known_at(at) for name, at in self.leaving_at.items()}
        return [
            BrokenPromise("leaving", f"{arrival.request_id} reached {arrival.backend_id}")
            for arrival in self.arrivals
            if arrival.ran and arrival.at > known_at.get(arrival.life, float("inf")) + drain_s
            if not self._was_disturbed(arrival)
        ]

    def unreadable_now(self) -> set[str]:
        """Return the back ends whose entries cannot be read."""
        return {span.backend_id for span in self.unreadable if span.until == float("inf")}

    def note_readable(self, backend_id: str, now: float) -> None:
        """Note that a back end's entry is good again, or gone."""
        for span in self.unreadable:
            if span.backend_id == backend_id:
                span.until = min(span.until, now)

    def _while_unreadable(self, drain_s: float) -> list[BrokenPromise]:
        """Check that nothing reaches a back end long after its entry became unreadable.

        Gateways have as long to learn of it as of a back end that leaves.
        """
        return [
            BrokenPromise("unreadable", f"{arrival.request_id} reached {arrival.backend_id}")
            for arrival in self.arrivals
            for span in self.unreadable
            if arrival.ran and arrival.backend_id == span.backend_id
            if self.known_at(span.since) + drain_s < arrival.at < span.until
            if not self._was_disturbed(arrival)
        ]


def _greatest(parts: list[IssuedAnswer], count: int) -> bytes:
    """Merge the plain way: sort everything."""
    records = []
    for part in parts:
        for start in range(0, len(part.body) - RECORD_BYTES + 1, RECORD_BYTES):
            records.append(part.body[start : start + RECORD_BYTES])
    return b"".join(sorted(records, reverse=True)[:count])
