"""Wires the claims service to the node's settings, transport and member list.

Owns the node's vote, its claims and the outcomes of claimed operations.
"""

from __future__ import annotations

from tinrudder.cluster.claims.claims import ClaimLimits
from tinrudder.cluster.claims.claims_service import ClaimNode, ClaimsService
from tinrudder.cluster.claims.electorate import Voter
from tinrudder.cluster.claims.electorate_history import ListedVoter
from tinrudder.node.configuration_service.messages import MemberList, MemberState, PlatformMember
from tinrudder.node.environment import Environment
from tinrudder.node.query.operations.operation_outcomes import OperationOutcomes
from tinrudder.node.settings import NodeSettings
from tinrudder.node.wire.channels import Channel, ChannelRouter
from tinrudder.peers import PeerAddress

LONGEST_PAUSE_S = 60.0
"""Seconds for which a machine removed from the list may be paused and then resume as a voter.  A
permanently lost majority is replaced only after this time (docs/CLAIMS.md)."""


class NodeClaims:
    """Votes, claims and the outcomes returned to duplicate submissions."""

    def __init__(
        self, settings: NodeSettings, environment: Environment, channels: ChannelRouter
    ) -> None:
        """Build the service; it votes on the claims channel once it is started."""
        address = PeerAddress(settings.host, settings.peer_port)
        voter = Voter(settings.name, settings.zone, address)
        self.outcomes = OperationOutcomes(environment.wall_clock)
        self.service = ClaimsService(
            environment.timers,
            environment.wall_clock,
            environment.random,
            channels.channel(Channel.CLAIMS),
            ClaimNode(voter, settings.region),
            claim_limits(settings),
            self.outcomes.answer,
        )

    def offer_list(self, members: MemberList) -> None:
        """Pass the platform's list of machines to the claims service, grouped by region."""
        regions: dict[str, list[ListedVoter]] = {}
        for member in members.members:
            regions.setdefault(member.region, []).append(_listed_voter(member))
        self.service.learn_list(members.revision, regions)


def claim_limits(settings: NodeSettings) -> ClaimLimits:
    """Return the time limits of claims.

    The wait for a machine removed from the list covers the claim window, its longest pause and the
    clock skew.
    """
    window_s = settings.claim_window_s
    removed_wait_s = window_s + LONGEST_PAUSE_S + settings.clock_skew_s
    return ClaimLimits(window_s, settings.clock_skew_s, window_s, removed_wait_s)


def _listed_voter(member: PlatformMember) -> ListedVoter:
    address = PeerAddress(member.host, member.port)
    voter = Voter(member.name, member.zone, address)
    return ListedVoter(voter, member.state is MemberState.LEAVING)
