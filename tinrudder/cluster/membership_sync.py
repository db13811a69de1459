"""Anti-entropy: two nodes compare digests and exchange only the buckets that differ.

Owns the exchange, not the table. Repairs what gossip missed, transfers the members to a new node,
and merges both sides of a healed partition.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from tinrudder.cluster.membership_messages import MemberUpdate, SyncAnswer, SyncRequest, full_update
from tinrudder.cluster.membership_outbox import Outbox, update_size
from tinrudder.cluster.membership_revisions import EnforcedRevisions
from tinrudder.cluster.membership_table import BUCKETS, MembershipTable
from tinrudder.peers import PeerAddress

MAX_ANSWER_DATAGRAMS = 8
"""Maximum number of datagrams per answer; the rest follows with the next comparison. A whole table
is 50 KB at 730 nodes (docs/MEMBERSHIP.md)."""


class AntiEntropy:
    """Requests and answers comparisons of the membership table."""

    def __init__(
        self,
        source: random.Random,
        table: MembershipTable,
        revisions: EnforcedRevisions,
        outbox: Outbox,
    ) -> None:
        """Compare ``table``; ``source`` determines which members are sent first."""
        self._random = source
        self._table = table
        self._revisions = revisions
        self._outbox = outbox

    def send_request(self, destination: PeerAddress, *, is_return: bool = False) -> None:
        """Send this node's digests, and its own entry for receivers that do not know it."""
        own = self._outbox.own
        update = full_update(own, self._revisions.get(own.name))
        request = SyncRequest(tuple(self._table.bucket_digests), is_return)
        self._outbox.send(destination, request, (update,))

    def answer(self, source: PeerAddress, request: SyncRequest) -> None:
        """Send the members of differing buckets, and request the same in return."""
        differing = [
            bucket
            for bucket in range(BUCKETS)
            if request.digests[bucket] != self._table.bucket_digests[bucket]
        ]
        if not differing:
            return
        if not request.is_return:
            self.send_request(source, is_return=True)
        members = list(self._table.in_buckets(frozenset(differing)))
        # A large difference takes several rounds; a random start varies the part sent first.
        start = self._random.randrange(len(members)) if members else 0
        rotated = members[start:] + members[:start]
        self.send_updates(
            source, (full_update(member, self._revisions.get(member.name)) for member in rotated)
        )

    def send_updates(self, destination: PeerAddress, updates: Iterable[MemberUpdate]) -> None:
        """Send updates in at most ``MAX_ANSWER_DATAGRAMS`` answers."""
        room = full_room = self._outbox.room_for_updates(SyncAnswer())
        batch: list[MemberUpdate] = []
        sent = 0
        for update in updates:
            size = update_size(update)
            if size > room:
                self._outbox.send(destination, SyncAnswer(), tuple(batch))
                sent += 1
                batch, room = [], full_room
                if sent == MAX_ANSWER_DATAGRAMS:
                    return
            batch.append(update)
            room -= size
        if batch:
            self._outbox.send(destination, SyncAnswer(), tuple(batch))
