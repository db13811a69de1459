"""What gateways tell each other.

Owns nothing: values only.  The codecs in ``wire`` turn them into bytes and back.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.gateway.decisions.admission.token_buckets import HeldTokens
from tinrudder.gateway.decisions.fleet.load_news import ReportedLoad
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import RequestOutcome
from tinrudder.gateway.store.store_revision import StoreRevision, TopicPosition
from tinrudder.gateway.store.stored_values import StoredValue


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


class ReportedMember(Struct, frozen=True):
    """A member as another gateway knows it; ``age_s`` is how old that knowledge is, seconds."""

    member: Member
    age_s: float


class Digest(Struct, frozen=True):
    """How far a gateway's knowledge of the store goes; sent by datagram.

    :param operator: how far the sender knows what the operator asks for: the configuration,
        evacuations of zones, and ends of these.
    :param backends: how far it knows the list of back ends.
    :param members: some other gateways.
    :param operator_unconfirmed_s: how long ago the store said, to the sender or to somebody whom
        it heard, that nothing newer was there; ``None``: never.
    :param backends_unconfirmed_s: the same for the list of back ends.
    :param silent_zones: zones from which the sender hears nothing any more.
    :param configuration_version: of the configuration in force; 0: none, or the sender's software
        is too old to say.  It orders configurations where a store that lost history does not.
    """

    sender: Member
    operator: TopicPosition
    backends: TopicPosition
    members: tuple[ReportedMember, ...] = ()
    operator_unconfirmed_s: float | None = None
    backends_unconfirmed_s: float | None = None
    silent_zones: tuple[str, ...] = ()
    configuration_version: int = 0


class Probe(Struct, frozen=True):
    """Asks whether a peer hears, and how far its knowledge of the operator's word reaches.

    :param number: echoed in the answer; no two probes of a process share one.
    """

    number: int


class ProbeAnswer(Struct, frozen=True):
    """Answers a probe.

    :param knowledge_age_s: how old the answerer's knowledge was when it answered; ``None``: it
        was never proven.
    """

    number: int
    operator_revision: StoreRevision
    knowledge_age_s: float | None = None


class QuotaReport(Struct, frozen=True):
    """Tells a tenant's quota home of requests.

    :param admitted: how many the entry has let run without asking, less those that never ran.
    :param asks: whether one more may run is wanted to know.
    :param held: what a home said lately; ``None``: nothing.
    """

    number: int
    tenant: str
    admitted: int = 0
    asks: bool = False
    held: HeldTokens | None = None


class QuotaVerdict(Struct, frozen=True):
    """A quota home's answer to a report; by number 0, its word to everybody.

    :param granted: whether the request asked for may run.
    :param wait_s: when the tenant may ask again, if not.
    :param pressed_s: for how long entries must ask first; 0: they need not.
    :param tokens: what the bucket holds; ``None``: the home knows no limit of the tenant's.
    """

    number: int
    tenant: str
    granted: bool = True
    wait_s: float = 0.0
    pressed_s: float = 0.0
    tokens: float | None = None


class ReportedCrash(Struct, frozen=True):
    """A back end that was lost under a request; see :class:`Crash`."""

    backend: int
    age_s: float
    trial: bool
    survived: bool = False


class ReportedEvidence(Struct, frozen=True):
    """What a gateway knows of one request that may be poison; see :class:`Evidence`.

    :param cleared: how often what was held against it has been dropped.
    :param cleared_age_s: how long ago that was last; ``None``: never.
    :param trial_age_s: how long ago a trial began; ``None``: never.
    """

    fingerprint: bytes
    origin: bytes
    crashes: tuple[ReportedCrash, ...] = ()
    cleared: int = 0
    cleared_age_s: float | None = None
    trial_age_s: float | None = None


class PoisonReport(Struct, frozen=True):
    """Tells peers of requests that may be poison.

    :param asks: the sender wants to be told everything: it has just started, or stood still.
    """

    evidence: tuple[ReportedEvidence, ...] = ()
    asks: bool = False


class LoadNews(Struct, frozen=True):
    """Tells peers of back ends whose queues are long."""

    loads: tuple[ReportedLoad, ...]


PeerDatagram = Digest | Probe | ProbeAnswer | QuotaReport | QuotaVerdict | PoisonReport | LoadNews


class SnapshotRequest(Struct, frozen=True):
    """Asks for what a peer knows beyond these positions.

    :param configuration_version: see :class:`Digest`.
    :param members_wanted: the asker has just started and knows few other gateways.
    """

    operator: TopicPosition
    backends: TopicPosition
    members_wanted: bool = False
    configuration_version: int = 0


class Snapshot(Struct, frozen=True):
    """A gateway's state.

    :param backends_read: the sender has had a complete list of back ends.
    :param changes_only: only back ends' changes since the asker's position.
    :param operator_position: how far the sender knows what the operator asks for; ``None``: its
        software is too old to say.
    :param backends_position: the same for back ends.
    :param members: all gateways that the sender counts, itself included, where asked for.
    :param evacuations: of zones, and ends of these, that are newer than what the asker knows.
    :param knowledge_age_s: how old the sender's knowledge of the operator's word was when it
        answered; ``None``: it was never proven.
    """

    configuration: StoredValue | None
    backends: tuple[StoredValue, ...]
    backends_read: bool
    changes_only: bool = False
    members: tuple[ReportedMember, ...] = ()
    evacuations: tuple[StoredValue, ...] = ()
    knowledge_age_s: float | None = None
    operator_position: TopicPosition | None = None
    backends_position: TopicPosition | None = None


class ScatterRequest(Struct, frozen=True):
    """Asks a coordinator to run a client's scatter.

    Times are what is left when this is sent, since clocks of two machines have nothing in common.

    :param objective_left_s: may be negative: the objective has passed.
    :param returning: the client has been waiting since an earlier attempt.
    :param configuration_revision: the entry's, within the store's epoch; for coordinators of older
        software, which go by it.
    :param configuration_version: the entry's; an older configuration must not answer.
    :param shards: only these shards of the route are asked for; empty: all of them.
    :param minimum_share: the least share of ``shards`` that is of use.
    :param priority: 0 is the most urgent; the tenant's if it has one, else the route's.
    """

    request: HttpRequest
    request_id: bytes
    objective_left_s: float
    deadline_left_s: float
    returning: bool
    configuration_revision: int
    shards: tuple[str, ...] = ()
    minimum_share: float = 0.0
    priority: int = 0
    configuration_version: int | None = None


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
