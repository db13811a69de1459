"""Interprets a back end's reply for the requested shard.

Owns the mapping from replies to the reasons in a coverage; pure functions.
"""

from __future__ import annotations

from collections.abc import Sequence

from tinrudder.node.backends.messages import BackendReply, Broken, NotSent, ShardRows, VersionGone
from tinrudder.node.outcomes import MissingReason


def rows_of(shards: Sequence[ShardRows], wanted: str) -> ShardRows | None:
    """Return the rows of the shard ``wanted``, ``None`` if the reply does not contain it."""
    for rows in shards:
        if rows.shard == wanted:
            return rows
    return None


def reason_of(reply: BackendReply) -> MissingReason:
    """Return the reason that the coverage gives for a failed call."""
    if isinstance(reply, VersionGone):
        return MissingReason.VERSION_GONE
    if isinstance(reply, NotSent | Broken):
        return MissingReason.BROKEN
    return MissingReason.REFUSED
