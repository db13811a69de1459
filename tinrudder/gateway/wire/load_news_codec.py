"""Encodes and decodes reports of long queues.

Owns the encoding of load news; relies on the generated protobuf classes.
"""

from __future__ import annotations

from tinrudder.gateway.decisions.fleet.load_news import ReportedLoad
from tinrudder.gateway.peers.peer_messages import LoadNews
from tinrudder.gateway.wire import peer_datagram_pb2 as pb
from tinrudder.gateway.wire.snapshot_codec import MILLISECONDS, milliseconds_above

PERCENT = 100.0
"""Percent per whole: slowdowns are sent in percent."""
LARGEST = 2**32 - 1
"""Largest value of a field; larger ones are clamped, since no receiver would believe them."""


def load_news_message(news: LoadNews) -> pb.LoadNews:
    """Return load news as a protobuf message."""
    return pb.LoadNews(loads=[_load_message(told) for told in news.loads])


def load_news_of_message(message: pb.LoadNews) -> LoadNews:
    """Decode a protobuf message with load news."""
    return LoadNews(tuple(_load_of(load) for load in message.loads))


def _load_message(told: ReportedLoad) -> pb.ToldLoad:
    return pb.ToldLoad(
        backend=told.backend,
        calls=min(LARGEST, told.calls),
        slots=min(LARGEST, told.slots),
        slowdown_percent=min(LARGEST, round(told.slowdown * PERCENT)),
        age_ms=min(LARGEST, milliseconds_above(told.age_s)),
        shed=told.shed,
        work_ms=min(LARGEST, round(told.work_s * MILLISECONDS)),
    )


def _load_of(message: pb.ToldLoad) -> ReportedLoad:
    return ReportedLoad(
        message.backend,
        message.calls,
        message.slots,
        message.slowdown_percent / PERCENT,
        message.age_ms / MILLISECONDS,
        message.shed,
        message.work_ms / MILLISECONDS,
    )
