"""Encodes and decodes reports of long queues.

Owns the encoding of load news; relies on the generated protobuf classes.
"""

from __future__ import annotations

from tinrudder.gateway.decisions.fleet.peer_load_reports import ReportedLoad
from tinrudder.gateway.peers.peer_messages import LoadNews
from tinrudder.gateway.wire import peer_datagram_pb2 as pb
from tinrudder.gateway.wire.snapshot_codec import MILLISECONDS_PER_S, milliseconds_rounded_up

PERCENT = 100.0
"""Percent per whole: slowdowns are sent in percent."""
MAX_FIELD_VALUE = 2**32 - 1
"""Largest value of a field; larger values are clamped, and receivers ignore them as implausible."""


def load_news_to_message(news: LoadNews) -> pb.LoadNews:
    """Return load news as a protobuf message."""
    return pb.LoadNews(loads=[_load_to_message(reported) for reported in news.loads])


def load_news_from_message(message: pb.LoadNews) -> LoadNews:
    """Decode a protobuf message with load news."""
    return LoadNews(tuple(_load_from_message(load) for load in message.loads))


def _load_to_message(reported: ReportedLoad) -> pb.ToldLoad:
    return pb.ToldLoad(
        backend=reported.backend,
        calls=min(MAX_FIELD_VALUE, reported.calls),
        slots=min(MAX_FIELD_VALUE, reported.slots),
        slowdown_percent=min(MAX_FIELD_VALUE, round(reported.slowdown * PERCENT)),
        age_ms=min(MAX_FIELD_VALUE, milliseconds_rounded_up(reported.age_s)),
        shed=reported.shed,
        work_ms=min(MAX_FIELD_VALUE, round(reported.service_time_s * MILLISECONDS_PER_S)),
    )


def _load_from_message(message: pb.ToldLoad) -> ReportedLoad:
    return ReportedLoad(
        message.backend,
        message.calls,
        message.slots,
        message.slowdown_percent / PERCENT,
        message.age_ms / MILLISECONDS_PER_S,
        message.shed,
        message.work_ms / MILLISECONDS_PER_S,
    )
