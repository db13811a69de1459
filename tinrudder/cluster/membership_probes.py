"""Probes members in turn, directly and then through relays, and relays probes for others.

Owns the probes in progress and those relayed for others. Relies on the outbox to send, and on
``membership_protocol`` to act on failed probes.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass

from tinrudder.cluster.failure_detector import LocalHealth, Probe, ProbeOrder
from tinrudder.cluster.membership_messages import (
    Acknowledgement,
    MemberUpdate,
    NegativeAcknowledgement,
    Ping,
    PingRequest,
    status_update,
)
from tinrudder.cluster.membership_outbox import Outbox
from tinrudder.cluster.membership_settings import MembershipSettings
from tinrudder.cluster.membership_table import MembershipTable
from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.peers import PeerAddress

MAX_RELAYED_PROBES = 256
"""Maximum number of probes relayed at once: bounds memory when many nodes ask. Further ones are
dropped and count as unanswered."""
RELAY_TIMEOUT_SHARE = 0.8
"""Share of the acknowledgement timeout after which a relay sends a negative acknowledgement."""


@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    """A probe on another node's behalf.

    :param negative_acknowledgement_at: when its negative acknowledgement is due.
    """

    sequence: int
    origin: PeerAddress
    origin_sequence: int
    negative_acknowledgement_at: float


class Prober:
    """The probes in progress and the probes relayed for others."""

    def __init__(
        self,
        settings: MembershipSettings,
        source: random.Random,
        table: MembershipTable,
        outbox: Outbox,
        health: LocalHealth,
        now: float,
    ) -> None:
        """Schedule the first probe at a random time within one interval."""
        self.order = ProbeOrder(source)
        self._settings = settings
        self._random = source
        self._table = table
        self._outbox = outbox
        self._health = health
        self._probes: list[Probe] = []
        self._next_probe_at = now + settings.probe_interval_s * source.random()
        self._sequence = 0
        self._relayed_probes: deque[_RelayedProbe] = deque()

    def next_deadline(self) -> float:
        """Return when :meth:`on_time` is next due."""
        deadline = self._next_probe_at
        for probe in self._probes:
            deadline = min(deadline, probe.next_deadline())
        relayed = (
            self._relayed_probes[0].negative_acknowledgement_at
            if self._relayed_probes
            else math.inf
        )
        return min(deadline, relayed)

    def on_time(self, now: float) -> list[str]:
        """Advance the probes; return the names of members that did not answer."""
        self._send_negative_acknowledgements(now)
        for probe in self._probes:
            if probe.is_indirect_due(now):
                self._send_indirect_probes(probe)
        failed = [probe for probe in self._probes if now >= probe.ends_at]
        for probe in failed:
            self._probes.remove(probe)
            # Relays that sent no negative acknowledgement either suggest a fault of this node.
            self._health.record_failure(
                probe.relays - min(probe.relays, probe.negative_acknowledgements)
            )
        if now >= self._next_probe_at:
            self._start_probe(now)
        return [probe.target for probe in failed]

    def restart(self, now: float) -> None:
        """Discard the probes in progress, whose timeouts elapsed while this process was paused."""
        self._probes.clear()
        self._relayed_probes.clear()
        self._next_probe_at = now

    def on_acknowledgement(self, sequence: int) -> None:
        """Complete a probe of this node, or forward the acknowledgement of a relayed one."""
        for probe in self._probes:
            if probe.sequence == sequence:
                self._health.record_success()
                self._probes.remove(probe)
                return
        for relayed in self._relayed_probes:
            if relayed.sequence == sequence:
                self._outbox.send(relayed.origin, Acknowledgement(relayed.origin_sequence))
                self._relayed_probes.remove(relayed)
                return

    def on_negative_acknowledgement(self, sequence: int) -> None:
        """Count a negative acknowledgement from a relay."""
        for probe in self._probes:
            if probe.sequence == sequence:
                probe.negative_acknowledgements += 1

    def on_ping_request(self, origin: PeerAddress, request: PingRequest, now: float) -> None:
        """Probe a target on another node's behalf."""
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            return
        sequence = self._next_sequence()
        negative_acknowledgement_at = (
            now + RELAY_TIMEOUT_SHARE * self._settings.acknowledge_timeout_s
        )
        self._relayed_probes.append(
            _RelayedProbe(sequence, origin, request.sequence, negative_acknowledgement_at)
        )
        self._outbox.send(request.address, Ping(sequence, request.target))

    def ping(self, member: Member) -> int:
        """Send a ping; a suspect's ping carries the suspicion, so that it can refute at once."""
        sequence = self._next_sequence()
        updates: tuple[MemberUpdate, ...] = ()
        if member.status is MemberStatus.SUSPECT:
            updates = (status_update(member, MemberStatus.SUSPECT, self._outbox.own.name),)
        self._outbox.send(member.address, Ping(sequence, member.name), updates)
        return sequence

    def _start_probe(self, now: float) -> None:
        self._next_probe_at = now + self._health.scale(self._settings.probe_interval_s)
        target = self._next_target()
        if target is None:
            return
        sequence = self.ping(target)
        indirect_at = now + self._health.scale(self._settings.acknowledge_timeout_s)
        ends_at = now + self._health.scale(self._settings.probe_timeout_s)
        self._probes.append(Probe(target.name, sequence, indirect_at, ends_at))

    def _next_target(self) -> Member | None:
        """Return the next member to probe, skipping this node and dead members."""
        for _ in range(len(self._table.roster) + 1):
            name = self.order.next(self._table.roster)
            member = self._table.get(name) if name is not None else None
            if member is None or name == self._outbox.own.name:
                continue
            if member.status is not MemberStatus.DEAD:
                return member
        return None

    def _send_indirect_probes(self, probe: Probe) -> None:
        """Request indirect probes and repeat the direct one: most losses affect a single
        datagram."""
        probe.indirect_sent = True
        target = self._table.get(probe.target)
        if target is None:
            return
        self._outbox.send(target.address, Ping(probe.sequence, target.name))
        request = PingRequest(probe.sequence, target.name, target.address)
        for relay in self._outbox.sample(self._random, self._settings.indirect_probes + 1):
            usable = relay.status is MemberStatus.ALIVE and relay.name != target.name
            if usable and probe.relays < self._settings.indirect_probes:
                probe.relays += 1
                self._outbox.send(relay.address, request)

    def _send_negative_acknowledgements(self, now: float) -> None:
        while self._relayed_probes and self._relayed_probes[0].negative_acknowledgement_at <= now:
            relayed = self._relayed_probes.popleft()
            self._outbox.send(relayed.origin, NegativeAcknowledgement(relayed.origin_sequence))

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % (1 << 32)
        return self._sequence
