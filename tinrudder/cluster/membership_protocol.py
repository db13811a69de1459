"""Membership as a state machine: takes messages and time, returns datagrams and events.

Owns one node's membership state. Failure detection follows SWIM with Lifeguard's local health and
dynamic suspicion timeouts; updates are piggybacked on every datagram; anti-entropy compares digests
periodically. Time and randomness are passed in.
"""

from __future__ import annotations

import random
from dataclasses import replace

from tinrudder.cluster.failure_detector import LocalHealth, Suspicions
from tinrudder.cluster.membership_events import (
    Action,
    MemberChanged,
    NewerRevisionHeard,
    ObservationHeard,
)
from tinrudder.cluster.membership_list import ListedMember, PlatformListing
from tinrudder.cluster.membership_messages import (
    Acknowledgement,
    Envelope,
    Gossip,
    MemberUpdate,
    NegativeAcknowledgement,
    ObservationKind,
    Ping,
    PingRequest,
    SyncAnswer,
    SyncRequest,
    full_update,
    same_start,
    status_update,
)
from tinrudder.cluster.membership_outbox import Outbox
from tinrudder.cluster.membership_probes import Prober
from tinrudder.cluster.membership_revisions import EnforcedRevisions
from tinrudder.cluster.membership_settings import MembershipSettings
from tinrudder.cluster.membership_sync import AntiEntropy
from tinrudder.cluster.membership_table import MembershipTable, Merged
from tinrudder.cluster.observations import Observations
from tinrudder.cluster.view import Member, MemberStatus, MemberView, build_view
from tinrudder.peers import PeerAddress

UNKNOWN_SYNC_INTERVAL_S = 0.1
"""Minimum interval between table comparisons with previously unknown nodes, seconds: otherwise
nodes that start together would all request whole tables from each other at once. With it, 730 nodes
that join within 2 s send at most 72 KB in one second each (docs/MEMBERSHIP.md)."""
REVISION_EVENT_INTERVAL_S = 0.5
"""Interval of repeated events for the same newer revision, seconds, until this node has caught
up."""
CONTACTS_WITHOUT_MEMBERS = 3
"""Listed members contacted at a time by a node that knows no other member; otherwise one."""
SYNCS_AFTER_PAUSE = 3
"""Members with which a node compares tables after a pause: its state is stale, and one of them may
have been partitioned."""
PAUSE_HEALTH_PENALTY = 2
"""Amount that a pause adds to the health score, in missed probes."""
DIRECT_RECIPIENTS = 200
"""Members that are sent a join or leave directly. With gossip alone, nodes disagreed for half a
second on the coordinator, and queries were refused (docs/MEMBERSHIP.md)."""


