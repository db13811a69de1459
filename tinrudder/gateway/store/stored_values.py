"""Values that a gateway reads from its platform, and the interface of the metadata store.

Owns nothing: values, and an interface that an adapter for each platform implements.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from tinrudder.gateway.model.configuration import BackendEntry, GatewayConfiguration
from tinrudder.gateway.model.http_messages import LoadReport
from tinrudder.gateway.store.store_revision import StoreRevision


class Topic(enum.Enum):
    """Part of the store that is read: the operator's settings, or the list of back ends.

    The operator's configuration and evacuations of zones are one topic: they change rarely, and a
    watch costs one call to the store regardless of the number of keys.
    """

    OPERATOR = "operator"
    BACKENDS = "backends"


STORE = "store"
"""Source of values that this gateway read from the store; otherwise the source is the address of
the peer that sent them."""


class StoredValue(Struct, frozen=True):
    """A key's value at one revision.

    :param key: empty, without a revision, if the store's item has no readable key.
    :param value: ``None`` if the key was removed; empty if the item's value is unreadable.
    """

    key: str
    revision: StoreRevision
    value: bytes | None


class Reading(Struct, frozen=True):
    """Values of a topic as of a revision of the store: either all or the changed ones."""

    values: tuple[StoredValue, ...]
    revision: StoreRevision

    @property
    def whole(self) -> bool:
        """Tell whether every value has a key, so that missing keys can be determined."""
        return all(value.key for value in self.values)


class StoreUnavailableError(Exception):
    """The store did not answer, or refused; known values remain valid."""


class HistoryForgottenError(StoreUnavailableError):
    """The store no longer has the changes since a revision; a complete read is needed."""


class EarlierEpochError(StoreUnavailableError):
    """The store answered from an epoch before the current one, which proves nothing."""


class UnreadableValueError(Exception):
    """A value does not match its format; the text names the key or header, and the field."""


class MetadataStore(Protocol):
    """The read-only metadata store."""

    async def read(self, topic: Topic) -> Reading:
        """Read every value of a topic.

        :raises StoreUnavailableError: there was no usable answer.
        """

    async def watch(self, topic: Topic, after: StoreRevision, wait_s: float) -> Reading:
        """Wait for changes after a revision; return no values if there were none in time.

        The answer may be of a later epoch than the given revision, whose number may then denote a
        different change: more than these values may have changed.

        :raises StoreUnavailableError: there was no usable answer.
        :raises HistoryForgottenError: :meth:`read` is needed.
        """


class ConfigurationKey(Struct, frozen=True):
    """The key of the operator's configuration."""


class EvacuationKey(Struct, frozen=True):
    """A key that evacuates a zone as long as it exists: its back ends receive no calls."""

    zone: str


class UnusedKey(Struct, frozen=True):
    """A key of the operator that gateways do not use."""


OperatorKey = ConfigurationKey | EvacuationKey | UnusedKey


class ValueDecoders(Struct, frozen=True):
    """Convert the platform's keys and bytes into the product's values.

    Each raises :class:`UnreadableValueError`.
    """

    operator_key: Callable[[str], OperatorKey]
    configuration: Callable[[bytes], GatewayConfiguration]
    backend: Callable[[str, bytes], BackendEntry]
    load_report: Callable[[bytes], LoadReport]
