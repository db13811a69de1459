"""Converts the platform's list of machines to membership's types.

Owns the mapping from platform states to membership's flags.
"""

from __future__ import annotations

from tinrudder.cluster.membership_list import ListedMember
from tinrudder.node.configuration_service.messages import MemberList, MemberState, PlatformMember
from tinrudder.peers import PeerAddress


def listed_members(members: MemberList) -> tuple[ListedMember, ...]:
    """Return the machines on the platform's list, without this node's own observations."""
    return tuple(_listed(entry) for entry in members.members)


def _listed(entry: PlatformMember) -> ListedMember:
    address = PeerAddress(entry.host, entry.port)
    return ListedMember(entry.name, address, entry.state is MemberState.LEAVING)
