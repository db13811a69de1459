"""The groups of shards of one run that are delegated to other gateways.

Owns which groups have not been started yet: while the request is suspected of crashing back ends,
one group at a time is started.  Each :class:`DelegatedShards` handles one group and reports its end
once.  The run decides what to do with a group that has no answer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from tinrudder.gateway.model.outcomes import Merged
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder.gateway.scatters.delegated_shards import DelegatedShards


class DelegatedGroups:
    """The delegated groups of one run, with totals over all of them."""

    __slots__ = ("_groups", "_not_started", "_taken_over_may_have_run")

    def __init__(self, groups: Sequence[DelegatedShards]) -> None:
        """Start none of ``groups`` yet."""
        self._groups = list(groups)
        self._not_started = list(groups)
        self._taken_over_may_have_run = False

    @property
    def included(self) -> int:
        """Return how many of the shards have answered."""
        return sum(group.included for group in self._groups)

    @property
    def outstanding(self) -> int:
        """Return how many of the shards may still answer."""
        return sum(group.outstanding for group in self._groups)

    @property
    def repeats(self) -> int:
        """Return how many hedges and retries other gateways have sent."""
        return sum(group.repeats for group in self._groups)

    @property
    def may_have_run(self) -> bool:
        """Return whether other gateways may have sent the request to back ends."""
        return self._taken_over_may_have_run or any(one.may_have_run for one in self._groups)

    @property
    def parts(self) -> Iterator[Merged]:
        """Return the merged answers received so far."""
        return (group.part for group in self._groups if group.part is not None)

    @property
    def missing_shards(self) -> Iterator[MissingShard]:
        """Return the shards without an answer, with the reason."""
        return (one for group in self._groups for one in group.missing_shards)

    @property
    def missing_at_end(self) -> Iterator[MissingShard]:
        """Return the shards without an answer of the groups that have ended, with the reason."""
        return (one for group in self._groups if not group.pending for one in group.missing_shards)

    def follow(self, on_end: Callable[[DelegatedShards], None]) -> None:
        """Set the callback for the end of each group."""
        for group in self._groups:
            group.on_end = on_end

    def start_all(self) -> None:
        """Start all groups that have not been started."""
        starting, self._not_started = self._not_started, []
        for group in starting:
            group.start()

    def start_canary(self) -> None:
        """Start one group as a canary, to learn whether the request crashes back ends.

        Does nothing while a group that was started has not ended.
        """
        in_progress = any(one.pending for one in self._groups if one not in self._not_started)
        if self._not_started and not in_progress:
            self._not_started.pop(0).start()

    def cancel_unstarted(self) -> None:
        """End all groups that have not been started, since the request crashes back ends."""
        for group in self._not_started:
            group.cancel_unstarted()
        self._not_started.clear()

    def take_over(self, group: DelegatedShards) -> None:
        """Remove a group whose shards the run calls itself."""
        self._groups.remove(group)
        self._taken_over_may_have_run |= group.may_have_run

    def cancel(self) -> None:
        """Cancel the groups at the other gateways."""
        for group in self._groups:
            group.cancel()
