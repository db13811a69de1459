"""What membership tells its user, and what it asks its user to send.

Plain data that :class:`~tinrudder.cluster.membership_protocol.MembershipProtocol` returns and the
driver in ``membership`` acts upon; owns no state.
"""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.cluster.membership_messages import Observation
from tinrudder.cluster.membership_outbox import Send
from tinrudder.cluster.view import Member


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member is new or has another state; ``previous`` is ``None`` for a new one."""

    member: Member
    previous: Member | None


@dataclass(frozen=True, slots=True)
class NewerRevisionHeard:
    """A member enforces a newer revision of the configuration than we do."""

    member: Member
    revision: int


@dataclass(frozen=True, slots=True)
class ObservationHeard:
    """Another node observed something of a back end."""

    observation: Observation


Action = Send | MemberChanged | NewerRevisionHeard | ObservationHeard
