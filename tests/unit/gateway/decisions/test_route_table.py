"""The route with the longest matching prefix is found."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.placement.route_table import RouteTable


@dataclass(frozen=True)
class Path:
    host: str
    path_prefix: str


SEGMENTS = st.lists(st.sampled_from(["a", "b", "c"]), max_size=3)


def prefix_of(segments: list[str]) -> str:
    return "/" + "".join(f"{segment}/" for segment in segments)


@given(
    prefixes=st.lists(SEGMENTS, max_size=8),
    path=SEGMENTS,
    rest=st.sampled_from(["", "x", "a"]),
)
def test_the_longest_prefix_that_begins_the_path_wins(
    prefixes: list[list[str]], path: list[str], rest: str
) -> None:
    routes = [Path("h", prefix_of(segments)) for segments in prefixes]
    target = prefix_of(path) + rest
    matching = [route for route in routes if target.startswith(route.path_prefix)]
    expected = max(matching, key=lambda route: len(route.path_prefix), default=None)
    assert RouteTable(routes).find("h", target) == expected
    assert RouteTable(routes).find("other", target) is None
