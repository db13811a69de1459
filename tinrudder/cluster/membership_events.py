"""Actions that the membership protocol returns: events for listeners and datagrams to send.

Values only: :class:`~tinrudder.cluster.membership_protocol.MembershipProtocol` returns them and the
driver in ``membership`` executes them.
"""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.cluster.membership_messages import Observation
from tinrudder.cluster.membership_outbox import Send
from tinrudder.cluster.view import Member


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member joined or changed; ``previous`` is ``None`` for a new member."""

    member: Member
    previous: Member | None


@dataclass(frozen=True, slots=True)
class NewerRevisionHeard:
    """A member enforces a newer configuration revision than this node."""

    member: Member
    revision: int


@dataclass(frozen=True, slots=True)
class ObservationHeard:
    """Another node published an observation of a back end."""

    observation: Observation


Action = Send | MemberChanged | NewerRevisionHeard | ObservationHeard
