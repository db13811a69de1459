"""The platform's list of machines as a member view."""

from __future__ import annotations

from tinrudder.cluster.view import Member, MemberStatus, MemberView, build_view
from tinrudder.peers import PeerAddress
from tinrudder.platform.messages import MemberList, MemberState, PlatformMember


def view_of(members: MemberList) -> MemberView:
    """Return what the platform's list says, without any observation of our own."""
    return build_view(tuple(_member(entry) for entry in members.members), members.revision)


def _member(entry: PlatformMember) -> Member:
    is_leaving = entry.state is MemberState.LEAVING
    status = MemberStatus.LEAVING if is_leaving else MemberStatus.ALIVE
    address = PeerAddress(entry.host, entry.port)
    return Member(entry.name, 0, entry.zone, entry.region, address, status)
