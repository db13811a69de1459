"""Computes the rows that an answer must have, from the data generator alone."""

from __future__ import annotations

from functools import cache

from tinrudder_lab.datasets import DataRow, generate_shard


@cache
def shard_rows(index: str, version: int, shard: str) -> tuple[DataRow, ...]:
    """Return all rows of a shard, in the generator's order."""
    dataset = index.rsplit(".", maxsplit=1)[-1]
    return tuple(stored.row for stored in generate_shard(dataset, index, version, shard))


@cache
def _matching(
    index: str, version: int, shard: str, match: tuple[tuple[str, str], ...]
) -> tuple[DataRow, ...]:
    rows = shard_rows(index, version, shard)
    return tuple(row for row in rows if all(str(getattr(row, f)) == value for f, value in match))


def expected_rows(
    index: str,
    version: int,
    shards: tuple[str, ...],
    match: dict[str, str],
    after: tuple[float, str] | None,
    limit: int,
) -> tuple[DataRow, ...]:
    """Return the expected page of rows over exactly these shards."""
    wanted = tuple(sorted(match.items()))
    rows = [row for shard in shards for row in _matching(index, version, shard, wanted)]
    if after is not None:
        rows = [row for row in rows if (row.time, row.row_id) > after]
    rows.sort(key=lambda row: (row.time, row.row_id))
    return tuple(rows[:limit])
