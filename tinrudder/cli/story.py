"""``tinrudder story``: summarize one request from a gateway's log."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from tinrudder.cli.exit_codes import ExitCode

CONTEXT_PERIOD_S = 10.0
"""Period in seconds before a request's log line in which other events of its gateway are shown."""
STANDARD_INPUT = "-"
REQUEST_EVENT = "request"
COORDINATED_EVENT = "coordinated"
COORDINATOR_FAILED_EVENT = "coordinator_failed"
REQUEST_EVENTS = frozenset((REQUEST_EVENT, COORDINATED_EVENT, COORDINATOR_FAILED_EVENT))
CALL_LOST_EVENT = "call_lost"
BARRED_EVENT = "request_barred"
CLEARED_EVENT = "request_cleared"
POISON_EVENTS = frozenset((CALL_LOST_EVENT, BARRED_EVENT, CLEARED_EVENT, "request_on_trial"))
ZONE_PATH_EVENT = "zone_path"
CONFIGURATION_EVENT = "configuration_in_force"
RESTORED_EVENT = "store_restored"
OVERLOAD_DETAIL = "overload: place"
QUOTA_EVENTS = frozenset(("quota_pressed", "quota_home_silent"))
MEANINGS = {
    "Merged": "answered from the shards that had responded",
    "Relayed": "a back end's own response was forwarded",
    "NotRun": "refused: no back end ran the request, and none will",
    "Unconfirmed": "refused: no back end ran the request; a newer configuration may know its key",
    "OverQuota": "refused: the tenant exceeded its rate limit; no back end ran the request",
    "Unauthorized": "refused, and a retry will not help: no tenant has this API key",
    "UnknownRoute": "no route of the configuration in force matched the host and path",
    "Invalid": "the request violates the protocol",
    "NoAnswer": "a back end may have run the request, but every call failed",
    "TimedOut": "a back end may have run the request, but no usable response arrived in time",
    "client_left": "the client closed its connection before the response",
}


class LogLine(msgspec.Struct):
    """The fields of a log line that the summary uses."""

    time: float
    node: str = ""
    event: str = ""
    request: str = ""
    route: str = ""
    version: int = 0
    epoch: int = 0
    revision: int = 0
    shown: int = 0
    known: int = 0
    kept: int = 0
    outcome: str = ""
    status: int = 0
    elapsed_ms: float = 0.0
    repeats: int = 0
    included: int | None = None
    missing: int | None = None
    missing_shards: str = ""
    reasons: str = ""
    detail: str = ""
    target: str = ""
    topic: str = ""
    peer: str = ""
    result: str = ""
    count: int = 0
    coordinator: str = ""
    tenant: str = ""
    zone: str = ""
    state: str = ""
    heard_share: float = 1.0
    repeated: bool = False
    fingerprint: str = ""
    service: str = ""
    backend: str = ""
    crashes: int = 0
    failed_trials: int = 0
    barred_s: float = 0.0
    source: str = ""
    reason: str = ""
    unconfirmed_s: float | None = None


_decoder = msgspec.json.Decoder(LogLine)


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Register the subcommand."""
    parser = subparsers.add_parser("story", help="summarize one request from a gateway's log")
    parser.add_argument("log", help=f"a gateway's log; {STANDARD_INPUT} for standard input")
    parser.add_argument("request", help="the request's id")
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Print the summary of one request."""
    try:
        text = _read(arguments.log)
    except OSError as error:
        print(f"tinrudder story: {arguments.log}: {error.strerror}", file=sys.stderr)
        return ExitCode.USAGE
    lines = list(read_log(text.splitlines()))
    story = summarize_request(lines, arguments.request)
    if not story:
        print(f"tinrudder story: no line about request {arguments.request}", file=sys.stderr)
        return ExitCode.NOT_FOUND
    print("\n".join(story))
    return ExitCode.OK


