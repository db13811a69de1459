"""The simulated network: delay by zone and region, cuts, loss, duplication and reordering."""

from __future__ import annotations

import contextvars
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder_lab.sim.loop import MachineLoop

SAME_ZONE_S = 0.0003
ACROSS_ZONES_S = 0.001
ACROSS_REGIONS_S = 0.006
JITTER_S = 0.0002
CONNECT_S = 0.001


@dataclass(frozen=True, slots=True)
class Location:
    """The location of a machine."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Cut:
    """A one-way partition: the sources cannot send to the destinations.

    :param sources: zones or regions; :param destinations: zones or regions.
    """

    sources: frozenset[str]
    destinations: frozenset[str]

    def blocks(self, source: Location, destination: Location) -> bool:
        """Return whether a message is lost."""
        leaves = source.zone in self.sources or source.region in self.sources
        enters = destination.zone in self.destinations or destination.region in self.destinations
        return leaves and enters


@dataclass(eq=False)
class Network:
    """Delivers messages, which are callbacks, after a delay or loses them.

    :param datagram_loss: share of datagrams lost; :param datagram_duplication: share duplicated.
    :param extra_delay_s: added to every message, seconds.
    """

    loop: MachineLoop
    random: random.Random
    datagram_loss: float = 0.0
    datagram_duplication: float = 0.0
    cuts: list[Cut] = field(default_factory=list)
    messages: int = 0
    extra_delay_s: float = 0.0
    default_context: contextvars.Context = field(default_factory=contextvars.copy_context)

    def delay(self, source: Location, destination: Location) -> float:
        """Return one message's one-way delay, seconds."""
        if source.zone == destination.zone:
            base = SAME_ZONE_S
        elif source.region == destination.region:
            base = ACROSS_ZONES_S
        else:
            base = ACROSS_REGIONS_S
        return base + self.extra_delay_s + JITTER_S * self.random.random()

    def blocked(self, source: Location, destination: Location) -> bool:
        """Return whether a cut blocks messages."""
        return any(cut.blocks(source, destination) for cut in self.cuts)

    def deliver(
        self,
        source: Location,
        destination: Location,
        context: contextvars.Context | None,
        callback: Callable[..., object],
        *arguments: object,
    ) -> bool:
        """Run ``callback`` at the destination after the delay; return False when cut off.

        :param context: context of the receiving machine, ``None`` if the receiver is not a node.
        """
        if self.cuts and self.blocked(source, destination):
            return False
        self.messages += 1
        delay_s = self.delay(source, destination)
        self.loop.deliver(delay_s, context or self.default_context, callback, *arguments)
        return True

    def deliver_datagram(
        self,
        source: Location,
        destination: Location,
        context: contextvars.Context,
        callback: Callable[..., object],
        *arguments: object,
    ) -> None:
        """Deliver a datagram zero, one or two times."""
        if self.random.random() < self.datagram_loss:
            return
        self.deliver(source, destination, context, callback, *arguments)
        if self.random.random() < self.datagram_duplication:
            self.deliver(source, destination, context, callback, *arguments)
