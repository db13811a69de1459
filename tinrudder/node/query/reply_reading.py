"""What a back end's reply means for the shard that was asked.

Pure; the one table from replies to reasons in a coverage.
"""

from __future__ import annotations

from collections.abc import Sequence

from tinrudder.node.backends.messages import BackendReply, Broken, NotSent, ShardRows, VersionGone
from tinrudder.node.outcomes import MissingReason


def rows_of(shards: Sequence[ShardRows], wanted: str) -> ShardRows | None:
    """Return the rows of the shard that was asked."""
    for rows in shards:
        if rows.shard == wanted:
            return rows
    return None


def reason_of(reply: BackendReply) -> MissingReason:
    """Turn a failed call into the reason stated in the coverage."""
    if isinstance(reply, VersionGone):
        return MissingReason.VERSION_GONE
    if isinstance(reply, NotSent | Broken):
        return MissingReason.BROKEN
    return MissingReason.REFUSED