def read_log(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines with a gateway's JSON log record, ignoring any prefix before the object."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            yield _decoder.decode(line[start:])
        except msgspec.MsgspecError:
            continue


def summarize_request(lines: list[LogLine], request: str) -> list[str]:
    """Return the summary of one request and of preceding events; empty if it was not logged."""
    story = []
    for line in lines:
        if line.request != request:
            continue
        if line.event == REQUEST_EVENT:
            story.extend(_request_lines(line))
            story.extend(_version_lines(lines, line))
            story.extend(_poison_lines(lines, line))
            story.extend(_context_lines(lines, line))
        elif line.event == COORDINATED_EVENT:
            story.extend(_coordinated_lines(line))
        elif line.event == CALL_LOST_EVENT:
            story.append(_lost_call_line(line))
        elif line.event == COORDINATOR_FAILED_EVENT:
            story.append(f"coordinator {line.coordinator} failed {line.node}: {line.detail}")
    return story


def _request_lines(line: LogLine) -> list[str]:
    """Describe the outcome of a request."""
    meaning = MEANINGS.get(line.outcome, line.outcome)
    output = [
        f"request {line.request} at {line.node}, {line.time:.3f}: {line.outcome}, "
        f"status {line.status}, after {line.elapsed_ms} ms",
        f"  meaning: {meaning}",
        f"  route: {line.route or 'none'}, configuration version {line.version}",
    ]
    if line.tenant:
        output.append(f"  tenant: {line.tenant}")
    if line.target:
        output.append(f"  target: {line.target}")
    output.extend(_coverage_lines(line))
    if line.detail:
        output.append(f"  decided by: {line.detail}")
        output.extend(_overload_lines(line))
    output.append(f"  calls beyond the first of each shard: {line.repeats}")
    return output


def _version_lines(lines: list[LogLine], request: LogLine) -> list[str]:
    """Describe the configuration version that the request used, and its revision in the store."""
    before = [entry for entry in lines if entry.node == request.node and entry.time <= request.time]
    versions = [entry for entry in before if entry.event == CONFIGURATION_EVENT]
    of_request = [entry for entry in versions if entry.version == request.version]
    if not of_request:
        return []
    since = of_request[-1]
    output = [
        f"  version {since.version} in force for {request.time - since.time:.1f} s, "
        f"from revision {since.revision} of the store's epoch {since.epoch}"
    ]
    if since.source and since.unconfirmed_s is not None:
        output.append(
            f"  told by {since.source}; the store's last word before was "
            f"{since.unconfirmed_s:g} s old (-1: none)"
        )
    for entry in before:
        if entry.event == RESTORED_EVENT and entry.time >= since.time:
            output.append(
                f"  {request.time - entry.time:.1f} s before the store came back from a copy, "
                f"{entry.topic}: epoch {entry.epoch} shows revision {entry.shown}, known was "
                f"{entry.known}, {entry.kept} keys kept"
            )
    return output


def _overload_lines(line: LogLine) -> list[str]:
    """Explain why a scatter was refused because of its expected queueing delay."""
    if not line.detail.startswith(OVERLOAD_DETAIL):
        return []
    return [
        "  meaning: none of its calls had been sent; given the scatters ahead of it in the queue",
        "    and the recent rate of freed capacity, it would have exceeded its acceptable wait",
    ]


def _lost_call_line(line: LogLine) -> str:
    """Describe a connection to a back end that was lost during a call."""
    return (
        f"call lost at {line.node}, {line.time:.3f}: back end {line.backend} of {line.service}, "
        f"{line.detail} (fingerprint {line.fingerprint})"
    )


def _poison_lines(lines: list[LogLine], request: LogLine) -> list[str]:
    """Describe the lost calls and quarantine events of a request refused as poison."""
    output = []
    for line in lines:
        if line.event not in POISON_EVENTS or not line.fingerprint:
            continue
        if line.fingerprint not in request.detail:
            continue
        if line.event == CALL_LOST_EVENT:
            output.append(f"  {_lost_call_line(line)}, request {line.request}")
        elif line.event == BARRED_EVENT:
            output.append(
                f"  barred at {line.node}, {line.time:.3f}, for {line.barred_s:g} s: back end "
                f"{line.backend} was lost in a trial; failed trials so far: {line.failed_trials}"
            )
        else:
            output.append(f"  {line.event} at {line.node}, {line.time:.3f}")
    return output


def _coordinated_lines(line: LogLine) -> list[str]:
    """Describe a coordinator's run of a scatter that another gateway delegated to it."""
    repeat_note = ", another coordinator may have begun before" if line.repeated else ""
    return [
        f"coordinated by {line.node}, {line.time:.3f}: {line.outcome}, "
        f"after {line.elapsed_ms} ms{repeat_note}",
        *_coverage_lines(line),
    ]


def _coverage_lines(line: LogLine) -> list[str]:
    """Describe which shards responded, and why others did not."""
    output = []
    if line.included is not None:
        output.append(f"  coverage: {line.included} shards in, {line.missing or 0} missing")
    if line.missing_shards:
        output.append(f"  without an answer: {line.missing_shards}")
    if line.reasons:
        output.append(f"  reasons: {line.reasons}")
    return output


def _context_lines(lines: list[LogLine], request: LogLine) -> list[str]:
    """Describe the gateway's other events in the seconds before the request ended."""
    output = []
    for line in lines:
        age = request.time - line.time
        about_requests = line.event in REQUEST_EVENTS or line.event in POISON_EVENTS
        if line.node == request.node and not about_requests and 0 <= age <= CONTEXT_PERIOD_S:
            details = " ".join(detail for detail in _event_details(line) if detail)
            version = f"version {line.version}" if line.version else ""
            output.append(f"  {age:.1f} s before: {line.event} {details} {version}".rstrip())
    return output


def _event_details(line: LogLine) -> list[str]:
    """Return the fields that describe an event, the most specific first."""
    if line.event == ZONE_PATH_EVENT:
        return [line.zone, line.state, f"heard share {line.heard_share:g}"]
    if line.event in QUOTA_EVENTS:
        return [line.tenant, line.detail]
    return [line.topic, line.reason, line.peer, line.result, line.detail]


def _read(log: str) -> str:
    """Return the text of a log file, or of standard input."""
    return sys.stdin.read() if log == STANDARD_INPUT else Path(log).read_text(errors="replace")
