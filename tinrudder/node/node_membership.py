"""Wires membership to the node's settings, transport and member list.

Owns when a node joins and leaves, and when it is notified of a new view.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tinrudder.cluster.membership import Membership
from tinrudder.cluster.membership_events import MemberChanged
from tinrudder.cluster.membership_messages import first_incarnation
from tinrudder.cluster.membership_settings import MembershipSettings
from tinrudder.cluster.view import Member, MemberStatus, MemberView
from tinrudder.common.logs import log_event
from tinrudder.node.configuration_service.member_list_conversion import listed_members
from tinrudder.node.configuration_service.messages import MemberList
from tinrudder.node.environment import Environment
from tinrudder.node.resources.status import NodeRevision
from tinrudder.node.settings import NodeSettings, parse_seed_peers
from tinrudder.node.wire.channels import Channel, ChannelRouter
from tinrudder.peers import PeerAddress

VIEW_NOTIFY_DELAY_S = 0.02
"""Seconds from a change to the notification: changes come in bursts, and the coordinator sets are
computed once per burst."""

JOIN_POLL_INTERVAL_S = 0.02
"""Seconds between checks of the live member count while joining."""
JOIN_TIMEOUT_S = 1.0
"""Seconds that a starting node waits for other members, so that it does not act as the only node:
two probe intervals of membership."""

ViewListener = Callable[[MemberView], None]


class NodeMembership:
    """Starts and stops a node's membership, feeds it the platform's list and reports new views."""

    def __init__(
        self,
        settings: NodeSettings,
        environment: Environment,
        channels: ChannelRouter,
        view_listener: ViewListener,
    ) -> None:
        """Build the membership; nothing is sent before :meth:`start`."""
        self._timers = environment.timers
        self._view_listener = view_listener
        self._notify_scheduled = False
        self._listed_count = 0
        self._seeds = parse_seed_peers(settings.seed_peers)
        own = Member(
            settings.name,
            first_incarnation(environment.wall_clock()),
            settings.zone,
            settings.region,
            PeerAddress(settings.host, settings.peer_port),
        )
        self.membership = Membership(
            environment.timers,
            environment.wall_clock,
            # A separate generator, so that membership's draws do not change those of other parts.
            random.Random(environment.random.getrandbits(64)),
            channels.channel(Channel.MEMBERSHIP),
            own,
            environment.cluster_keys,
            MembershipSettings(probe_interval_s=settings.probe_interval_s),
        )
        self.membership.on_member_changed(self._on_member_changed)

    async def start(self) -> None:
        """Join, and wait up to the join limit so that this node does not act as the only one."""
        self.membership.start(self._seeds)
        deadline = self._timers.time() + JOIN_TIMEOUT_S
        while not self._has_joined() and self._timers.time() < deadline:
            await asyncio.sleep(JOIN_POLL_INTERVAL_S)
        self.membership.announce_joined()
        self._notify_view()

    def offer_list(self, members: MemberList) -> None:
        """Pass the platform's list of machines to membership."""
        self._listed_count = len(members.members)
        before = self.membership.view()
        self.membership.offer_list(members.revision, listed_members(members))
        if self.membership.view() is not before:
            self._schedule_notify()

    def node_revisions(self) -> tuple[NodeRevision, ...]:
        """Return the last known enforced revision of every member that is not dead."""
        members = self.membership.view().by_name
        found = []
        for entry in self.membership.enforced_revisions():
            member = members[entry.name]
            status = member.status.value
            found.append(NodeRevision(entry.name, member.zone, status, entry.revision))
        return tuple(found)

    def leave(self) -> None:
        """Announce to the other nodes that this node accepts no new work."""
        self.membership.announce_leaving()
        self._notify_view()

    def stop(self) -> None:
        """Stop membership, which announces to the other nodes that this node has left."""
        self.membership.stop()

    def _has_joined(self) -> bool:
        """Return whether more than half of the listed machines are live, counting leaving ones."""
        return self.membership.live_count() > self._listed_count // 2

    def _on_member_changed(self, change: MemberChanged) -> None:
        member = change.member
        known = change.previous is not None and change.previous.status is not MemberStatus.DEAD
        if not known or member.status in (MemberStatus.DEAD, MemberStatus.LEAVING):
            fields = {"member": member.name, "zone": member.zone, "status": member.status.value}
            log_event("member changed", fields)
        self._schedule_notify()

    def _schedule_notify(self) -> None:
        if not self._notify_scheduled:
            self._notify_scheduled = True
            self._timers.call_at(self._timers.time() + VIEW_NOTIFY_DELAY_S, self._notify_view)

    def _notify_view(self) -> None:
        self._notify_scheduled = False
        self._view_listener(self.membership.view())
