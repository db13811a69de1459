"""What gateways tell each other."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from tinrudder.gateway.messages import HttpRequest
from tinrudder.gateway.model import Address
from tinrudder.gateway.outcomes import RequestOutcome
from tinrudder.gateway.stored_values import StoredValue


class Member(Struct, frozen=True):
    """One gateway, as it describes itself.

    :param capacity: processor cores.
    :param leaving: it has been told to stop.
    :param starting: it knows too little to serve.
    :param without_store: the store does not answer it.
    """

    address: Address
    zone: str = ""
    capacity: float = 1.0
    leaving: bool = False
    starting: bool = False
    without_store: bool = False

    @property
    def serves_others(self) -> bool:
        """Tell whether it may be asked to coordinate."""
        return not self.leaving and not self.starting


class ToldMember(Struct, frozen=True):
    """A member as another gateway knows it; ``age_s`` is how old that knowledge is, seconds."""

    member: Member
    age_s: float


class Digest(Struct, frozen=True):
    """How far a gateway's knowledge of the store goes; sent by datagram.

    :param operator_revision: of the newest thing that the operator asked for: a configuration,
        the evacuation of a zone, or the end of one.
    :param members: some other gateways.
    :param operator_unconfirmed_s: how long ago the store said, to the sender or to somebody whom
        it heard, that nothing newer was there; ``None``: never.
    :param backends_unconfirmed_s: the same for the list of back ends.
    """

    sender: Member
    operator_revision: int
    backends_revision: int
    members: tuple[ToldMember, ...] = ()
    operator_unconfirmed_s: float | None = None
    backends_unconfirmed_s: float | None = None


class SnapshotRequest(Struct, frozen=True):
    """Asks for what a peer knows beyond these revisions.

    :param members_wanted: the asker has just started and knows few other gateways.
    """

    operator_revision: int
    backends_revision: int
    members_wanted: bool = False


class Snapshot(Struct, frozen=True):
    """A gateway's state.

    :param backends_read: the sender has had a complete list of back ends.
    :param changes_only: only back ends' changes since the asker's revision.
    :param members: all gateways that the sender counts, itself included, where asked for.
    :param evacuations: of zones, and ends of these, that are newer than what the asker knows.
    """

    configuration: StoredValue | None
    backends: tuple[StoredValue, ...]
    backends_read: bool
    changes_only: bool = False
    members: tuple[ToldMember, ...] = ()
    evacuations: tuple[StoredValue, ...] = ()


class ScatterRequest(Struct, frozen=True):
    """Asks a coordinator to run a client's scatter.

    Times are what is left when this is sent, since clocks of two machines have nothing in common.

    :param objective_left_s: may be negative: the objective has passed.
    :param returning: the client has been waiting since an earlier attempt.
    :param configuration_revision: the entry's; an older configuration must not answer.
    :param shards: only these shards of the route are asked for; empty: all of them.
    :param minimum_share: the least share of ``shards`` that is of use.
    """

    request: HttpRequest
    request_id: bytes
    objective_left_s: float
    deadline_left_s: float
    returning: bool
    configuration_revision: int
    shards: tuple[str, ...] = ()
    minimum_share: float = 0.0


PeerRequest = SnapshotRequest | ScatterRequest


class MissingShard(Struct, frozen=True):
    """A shard without an answer, and why."""

    service: str
    problem: str


@dataclass(frozen=True, slots=True)
class ScatterEnd:
    """How a coordinated scatter ended.

    :param configuration_version: of the configuration that answered.
    :param repeats: calls beyond the first of each shard.
    :param elapsed_s: how long the answering gateway had the request until it decided to answer.
    """

    outcome: RequestOutcome
    configuration_version: int
    repeats: int = 0
    missing_shards: tuple[MissingShard, ...] = ()
    elapsed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Declined:
    """The coordinator sent nothing and never will; the entry may ask another or run it itself."""

    detail: str


ScatterAnswer = ScatterEnd | Declined
