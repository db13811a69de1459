"""The platform's list of machines in the words of membership."""

from __future__ import annotations

from tinrudder.cluster.membership_list import ListedMember
from tinrudder.node.configuration_service.messages import MemberList, MemberState, PlatformMember
from tinrudder.peers import PeerAddress


def listed_members(members: MemberList) -> tuple[ListedMember, ...]:
    """Return whom the platform lists, without any observation of our own."""
    return tuple(_listed(entry) for entry in members.members)


def _listed(entry: PlatformMember) -> ListedMember:
    address = PeerAddress(entry.host, entry.port)
    return ListedMember(entry.name, address, entry.state is MemberState.LEAVING)
