"""Determines which electorates a claim must win while member lists change.

Owns one node's history of member lists.  A claim must also win the electorates of superseded lists
until they are *sealed* for its key.  A list is sealed when two conditions held before the earliest
time at which the request can have been accepted:

* ``settle_s`` have passed since its successor was learned;
* a majority of its voters for that key either have reported a later list or have been off the
  list for ``removed_wait_s``.

docs/CLAIMS.md explains why two claims then cannot both win.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from tinrudder.cluster.claims.claims import ClaimKey, ClaimLimits
from tinrudder.cluster.claims.electorate import Electorate, Voter, VoterList, VoterRanking

MAX_UNSEALED_LISTS = 512
"""Lists, the newest included, above which claims find no quorum; bounds memory and the size of a
claim."""


@dataclass(frozen=True, slots=True)
class ListedVoter:
    """A machine on the platform's member list.

    :param leaving: excludes it from new electorates.
    """

    voter: Voter
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class KnownRevision:
    """A list revision that a voter reported, and the wall-clock time of its first report."""

    revision: int
    reported_at: float


@dataclass(slots=True)
class LearnedList:
    """A list and the wall-clock time at which its successor was learned, if there is one."""

    voters: VoterList
    superseded_at: float | None = None


class ElectorateHistory:
    """The member lists of one region that a node remembers."""

    def __init__(self, limits: ClaimLimits) -> None:
        """Start without any list."""
        self._limits = limits
        self._lists: list[LearnedList] = []
        self._ranking = VoterRanking(())
        self._known_revisions: dict[str, list[KnownRevision]] = {}
        self._removed_at: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """Return the newest known list revision, 0 before the first list."""
        return self._lists[-1].voters.revision if self._lists else 0

    @property
    def settled(self) -> bool:
        """Return whether claims can be decided: a list is known, and no more than the limit."""
        return 0 < len(self._lists) <= MAX_UNSEALED_LISTS

    def awaits_revision_reports(self, now: float) -> bool:
        """Return whether the oldest list is past ``settle_s`` but still unsealed.

        Only reports from its voters, or their removal, can then seal it.
        """
        if len(self._lists) < 2:
            return False
        superseded_at = self._lists[0].superseded_at
        return superseded_at is not None and superseded_at + self._limits.settle_s < now

    def learn(self, revision: int, members: Sequence[ListedVoter], now: float) -> bool:
        """Add a list and return ``True``; ignore it unless its revision is the newest."""
        if revision <= self.revision:
            return False
        newest = VoterList(revision, [member.voter for member in members if not member.leaving])
        if self._lists and self._lists[-1].voters.voters == newest.voters:
            self._lists[-1].voters = newest
        else:
            if self._lists:
                self._lists[-1].superseded_at = now
            self._lists.append(LearnedList(newest))
        self._update_removals({member.voter.identity for member in members}, now)
        self._forget_sealed(now)
        self._ranking = VoterRanking(
            voter for learned in self._lists for voter in learned.voters.voters
        )
        return True

    def forget_sealed(self, now: float) -> None:
        """Drop the oldest lists that are sealed for every key."""
        if len(self._lists) > 1:
            self._forget_sealed(now)

    def record_known_revision(self, identity: str, revision: int, now: float) -> None:
        """Record that a voter knows a list revision."""
        known = self._known_revisions.setdefault(identity, [])
        if not known or known[-1].revision < revision:
            known.append(KnownRevision(revision, now))

    def required(self, key: ClaimKey, valid_until: float) -> tuple[Electorate, ...]:
        """Return the electorates a claim must win, ordered from the oldest list to the newest."""
        issued_after = valid_until - self._limits.window_s - 2 * self._limits.clock_skew_s
        electorates: dict[int, Electorate] = {}
        ranked = self._ranking.ranked(key.digest)
        for learned in self._lists:
            electorate = learned.voters.electorate(ranked)
            if not self._sealed(learned, electorate, issued_after):
                electorates[electorate.fingerprint] = electorate
        return tuple(electorates.values())

    def possibly_uncited(
        self, key: ClaimKey, valid_until: float, *, same_list: bool
    ) -> tuple[Electorate, ...]:
        """Return the required electorates, or none if the proposer must have cited them all.

        :param same_list: the proposer's newest list equals ours, so it cites that list's
            electorate.  If no other list is remembered, computing the electorate is skipped;
            with many members that is most of the cost of a vote.
        """
        if same_list and len(self._lists) == 1:
            return ()
        return self.required(key, valid_until)

    def _sealed(self, learned: LearnedList, electorate: Electorate, before: float) -> bool:
        """Return whether a list is sealed for a key's requests accepted after ``before``."""
        if learned.superseded_at is None:
            return False
        if learned.superseded_at + self._limits.settle_s >= before:
            return False
        revision = learned.voters.revision
        rejecting = sum(
            self._rejects_revision(voter, revision, before) for voter in electorate.voters
        )
        return rejecting >= electorate.majority

    def _rejects_revision(self, voter: Voter, revision: int, before: float) -> bool:
        """Return whether a voter will not grant to a proposer that knows only ``revision``."""
        removed_at = self._removed_at.get(voter.identity)
        if removed_at is not None and removed_at + self._limits.removed_wait_s < before:
            return True
        known = self._known_revisions.get(voter.identity, ())
        return any(report.revision > revision and report.reported_at < before for report in known)

    def _update_removals(self, present: set[str], now: float) -> None:
        """Update since when each voter of a remembered list is missing from the newest list."""
        for identity in sorted(self._voter_identities()):
            if identity in present:
                self._removed_at.pop(identity, None)
            else:
                self._removed_at.setdefault(identity, now)

    def _forget_sealed(self, now: float) -> None:
        """Drop the oldest lists that are sealed for every key."""
        before = now - self._limits.window_s - 2 * self._limits.clock_skew_s
        while len(self._lists) > 1 and self._sealed_for_all_keys(self._lists[0], before):
            del self._lists[0]
        self._prune_records()

    def _sealed_for_all_keys(self, learned: LearnedList, before: float) -> bool:
        """Return whether a list is sealed for every key.

        Checks the worst case: an electorate with as many as possible of the voters that may still
        grant to a proposer that knows only this list.
        """
        if learned.superseded_at is None:
            return False
        if learned.superseded_at + self._limits.settle_s >= before:
            return False
        voters = learned.voters
        rejecting = sum(
            self._rejects_revision(voter, voters.revision, before) for voter in voters.voters
        )
        minority = max(0, (voters.size - 1) // 2)
        return len(voters.voters) - rejecting <= minority

    def _prune_records(self) -> None:
        """Drop records of voters and revisions that no remembered list needs."""
        named = self._voter_identities()
        oldest = self._lists[0].voters.revision
        for identity in sorted(self._known_revisions):
            kept = [
                report for report in self._known_revisions[identity] if report.revision > oldest
            ]
            if kept and identity in named:
                self._known_revisions[identity] = kept
            else:
                del self._known_revisions[identity]
        for identity in sorted(self._removed_at.keys() - named):
            del self._removed_at[identity]

    def _voter_identities(self) -> set[str]:
        """Return the identities of all voters of the remembered lists."""
        return {voter.identity for learned in self._lists for voter in learned.voters.voters}