class MembershipProtocol:
    """The protocol of one node; public methods that take ``now`` expect monotonic seconds."""

    def __init__(
        self,
        own: Member,
        settings: MembershipSettings,
        source: random.Random,
        datagram_budget: int,
        now: float,
    ) -> None:
        """Start with a table that holds only this node."""
        self.table = MembershipTable()
        self.revisions = EnforcedRevisions(self.table)
        self.observations = Observations(own.name, own.incarnation)
        self.listing = PlatformListing(self.table)
        self.health = LocalHealth()
        self._settings = settings
        self._random = source
        self._suspicions = Suspicions(settings)
        self._outbox = Outbox(
            own, datagram_budget, settings, self.table, self.revisions, self.observations
        )
        self._sync = AntiEntropy(source, self.table, self.revisions, self._outbox)
        self._prober = Prober(settings, source, self.table, self._outbox, self.health, now)
        self._events: list[MemberChanged | NewerRevisionHeard | ObservationHeard] = []
        self._next_gossip_at = now
        self._next_sync_at = now + settings.sync_interval_s * source.random()
        self._next_contact_at = now
        self._next_unknown_sync_at = now
        self._last_revision_event = (0, now)
        self._view = MemberView()
        self._view_key = (-1, -1)
        self._stopped = False
        self._leaving_by_list = False
        self._last_gossip: dict[str, MemberUpdate] = {}
        self.table.apply(full_update(own, 0), now)

    @property
    def own(self) -> Member:
        """Return this node."""
        return self._outbox.own

    def view(self) -> MemberView:
        """Return the current view; the same object until something changes."""
        key = (self.table.version, self.listing.version)
        if key != self._view_key:
            self._view = build_view(self.table.members(), self.listing.revision)
            self._view_key = key
        return self._view

    def next_deadline(self) -> float:
        """Return when :meth:`on_time` is next due."""
        deadline = min(self._prober.next_deadline(), self._suspicions.next_deadline())
        deadline = min(deadline, self._next_sync_at, self._next_contact_at)
        if self._outbox.has_updates:
            deadline = min(deadline, self._next_gossip_at)
        return deadline

    def on_time(self, now: float) -> list[Action]:
        """Execute everything that is due."""
        self._outbox.now = now
        if now >= self._prober.next_deadline():
            for name in self._prober.on_time(now):
                self._on_probe_failed(name, now)
        for name, incarnation in self._suspicions.expired(now):
            self._apply_and_broadcast(MemberUpdate(name, incarnation, MemberStatus.DEAD), now)
        if now >= self._next_sync_at:
            self._start_sync(now)
        if now >= self._next_contact_at:
            self._contact_unanswered(now)
        if self._outbox.has_updates and now >= self._next_gossip_at:
            self._gossip(now)
        return self._take_actions()

    def on_message(self, source: PeerAddress, envelope: Envelope, now: float) -> list[Action]:
        """Process one received message."""
        self._outbox.now = now
        if envelope.sender == self.own.name and same_start(
            envelope.incarnation, self.own.incarnation
        ):
            return []
        is_sync = isinstance(envelope.body, SyncAnswer)
        for update in envelope.updates:
            self._on_update(source, envelope.sender, update, is_sync, now)
        self._on_sender(source, envelope, now)
        self._on_revisions(envelope, now)
        for observation in envelope.observations:
            if self.observations.merge(observation, now):
                self._events.append(ObservationHeard(observation))
        self._on_body(source, envelope, now)
        return self._take_actions()

    def on_pause(self, gap_s: float, now: float) -> list[Action]:
        """Recover from a pause, after which the others may hold this node dead.

        Suspicions and probes restart, since their timeouts elapsed during the pause. The
        incarnation is raised and tables are compared only if the pause was long enough for the
        others to declare this node dead. Otherwise, when a whole site stalls for a second, every
        node would announce itself and request tables needlessly, and that load could stall the site
        again.
        """
        self._outbox.now = now
        self.health.record_failure(PAUSE_HEALTH_PENALTY)
        self._suspicions.restart_all(now)
        self._prober.restart(now)
        if gap_s >= self._settings.suspicion_min_s:
            self._raise_incarnation(self.own.incarnation, now)
            for member in self._outbox.sample(self._random, SYNCS_AFTER_PAUSE):
                self._sync.send_request(member.address)
        return self._take_actions()

    def offer_list(
        self, revision: int, listed: tuple[ListedMember, ...], now: float
    ) -> list[Action]:
        """Apply the platform's list.

        A member that has changed to leaving is announced to all nodes at once: nodes read the list
        at different times, and nodes that disagree on the coordinator interfere with each other.
        """
        self._outbox.now = now
        for name in self.listing.apply_list(revision, listed):
            member = self.table.get(name)
            if name == self.own.name:
                self._leave_by_list(now)
            elif member is not None and member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT):
                self._apply_and_broadcast(status_update(member, MemberStatus.LEAVING), now)
        if self._leaving_by_list and self.listing.lists_as_live(self.own.name):
            self._leaving_by_list = False
            self._change_own(MemberStatus.ALIVE, self.own.incarnation + 1, now)
        return self._take_actions()

    def set_revision(self, revision: int, now: float) -> list[Action]:
        """Record and announce the configuration revision that this node enforces."""
        self._outbox.now = now
        if self.revisions.record(self.own.name, revision):
            self._outbox.announce_revisions()
        return self._take_actions()

    def publish(self, backend: str, kind: ObservationKind, now: float) -> list[Action]:
        """Publish this node's observation of a back end."""
        self._outbox.now = now
        self.observations.publish(backend, kind, now)
        return self._take_actions()

    def announce_joined(self, now: float) -> list[Action]:
        """Announce this node directly; called once it knows most of the others."""
        self._outbox.now = now
        self._send_directly(full_update(self.own, self.revisions.get(self.own.name)))
        return self._take_actions()

    def announce_leaving(self, now: float) -> list[Action]:
        """Announce that this node finishes its work in progress and takes no new work."""
        self._outbox.now = now
        self._leaving_by_list = False
        self._set_own(replace(self.own, status=MemberStatus.LEAVING), now)
        self._send_directly(status_update(self.own, MemberStatus.LEAVING))
        return self._take_actions()

    def stop(self, now: float) -> list[Action]:
        """Announce that this node has stopped; it no longer refutes such statements."""
        self._outbox.now = now
        self._stopped = True
        stopped = status_update(self.own, MemberStatus.DEAD)
        for member in self._outbox.sample(self._random, 2 * self._settings.gossip_fanout):
            self._outbox.send(member.address, Gossip(), (stopped,))
        return self._take_actions()

    def _on_body(self, source: PeerAddress, envelope: Envelope, now: float) -> None:
        match envelope.body:
            case Ping(sequence, target):
                if target in ("", self.own.name):
                    self._outbox.send(source, Acknowledgement(sequence))
            case PingRequest() as request:
                self._prober.on_ping_request(source, request, now)
            case Acknowledgement(sequence):
                self._prober.on_acknowledgement(sequence)
            case NegativeAcknowledgement(sequence):
                self._prober.on_negative_acknowledgement(sequence)
            case SyncRequest() as request:
                self._sync.answer(source, request)
            case Gossip() | SyncAnswer():
                pass

    def _on_update(
        self, source: PeerAddress, sender: str, update: MemberUpdate, is_sync: bool, now: float
    ) -> None:
        """Merge one received statement about a member."""
        # Decoded updates are cached, so gossip delivers the same object about ten times.
        if not is_sync and self._last_gossip.get(update.name) is update:
            return
        if update.name == self.own.name:
            self._on_update_about_self(source, update, now)
            return
        if is_sync and update.status is MemberStatus.DEAD:
            self._suspect_locally(sender, update, now)
            return
        known = self.table.get(update.name)
        merged = self.table.apply(update, now)
        if merged is not Merged.UNKNOWN_START:
            self._last_gossip[update.name] = update
        if merged is Merged.CHANGED:
            self._on_member_changed(update, known, now)
            if not is_sync:
                self._outbox.announce(update)
        elif merged is Merged.SAME and update.status is MemberStatus.SUSPECT:
            if self._suspicions.confirm(update.name, update.incarnation, update.reporter):
                self._outbox.announce(update)
        elif merged is Merged.STALE and is_sync and known is not None:
            self._send_correction(source, known)

    def _on_update_about_self(self, source: PeerAddress, update: MemberUpdate, now: float) -> None:
        """Refute a wrong statement about this node: a suspicion, a death, or one about an earlier
        start."""
        if self._stopped or update.incarnation < self.own.incarnation:
            return
        same = update.incarnation == self.own.incarnation
        if same and update.status in (self.own.status, MemberStatus.ALIVE):
            return
        if same and update.status is MemberStatus.LEAVING:
            self._leave_by_list(now)
            return
        if update.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            self.health.record_failure()
        self._raise_incarnation(update.incarnation, now)
        self._outbox.send(source, Gossip())

    def _on_sender(self, source: PeerAddress, envelope: Envelope, now: float) -> None:
        """Correct this node's and the sender's state, given that the sender is alive."""
        known = self.table.get(envelope.sender)
        if known is None or not same_start(known.incarnation, envelope.incarnation):
            self._sync_with_unknown(source, now)
            return
        if envelope.incarnation > known.incarnation:
            update = MemberUpdate(envelope.sender, envelope.incarnation, MemberStatus.ALIVE)
            self._apply_and_broadcast(update, now)
        elif known.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            self._outbox.send(
                source, Gossip(), (status_update(known, known.status, self.own.name),)
            )
        if known.status is MemberStatus.DEAD:
            self._sync_with_unknown(source, now)

    def _on_revisions(self, envelope: Envelope, now: float) -> None:
        """Merge the enforced revisions; emit an event if the sender's is newer than this node's."""
        changed = False
        sender = self.table.get(envelope.sender)
        if sender is not None and same_start(sender.incarnation, envelope.incarnation):
            changed = self.revisions.record(envelope.sender, envelope.enforced_revision)
        if envelope.enforcement is not None:
            changed = self.revisions.merge(envelope.enforcement) or changed
        if changed:
            self._outbox.announce_revisions()
        revision = envelope.enforced_revision
        if sender is None or revision <= self.revisions.get(self.own.name):
            return
        last_revision, last_event_at = self._last_revision_event
        if revision > last_revision or now >= last_event_at + REVISION_EVENT_INTERVAL_S:
            self._last_revision_event = (revision, now)
            self._events.append(NewerRevisionHeard(sender, revision))

    def _apply_and_broadcast(self, update: MemberUpdate, now: float) -> None:
        """Apply a statement made by this node and spread it if it changed the table."""
        known = self.table.get(update.name)
        if self.table.apply(update, now) is Merged.CHANGED:
            self._on_member_changed(update, known, now)
            self._outbox.announce(update)

    def _on_member_changed(self, update: MemberUpdate, known: Member | None, now: float) -> None:
        """Update the state that depends on a member's status or incarnation."""
        member = self.table.get(update.name)
        if member is None:
            return
        if member.status is MemberStatus.SUSPECT:
            nodes = len(self.table.roster)
            self._suspicions.start(member.name, member.incarnation, update.reporter, now, nodes)
        else:
            self._suspicions.drop(member.name)
        if known is None or known.status is MemberStatus.DEAD:
            self._prober.order.add(member.name)
        if known is None or not same_start(known.incarnation, member.incarnation):
            self.revisions.reset(member.name, update.enforced_revision)
        self._events.append(MemberChanged(member, known))

    def _on_probe_failed(self, name: str, now: float) -> None:
        """Suspect a member that did not answer; a leaving member is declared dead instead."""
        member = self.table.get(name)
        if member is None or member.status is MemberStatus.DEAD:
            return
        status = MemberStatus.SUSPECT
        if member.status is MemberStatus.LEAVING:
            status = MemberStatus.DEAD
        suspicion = status_update(member, status, self.own.name)
        self._apply_and_broadcast(suspicion, now)
        self._outbox.send(member.address, Gossip(), (suspicion,))

    def _suspect_locally(self, sender: str, update: MemberUpdate, now: float) -> None:
        """Suspect locally a member that another node's table holds dead, for example after a
        partition.

        Adopting the statement could declare a live member dead, so the member is only suspected by
        this node and is pinged.
        """
        known = self.table.get(update.name)
        if known is None or known.status not in (MemberStatus.ALIVE, MemberStatus.SUSPECT):
            return
        if update.incarnation < known.incarnation:
            return
        suspicion = status_update(known, MemberStatus.SUSPECT, sender)
        if self.table.apply(suspicion, now) is Merged.CHANGED:
            self._on_member_changed(suspicion, known, now)
        suspect = self.table.get(update.name)
        if suspect is not None:
            self._prober.ping(suspect)

    def _send_correction(self, source: PeerAddress, known: Member) -> None:
        """Answer an outdated statement in an anti-entropy answer with the newer local state."""
        if known.status is MemberStatus.DEAD:
            update = status_update(known, MemberStatus.DEAD)
        else:
            update = full_update(known, self.revisions.get(known.name))
        self._outbox.send(source, SyncAnswer(), (update,))

    def _leave_by_list(self, now: float) -> None:
        """Leave because the platform's list says so; unlike a planned stop, the list can reverse
        this."""
        if self.own.status is MemberStatus.ALIVE:
            self._leaving_by_list = True
            self._change_own(MemberStatus.LEAVING, self.own.incarnation, now)
            self._send_directly(status_update(self.own, MemberStatus.LEAVING))

    def _send_directly(self, update: MemberUpdate) -> None:
        """Send an update directly to most members; gossip reaches the others.

        Nodes that disagree on the coordinator block each other's slots; with gossip alone, that
        lasted several rounds.
        """
        members = self._outbox.sample(self._random, DIRECT_RECIPIENTS)
        self._outbox.send_to_all(members, update)

    def _change_own(self, status: MemberStatus, incarnation: int, now: float) -> None:
        before = self.own
        self._set_own(replace(before, status=status, incarnation=incarnation), now)
        self._events.append(MemberChanged(self.own, before))

    def _raise_incarnation(self, above: int, now: float) -> None:
        self._set_own(replace(self.own, incarnation=above + 1), now)

    def _set_own(self, own: Member, now: float) -> None:
        """Change this node's own state and spread it."""
        is_new_start = not same_start(own.incarnation, self.own.incarnation)
        self._outbox.own = own
        update = full_update(own, self.revisions.get(own.name))
        self.table.apply(update, now)
        if not is_new_start:
            update = replace(update, place=None)
        self._outbox.announce(update)

    def _sync_with_unknown(self, source: PeerAddress, now: float) -> None:
        """Compare tables with a node that was unknown or held dead."""
        if now < self._next_unknown_sync_at:
            return
        self._next_unknown_sync_at = now + UNKNOWN_SYNC_INTERVAL_S
        self._sync.send_request(source)

    def _start_sync(self, now: float) -> None:
        self._next_sync_at = now + self._settings.sync_interval_s
        for member in self._outbox.sample(self._random, 1):
            self._sync.send_request(member.address)
        for name in self.table.expired_dead(now - self._settings.dead_retention_s):
            self.table.remove(name)
            self.revisions.remove(name)
            self._last_gossip.pop(name, None)

    def _contact_unanswered(self, now: float) -> None:
        """Ping a listed or dead member: it may be up, or reachable again after a partition."""
        self._next_contact_at = now + self._settings.contact_interval_s
        candidates = self.listing.unanswered(self.own.address)
        count = CONTACTS_WITHOUT_MEMBERS if len(self.table.roster) == 1 else 1
        for address in self._random.sample(candidates, min(count, len(candidates))):
            known = self.table.at_address(address)
            updates = () if known is None else (status_update(known, known.status, self.own.name),)
            self._outbox.send(address, Ping(0), updates)

    def _gossip(self, now: float) -> None:
        """Send one round of gossip."""
        self._next_gossip_at = now + self._settings.gossip_interval_s
        for member in self._outbox.sample(self._random, self._settings.gossip_fanout):
            if self._outbox.has_updates:
                self._outbox.send(member.address, Gossip())

    def _take_actions(self) -> list[Action]:
        actions: list[Action] = [*self._events, *self._outbox.drain()]
        self._events = []
        return actions
