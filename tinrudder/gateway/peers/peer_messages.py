"""Messages between gateways.

Values only.  The codecs in ``wire`` encode and decode them.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.gateway.decisions.admission.token_buckets import HeldTokens
from tinrudder.gateway.decisions.fleet.peer_load_reports import ReportedLoad
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import RequestOutcome
from tinrudder.gateway.store.store_revision import StoreRevision, TopicPosition
from tinrudder.gateway.store.stored_values import StoredValue


class Member(Struct, frozen=True):
    """A gateway's description of itself.

    :param capacity: processor cores.
    :param leaving: it has been asked to stop.
    :param starting: its state is not complete enough to serve.
    :param without_store: it gets no answers from the store.
    """

    address: Address
    zone: str = ""
    capacity: float = 1.0
    leaving: bool = False
    starting: bool = False
    without_store: bool = False

    @property
    def serves_others(self) -> bool:
        """Return whether it may be asked to coordinate."""
        return not self.leaving and not self.starting


class ReportedMember(Struct, frozen=True):
    """A member as another gateway knows it; ``age_s`` is the age of that information, seconds."""

    member: Member
    age_s: float


class Digest(Struct, frozen=True):
    """A summary of the store revisions that a gateway knows; sent as a datagram.

    :param operator: the sender's position in the operator's settings: the configuration, and the
        starts and ends of zone evacuations.
    :param backends: the sender's position in the list of back ends.
    :param members: some other gateways.
    :param operator_unconfirmed_s: seconds since the store confirmed, to the sender or to a peer
        that passed it on, that it had nothing newer; ``None``: never.
    :param backends_unconfirmed_s: the same for the list of back ends.
    :param silent_zones: zones that the sender suspects or considers unreachable by its own
        observation.
    :param configuration_version: version of the configuration in force; 0: none, or the sender's
        software is too old to send it.  It orders configurations after the store has lost history,
        when revisions no longer do.
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
    """Asks whether a peer is reachable, and which revision of the operator's settings it knows.

    :param number: echoed in the answer; unique among the probes of a process.
    """

    number: int


class ProbeAnswer(Struct, frozen=True):
    """Answers a probe.

    :param knowledge_age_s: age of the sender's knowledge when it answered; ``None``: it was never
        confirmed.
    """

    number: int
    operator_revision: StoreRevision
    knowledge_age_s: float | None = None


class QuotaReport(Struct, frozen=True):
    """Reports a tenant's requests to the gateway that is the tenant's quota home.

    :param admitted: requests that the entry admitted without asking, less those that never ran.
    :param asks: the entry asks whether it may admit one more request.
    :param held: the bucket level that a home reported recently; ``None``: none did.
    :param insists: a home that ranks higher gave no answer.
    """

    number: int
    tenant: str
    admitted: int = 0
    asks: bool = False
    held: HeldTokens | None = None
    insists: bool = False


class QuotaVerdict(Struct, frozen=True):
    """A quota home's answer to a report; with number 0, a broadcast to all entries.

    :param granted: whether the request that the entry asked for may run.
    :param wait_s: seconds after which the tenant may ask again, if it may not.
    :param pressed_s: seconds for which entries must ask before they admit a request; 0: they need
        not ask.
    :param tokens: tokens in the bucket; ``None``: the home knows no limit for the tenant.
    :param owner: the gateway to ask in place of the sender; ``None``: the sender is the home.
    """

    number: int
    tenant: str
    granted: bool = True
    wait_s: float = 0.0
    pressed_s: float = 0.0
    tokens: float | None = None
    owner: Address | None = None


class ReportedCrash(Struct, frozen=True):
    """A back end that was lost while it ran a request; see :class:`Crash`."""

    backend: int
    age_s: float
    trial: bool
    survived: bool = False


class ReportedEvidence(Struct, frozen=True):
    """A gateway's evidence about one request that may be poison; see :class:`Evidence`.

    :param cleared: how often the evidence against the request has been dropped.
    :param cleared_age_s: seconds since it was last dropped; ``None``: never.
    :param trial_age_s: seconds since a trial began; ``None``: never.
    """

    fingerprint: bytes
    origin: bytes
    crashes: tuple[ReportedCrash, ...] = ()
    cleared: int = 0
    cleared_age_s: float | None = None
    trial_age_s: float | None = None


class PoisonReport(Struct, frozen=True):
    """Reports requests that may be poison to peers.

    :param asks: the sender requests all evidence, after a start or a pause of its process.
    """

    evidence: tuple[ReportedEvidence, ...] = ()
    asks: bool = False


class LoadNews(Struct, frozen=True):
    """Reports back ends with long queues to peers."""

    loads: tuple[ReportedLoad, ...]


PeerDatagram = Digest | Probe | ProbeAnswer | QuotaReport | QuotaVerdict | PoisonReport | LoadNews


class SnapshotRequest(Struct, frozen=True):
    """Requests a peer's state beyond these positions.

    :param configuration_version: see :class:`Digest`.
    :param members_wanted: the requester has just started and knows few other gateways.
    """

    operator: TopicPosition
    backends: TopicPosition
    members_wanted: bool = False
    configuration_version: int = 0


class Snapshot(Struct, frozen=True):
    """A gateway's state as replicated from the store.

    :param backends_read: the sender has received a complete list of back ends.
    :param changes_only: ``backends`` holds only changes since the requester's position.
    :param operator_position: the sender's position in the operator's settings; ``None``: its
        software is too old to send it.
    :param backends_position: the same for back ends.
    :param members: all gateways that the sender counts, itself included, if requested.
    :param evacuations: starts and ends of zone evacuations that are newer than the requester's
        position.
    :param knowledge_age_s: age of the sender's knowledge of the operator's settings when it
        answered; ``None``: it was never confirmed.
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

    Times are durations left at the moment of sending, since the clocks of two machines may differ.

    :param objective_left_s: negative if the objective has passed.
    :param returning: the client has been waiting since an earlier attempt.
    :param configuration_revision: the entry's revision within the store's epoch, for coordinators
        with older software, which compare it.
    :param configuration_version: the entry's version; the request must not be answered from an
        older configuration.
    :param shards: the shards of the route to query; empty: all of them.
    :param minimum_share: the smallest share of ``shards`` that makes a useful answer.
    :param priority: 0 is the most urgent; the tenant's priority if it has one, else the route's.
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

    :param configuration_version: version of the configuration used for the answer.
    :param repeats: calls beyond the first one to each shard.
    :param elapsed_s: seconds from when the answering gateway received the request until it decided
        on the answer.
    """

    outcome: RequestOutcome
    configuration_version: int
    repeats: int = 0
    missing_shards: tuple[MissingShard, ...] = ()
    elapsed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Declined:
    """The coordinator sent no calls for the scatter and will send none; the entry may ask another
    coordinator or run the scatter itself."""

    detail: str


ScatterAnswer = ScatterEnd | Declined
