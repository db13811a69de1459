"""Encodes and decodes reports of requests that may be poison.

Owns the encoding of poison reports; relies on the generated protobuf classes.
"""

from __future__ import annotations

from tinrudder.gateway.peers.peer_messages import PoisonReport, ReportedCrash, ReportedEvidence
from tinrudder.gateway.runs.request_fingerprint import FINGERPRINT_BYTES
from tinrudder.gateway.wire import peer_datagram_pb2 as pb
from tinrudder.gateway.wire.snapshot_codec import MILLISECONDS_PER_S, optional_age_s

MAX_AGE_MS = 2**32 - 1
"""Largest age that fits its field, in milliseconds; larger ages are clamped to it."""


def poison_report_to_message(report: PoisonReport) -> pb.PoisonReport:
    """Return a report as a protobuf message."""
    evidence = [_evidence_to_message(reported) for reported in report.evidence]
    return pb.PoisonReport(evidence=evidence, asks=report.asks)


def poison_report_from_message(message: pb.PoisonReport) -> PoisonReport:
    """Decode the protobuf message of a report.

    :raises ValueError: a fingerprint or an origin has the wrong length.
    """
    evidence = tuple(_evidence_from_message(reported) for reported in message.evidence)
    return PoisonReport(evidence, message.asks)


def _evidence_to_message(reported: ReportedEvidence) -> pb.Evidence:
    crashes = [
        pb.Crash(
            backend=crash.backend,
            age_ms=_age_ms(crash.age_s),
            trial=crash.trial,
            survived=crash.survived,
        )
        for crash in reported.crashes
    ]
    return pb.Evidence(
        fingerprint=reported.fingerprint,
        origin=reported.origin,
        crashes=crashes,
        cleared_age_ms=_optional_age_ms(reported.cleared_age_s),
        trial_age_ms=_optional_age_ms(reported.trial_age_s),
        cleared=reported.cleared,
    )


def _evidence_from_message(message: pb.Evidence) -> ReportedEvidence:
    for name, value in (("fingerprint", message.fingerprint), ("origin", message.origin)):
        if len(value) != FINGERPRINT_BYTES:
            raise ValueError(f"poison report: {name} must have {FINGERPRINT_BYTES} bytes")
    crashes = tuple(
        ReportedCrash(crash.backend, crash.age_ms / MILLISECONDS_PER_S, crash.trial, crash.survived)
        for crash in message.crashes
    )
    return ReportedEvidence(
        message.fingerprint,
        message.origin,
        crashes,
        message.cleared,
        optional_age_s(message, "cleared_age_ms"),
        optional_age_s(message, "trial_age_ms"),
    )


def _age_ms(age_s: float) -> int:
    """Return an age in whole milliseconds, clamped to its field: older evidence has no effect."""
    return min(MAX_AGE_MS, max(0, int(age_s * MILLISECONDS_PER_S)))


def _optional_age_ms(age_s: float | None) -> int | None:
    return None if age_s is None else _age_ms(age_s)
