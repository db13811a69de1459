"""The shards of one run that other gateways ask, in groups.

Owns which groups are still held back: while it is open whether the request crashes back ends, one
at a time is asked.  Relies on :class:`DelegatedShards` for each group, which reports its end once;
the run decides what becomes of a group that got nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from tinrudder.gateway.model.outcomes import Merged
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder.gateway.scatters.delegated_shards import DelegatedShards


class DelegatedGroups:
    """Follows the groups of one run."""

    __slots__ = ("_groups", "_held", "_taken_over_may_have_run")

    def __init__(self, groups: Sequence[DelegatedShards]) -> None:
        """Hold all of them back."""
        self._groups = list(groups)
        self._held = list(groups)
        self._taken_over_may_have_run = False

    @property
    def included(self) -> int:
        """Return how many of the shards have answered."""
        return sum(group.included for group in self._groups)

    @property
    def hopeful(self) -> int:
        """Return how many of the shards may still answer."""
        return sum(group.hopeful for group in self._groups)

    @property
    def repeats(self) -> int:
        """Return how many calls other gateways sent beyond the first of each shard."""
        return sum(group.repeats for group in self._groups)

    @property
    def may_have_run(self) -> bool:
        """Tell whether other gateways may have sent the request to back ends."""
        return self._taken_over_may_have_run or any(one.may_have_run for one in self._groups)

    @property
    def parts(self) -> Iterator[Merged]:
        """Return the merged answers that are in."""
        return (group.part for group in self._groups if group.part is not None)

    @property
    def missing_shards(self) -> Iterator[MissingShard]:
        """Return the shards without an answer, and why."""
        return (one for group in self._groups for one in group.missing_shards)

    @property
    def missing_at_end(self) -> Iterator[MissingShard]:
        """Return the shards without an answer of the groups that have ended."""
        return (one for group in self._groups if not group.pending for one in group.missing_shards)

    def follow(self, on_end: Callable[[DelegatedShards], None]) -> None:
        """Report the end of each group."""
        for group in self._groups:
            group.on_end = on_end

    def start_held(self) -> None:
        """Let other gateways ask their shards."""
        held, self._held = self._held, []
        for group in held:
            group.start()

    def start_one(self) -> None:
        """Let one other gateway find out whether the request crashes what runs it.

        Nothing happens while another one still does.
        """
        waits_there = any(one.pending for one in self._groups if one not in self._held)
        if self._held and not waits_there:
            self._held.pop(0).start()

    def withhold(self) -> None:
        """Ask no other gateway any more: back ends crash under the request."""
        for group in self._held:
            group.withhold()
        self._held.clear()

    def take_over(self, group: DelegatedShards) -> None:
        """Leave a group to the run, which asks its shards from here."""
        self._groups.remove(group)
        self._taken_over_may_have_run |= group.may_have_run

    def cancel(self) -> None:
        """Tell the other gateways that nobody waits any more."""
        for group in self._groups:
            group.cancel()
