"""Membership over a transport: the API for embedders.

Binds :class:`~tinrudder.cluster.membership_protocol.MembershipProtocol` to timers, a datagram
transport and the cluster's keys. Owns the protocol's timer and the listeners. No received datagram
makes it raise.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tinrudder.cluster.membership_events import (
    Action,
    MemberChanged,
    NewerRevisionHeard,
    ObservationHeard,
)
from tinrudder.cluster.membership_list import ListedMember
from tinrudder.cluster.membership_messages import Observation, ObservationKind
from tinrudder.cluster.membership_outbox import Send
from tinrudder.cluster.membership_protocol import MembershipProtocol
from tinrudder.cluster.membership_revisions import EnforcedRevision
from tinrudder.cluster.membership_settings import MembershipSettings
from tinrudder.cluster.observations import Hint
from tinrudder.cluster.pause_detector import PauseDetector
from tinrudder.cluster.view import Member, MemberView
from tinrudder.cluster.wire.datagram_seal import SEAL_BYTES, DatagramSeal, RefusedDatagramError
from tinrudder.cluster.wire.membership_codec import (
    MalformedDatagramError,
    decode_envelope,
    encode_envelope,
)
from tinrudder.peers import MAX_DATAGRAM_BYTES, PeerAddress, PeerTransport
from tinrudder.timers import TimerHandle, Timers, WallClock

CHANNEL_BYTES = 1
"""Bytes that the transport puts before a payload to identify the channel."""
DATAGRAM_BUDGET = MAX_DATAGRAM_BYTES - CHANNEL_BYTES - SEAL_BYTES
"""Maximum size of a message before it is sealed, bytes."""

MemberListener = Callable[[MemberChanged], None]
RevisionListener = Callable[[Member, int], None]
ObservationListener = Callable[[Observation], None]


@dataclass(slots=True)
class MembershipCounters:
    """Counts of datagrams and bytes since the start; bytes exclude UDP and IP headers.

    :param refused: received datagrams that were not sealed with one of the keys, were too old, or
        were replays.
    :param malformed: received datagrams that were sealed correctly but hold no valid message.
    """

    sent: int = 0
    sent_bytes: int = 0
    refused: int = 0
    malformed: int = 0


@dataclass(slots=True)
class _Listeners:
    members: list[MemberListener] = field(default_factory=list)
    revisions: list[RevisionListener] = field(default_factory=list)
    observations: list[ObservationListener] = field(default_factory=list)


class Membership:
    """Membership of one node.

    :param transport: carries datagrams between nodes, usually as one channel of a shared transport.
    :param own: this node; its incarnation comes from
        :func:`~tinrudder.cluster.membership_messages.first_incarnation`.
    :param keys: shared by all nodes; the first key seals, and all keys open.
    """

    def __init__(
        self,
        timers: Timers,
        wall_clock: WallClock,
        source: random.Random,
        transport: PeerTransport,
        own: Member,
        keys: Sequence[bytes],
        settings: MembershipSettings | None = None,
        pause_detector: PauseDetector | None = None,
    ) -> None:
        """Create an instance that sends nothing before :meth:`start`."""
        self.counters = MembershipCounters()
        self.pause_detector = pause_detector or PauseDetector(timers, wall_clock)
        self._timers = timers
        self._transport = transport
        self._seal = DatagramSeal(keys, source.getrandbits(64), wall_clock)
        self._protocol = MembershipProtocol(
            own, settings or MembershipSettings(), source, DATAGRAM_BUDGET, timers.time()
        )
        self._listeners = _Listeners()
        self._timer: TimerHandle | None = None
        self._timer_at = 0.0
        self._running = False
        self.pause_detector.subscribe(self._on_pause)

    def start(self, seeds: Sequence[PeerAddress] = ()) -> None:
        """Start; ``seeds`` are contacted like listed members, with or without a list."""
        self._running = True
        self._transport.listen(self._on_datagram, _refuse_request)
        self.pause_detector.start()
        self._protocol.listing.add_seeds(tuple(seeds))
        self._schedule_timer()

    def stop(self) -> None:
        """Announce that this node has stopped, and stop."""
        if not self._running:
            return
        self._execute(self._protocol.stop(self._timers.time()))
        self._running = False
        self.pause_detector.stop()
        if self._timer is not None:
            self._timer.cancel()

    def announce_joined(self) -> None:
        """Announce this node to the others; call it once most of them are known."""
        self._execute(self._protocol.announce_joined(self._timers.time()))

    def announce_leaving(self) -> None:
        """Announce that this node is leaving and takes no new work."""
        self._execute(self._protocol.announce_leaving(self._timers.time()))

    def view(self) -> MemberView:
        """Return the current view, an immutable object that every change replaces."""
        return self._protocol.view()

    def live_count(self) -> int:
        """Return the number of members that are not dead, this node included."""
        return len(self._protocol.table.roster)

    def own(self) -> Member:
        """Return this node, with its current incarnation and status."""
        return self._protocol.own

    def offer_list(self, revision: int, listed: tuple[ListedMember, ...]) -> None:
        """Apply a new revision of the platform's list of machines."""
        self._execute(self._protocol.offer_list(revision, listed, self._timers.time()))

    def set_enforced_revision(self, revision: int) -> None:
        """Announce the configuration revision that this node enforces."""
        self._execute(self._protocol.set_revision(revision, self._timers.time()))

    def enforced_revisions(self) -> tuple[EnforcedRevision, ...]:
        """Return the newest revision that each member is known to enforce."""
        return self._protocol.revisions.by_member()

    def all_enforce(self, revision: int) -> bool:
        """Tell whether every member is known to enforce at least ``revision``."""
        return self._protocol.revisions.lowest() >= revision

    def publish_observation(self, backend: str, kind: ObservationKind) -> None:
        """Publish this node's observation of a back end."""
        self._execute(self._protocol.publish(backend, kind, self._timers.time()))

    def heard_observations(self) -> tuple[Hint, ...]:
        """Return the observations of back ends that have not expired."""
        return self._protocol.observations.heard(self._timers.time())

    def on_member_changed(self, listener: MemberListener) -> None:
        """Call ``listener`` when a member joins or changes."""
        self._listeners.members.append(listener)

    def on_newer_revision(self, listener: RevisionListener) -> None:
        """Call ``listener`` when a member enforces a newer revision than this node.

        Repeated at most twice per second until this node has caught up.
        """
        self._listeners.revisions.append(listener)

    def on_observation(self, listener: ObservationListener) -> None:
        """Call ``listener`` with every new observation received from another node."""
        self._listeners.observations.append(listener)

    def _on_datagram(self, source: PeerAddress, datagram: bytes) -> None:
        """Process a received datagram, or drop and count it."""
        if not self._running:
            return
        # A datagram may arrive before any timer fires after a pause.
        self.pause_detector.check()
        try:
            envelope = decode_envelope(self._seal.open(datagram))
        except RefusedDatagramError:
            self.counters.refused += 1
            return
        except MalformedDatagramError:
            self.counters.malformed += 1
            return
        self._execute(self._protocol.on_message(source, envelope, self._timers.time()))

    def _on_timer(self) -> None:
        self._timer = None
        self.pause_detector.check()
        # An event loop may fire a timer early by up to its clock's resolution. By its clock nothing
        # would be due yet, and in virtual time the same timer would be set again for ever.
        now = max(self._timers.time(), self._timer_at)
        self._execute(self._protocol.on_time(now))

    def _on_pause(self, gap_s: float) -> None:
        if self._running:
            self._execute(self._protocol.on_pause(gap_s, self._timers.time()))

    def _execute(self, actions: list[Action]) -> None:
        """Execute the protocol's actions and set the timer."""
        for action in actions:
            match action:
                case Send():
                    self._send(action)
                case MemberChanged():
                    for member_listener in self._listeners.members:
                        member_listener(action)
                case NewerRevisionHeard(member, revision):
                    for revision_listener in self._listeners.revisions:
                        revision_listener(member, revision)
                case ObservationHeard(observation):
                    for observation_listener in self._listeners.observations:
                        observation_listener(observation)
        self._schedule_timer()

    def _send(self, action: Send) -> None:
        datagram = self._seal.seal(encode_envelope(action.envelope))
        if len(datagram) + CHANNEL_BYTES > MAX_DATAGRAM_BYTES:
            # Larger than the transport allows; the outbox keeps updates within DATAGRAM_BUDGET.
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(datagram) + CHANNEL_BYTES
        self._transport.send_datagram(action.destination, datagram)

    def _schedule_timer(self) -> None:
        """Set the timer for the next deadline, unless it is already set for an earlier time."""
        if not self._running:
            return
        deadline = self._protocol.next_deadline()
        if self._timer is not None:
            if self._timer_at <= deadline:
                return
            self._timer.cancel()
        self._timer_at = deadline
        self._timer = self._timers.call_at(deadline, self._on_timer)


async def _refuse_request(source: PeerAddress, _: bytes) -> bytes:
    """Refuse a request: membership uses only datagrams."""
    raise ValueError(f"membership does not accept requests: received one from {source}")
