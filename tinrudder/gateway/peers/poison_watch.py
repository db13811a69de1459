"""Keeps the evidence against poison requests, and replicates it to peers.

A change is sent to every gateway at once; in a large fleet, receivers forward it.  A gateway that
missed a change, because it was partitioned, paused or not started yet, gets it within a second or
two from the periodic reports.

Owns this gateway's evidence and the send budgets of its reports; relies on the rule for poison
requests to assess, and on the calls to report lost back ends.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable
from zlib import crc32

from tinrudder.common.address import Address
from tinrudder.common.logs import LogValue, log_event
from tinrudder.gateway.decisions.admission.crash_evidence import (
    MAX_CRASHES_PER_KIND,
    NEVER,
    Crash,
    Evidence,
)
from tinrudder.gateway.decisions.admission.poison_requests import (
    PoisonRequests,
    RequestStanding,
    Standing,
)
from tinrudder.gateway.decisions.fleet.send_budget import SendBudget
from tinrudder.gateway.model.configuration import HeaderNames, Route
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import NotRun
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import PoisonReport, ReportedCrash, ReportedEvidence
from tinrudder.gateway.runs.request_fingerprint import fingerprint_of, origin_of

BATCH_DELAY_S = 0.05
"""Seconds for which a change is held back unless a trial has failed: when a rack or all connections
are lost, other back ends answer most requests within this time, and these need no report."""
DIRECT_RECEIVERS = 64
"""Number of peers to which a gateway sends its own changes: 11 KB of datagrams at once."""
FORWARD_RECEIVERS = 8
"""Number of peers to which each receiver forwards a change that is new to it: it reaches 730
gateways in three hops, and each of them sends 1.4 KB."""
REPEAT_INTERVAL_S = 1.0
"""Maximum seconds between two repeats of some evidence to some peers, for those that missed it."""
MAX_EVIDENCE_PER_REPORT = 6
"""Maximum items of evidence in one datagram: each has 200 bytes at most, and 1,200 bytes pass every
network without fragmentation."""
BURST_DATAGRAMS = 192
"""Burst of report datagrams that one gateway may send: three changes to all ``DIRECT_RECEIVERS``
peers.  Answers to peers that request all evidence have a budget of the same size."""
DATAGRAMS_PER_S = 24.0
"""Report datagrams per second that one gateway may send after the burst: 5 KB/s at 200 bytes each,
a negligible load for a weak machine with a link of 7 Mbit/s.  The repeated reports make up for
those that exceed the budget."""
SYNC_REQUEST_INTERVAL_S = 0.2
"""Seconds between two requests for all evidence by a process that has just started."""
MAX_SYNC_REQUESTS = 10
"""Maximum number of requests for all evidence after a start: seeds that start at the same time have
no evidence either, and need up to 2 s to listen."""
PAUSE_DETECTED_S = 0.5
"""Seconds by which a timer must be late for the process to assume that it was paused and missed
reports; it then requests all evidence."""


class PoisonWatch:
    """Judges requests before they are run, and records crashes of back ends that ran them.

    :ivar requests: the evidence.
    :ivar refused: number of requests refused because they were barred.
    :ivar unsent: number of datagrams that were not sent because a send budget was used up.
    """

    def __init__(
        self,
        peers: PeerList,
        datagrams: PeerDatagrams,
        clock: Callable[[], float],
        names: HeaderNames,
        random_source: random.Random,
        starts_known_at: Callable[[], float] = lambda: math.inf,
    ) -> None:
        """Replicate evidence to ``peers``.

        :param starts_known_at: returns the time up to which all entries of back ends are known.
        """
        self.requests = PoisonRequests()
        self.refused = 0
        self.unsent = 0
        self._budget = SendBudget(BURST_DATAGRAMS, DATAGRAMS_PER_S)
        # All evidence takes up to 171 datagrams: a request for it must not delay new changes.
        self._answer_budget = SendBudget(BURST_DATAGRAMS, DATAGRAMS_PER_S)
        self._peers = peers
        self._datagrams = datagrams
        self._clock = clock
        self._starts_known_at = starts_known_at
        self._names = names
        self._random = random_source
        self._pending: set[bytes] = set()
        self._to_forward: set[bytes] = set()
        # Requests that have not been reported to or by any other gateway.
        self._unreported: set[bytes] = set()
        self._send_timer: asyncio.TimerHandle | None = None
        # While this is false, empty evidence here does not mean that peers have none.
        self._is_synced = False
        datagrams.handle(PoisonReport, self._on_report)

    @property
    def has_no_evidence(self) -> bool:
        """Return whether there is no evidence, so that no request needs to be judged."""
        return self.requests.is_empty

    def barred(self) -> int:
        """Return the number of different requests that are barred now."""
        return self.requests.barred(self._clock())

    def alerts(self) -> int:
        """Return the number of routes and callers whose requests all start as canaries now."""
        return self.requests.alerts(self._clock())

    def assess(self, fingerprint: bytes, origin: bytes) -> RequestStanding:
        """Return whether a request may run now, and under which restrictions."""
        return self.requests.assess(fingerprint, origin, self._clock())

    def refusal(self, route: Route, request: HttpRequest) -> NotRun | None:
        """Return the refusal of a barred request; ``None`` if the request may run.

        The client may retry once the next trial is allowed; until then no gateway runs the request.
        """
        if self.has_no_evidence:
            return None
        fingerprint = fingerprint_of(request, self._names)
        assessment = self.assess(fingerprint, origin_of(route.name, request, self._names))
        if assessment.standing is not Standing.BARRED:
            return None
        self.refused += 1
        detail = f"poison: back ends crashed under this request ({fingerprint.hex()})"
        return NotRun(detail, assessment.barred_s)

    def note_crash(
        self, fingerprint: bytes, origin: bytes, incarnation_id: str, *, trial: bool
    ) -> None:
        """Record a back end that was lost while it ran a request.

        :param incarnation_id: identifies the instance of the back end by its start.
        """
        now = self._clock()
        backend = crc32(incarnation_id.encode())
        if self.requests.find(fingerprint) is None:
            self._unreported.add(fingerprint)
        evidence = self.requests.note_crash(fingerprint, origin, backend, now, trial=trial)
        if evidence.barred_until > now:
            fields: dict[str, LogValue] = {
                "fingerprint": fingerprint.hex(),
                "backend": incarnation_id,
                "crashes": len(evidence.counted_crashes),
                "failed_trials": evidence.failed_trials,
                "barred_s": round(evidence.barred_until - now, 3),
            }
            log_event("request_barred", fields)
        self._pending.add(fingerprint)
        if trial:
            # Sent before the answer: the client may retry at another gateway a moment later.
            self._send_changes()
        else:
            self._schedule_send(BATCH_DELAY_S)

    def note_answer(self, fingerprint: bytes) -> None:
        """Clear a request that a back end answered."""
        if not self.requests.note_answer(fingerprint, self._clock()):
            return
        log_event("request_cleared", {"fingerprint": fingerprint.hex()})
        self._report_dropped(fingerprint)

    def withdraw_crash(self, fingerprint: bytes, incarnation_id: str) -> None:
        """Drop a crash from the evidence against a request: the back end did not crash."""
        if not self.requests.withdraw_crash(fingerprint, crc32(incarnation_id.encode())):
            return
        log_event(
            "back_end_survived", {"fingerprint": fingerprint.hex(), "backend": incarnation_id}
        )
        self._report_dropped(fingerprint)

    def note_alive(self, incarnation_id: str, sent_at: float) -> None:
        """Drop a back end's crash from the requests for which its answer disproves the crash.

        :param sent_at: when the call was sent that the back end has answered.
        """
        known_at = self._starts_known_at()
        for fingerprint in self.requests.requests_cleared_by(
            crc32(incarnation_id.encode()), sent_at, known_at
        ):
            self.withdraw_crash(fingerprint, incarnation_id)

    def _report_dropped(self, fingerprint: bytes) -> None:
        """Report dropped evidence to peers, unless the request was never reported to them."""
        evidence = self.requests.find(fingerprint)
        if fingerprint not in self._unreported:
            self._pending.add(fingerprint)
            self._send_changes()
        elif evidence is not None and not evidence.counted_crashes:
            self._pending.discard(fingerprint)

    def begin_trial(self, fingerprint: bytes) -> None:
        """Announce a trial that begins here, so that no other gateway begins one."""
        if self.requests.begin_trial(fingerprint, self._clock()):
            log_event("request_on_trial", {"fingerprint": fingerprint.hex()})
            self._pending.add(fingerprint)
            self._send_changes()

    async def run(self) -> None:
        """Request all evidence from peers, then repeat the own evidence until cancelled."""
        for _ in range(MAX_SYNC_REQUESTS):
            if self._is_synced:
                break
            self._request_all()
            await asyncio.sleep(SYNC_REQUEST_INTERVAL_S)
        # If the whole fleet started together, no peer has evidence: answer with empty reports.
        self._is_synced = True
        while True:
            due_at = self._clock() + REPEAT_INTERVAL_S
            await asyncio.sleep(REPEAT_INTERVAL_S * self._random.uniform(0.8, 1.0))
            if self._clock() - due_at >= PAUSE_DETECTED_S:
                self._request_all()
            self.requests.evict_expired(self._clock())
            self._unreported = {
                one for one in self._unreported if self.requests.find(one) is not None
            }
            self._repeat()

    def _request_all(self) -> None:
        """Request all evidence from some peers."""
        peers = self._peers.receivers(self._clock())
        self._datagrams.send(PoisonReport(asks=True), *peers)

    def _repeat(self) -> None:
        """Send a random sample of the evidence to some peers again."""
        known = self.requests.all()
        if not known:
            return
        sampled = self._random.sample(known, min(MAX_EVIDENCE_PER_REPORT, len(known)))
        peers = self._peers.receivers(self._clock())
        self._send([one for one, _ in sampled], peers, self._budget)

    def _schedule_send(self, seconds: float) -> None:
        """Schedule the pending changes to be sent together within ``seconds``."""
        loop = asyncio.get_running_loop()
        due_at = loop.time() + seconds
        if self._send_timer is not None:
            if self._send_timer.when() <= due_at:
                return
            self._send_timer.cancel()
        self._send_timer = loop.call_at(due_at, self._send_changes)

    def _send_changes(self) -> None:
        """Send own changes to all peers, and forward changes of others to some."""
        if self._send_timer is not None:
            self._send_timer.cancel()
            self._send_timer = None
        changes, self._pending = self._pending, set()
        forwarded, self._to_forward = self._to_forward - changes, set()
        now = self._clock()
        self._send(changes, self._peers.sample_counted(now, DIRECT_RECEIVERS), self._budget)
        if forwarded:
            self._send(forwarded, self._peers.sample_counted(now, FORWARD_RECEIVERS), self._budget)

    def _send(
        self, fingerprints: Iterable[bytes], peers: list[Address], budget: SendBudget
    ) -> None:
        """Send evidence in as many reports as needed, within the budget."""
        found = ((one, self.requests.find(one)) for one in fingerprints)
        reported = [
            self._reported(one, evidence) for one, evidence in found if evidence is not None
        ]
        self._unreported.difference_update(one.fingerprint for one in reported)
        for first in range(0, len(reported), MAX_EVIDENCE_PER_REPORT):
            allowed = budget.take(len(peers), self._clock())
            self.unsent += len(peers) - allowed
            report = PoisonReport(tuple(reported[first : first + MAX_EVIDENCE_PER_REPORT]))
            self._datagrams.send(report, *peers[:allowed])

    def _on_report(self, report: PoisonReport, sender: Address) -> None:
        """Merge the evidence of a report, or answer a request for all evidence."""
        if report.asks:
            self._send_all(sender)
            return
        self._is_synced = True
        for reported in report.evidence:
            self._merge_reported(reported)
        if self._to_forward:
            self._send_changes()

    def _merge_reported(self, reported: ReportedEvidence) -> None:
        """Merge a peer's evidence about a request; forward it if it changes the assessment here."""
        now = self._clock()
        evidence = _evidence_of(reported, now)
        if not self.requests.should_accept(reported.fingerprint, evidence, now):
            return
        self._unreported.discard(reported.fingerprint)
        before = self.requests.assess(reported.fingerprint, reported.origin, now)
        self.requests.merge(reported.fingerprint, evidence)
        after = self.requests.assess(reported.fingerprint, reported.origin, now)
        if after.standing is not before.standing and self._peers.known_count > DIRECT_RECEIVERS:
            self._to_forward.add(reported.fingerprint)

    def _send_all(self, peer: Address) -> None:
        """Send all evidence to one peer, or an empty report if there is none."""
        if len(self.requests):
            known = [one for one, _ in self.requests.all()]
            self._send(known, [peer], self._answer_budget)
        elif self._is_synced:
            self._datagrams.send(PoisonReport(), peer)

    def _reported(self, fingerprint: bytes, evidence: Evidence) -> ReportedEvidence:
        """Return evidence for a report, with ages instead of times, since clocks may differ."""
        now = self._clock()
        crashes = tuple(
            ReportedCrash(one.backend, now - one.at, one.trial, one.survived)
            for one in evidence.crashes
        )
        return ReportedEvidence(
            fingerprint,
            evidence.origin,
            crashes,
            evidence.cleared,
            _age(now, evidence.cleared_at),
            _age(now, evidence.trial_at),
        )


def _age(now: float, time: float) -> float | None:
    return None if time == NEVER else now - time


def _time_of(now: float, age_s: float | None) -> float:
    return NEVER if age_s is None else now - age_s


def _evidence_of(reported: ReportedEvidence, now: float) -> Evidence:
    """Return reported evidence with ages converted to times of the local clock."""
    crashes = reported.crashes[: 2 * MAX_CRASHES_PER_KIND]
    return Evidence(
        reported.origin,
        tuple(Crash(one.backend, now - one.age_s, one.trial, one.survived) for one in crashes),
        reported.cleared,
        _time_of(now, reported.cleared_age_s),
        _time_of(now, reported.trial_age_s),
    )
