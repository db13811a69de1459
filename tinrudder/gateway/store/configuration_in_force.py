"""Keeps the configuration in force: the received one with the operator's highest version.

Configurations are ordered by the operator's versions instead of store revisions: a store restored
from an older copy may present an older configuration at a later revision.

Owns the configuration and the revision at which the store held it. Relies on the decoder of the
platform's format.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from tinrudder.gateway.model.configuration import GatewayConfiguration
from tinrudder.gateway.store.store_revision import NO_REVISION, StoreRevision
from tinrudder.gateway.store.stored_values import STORE, StoredValue


class AcceptedConfiguration(Struct, frozen=True):
    """The configuration in force and the latest revision at which the store is known to hold it.

    :param source: where it was received from first: the store, or a peer's address.
    """

    configuration: GatewayConfiguration
    value: StoredValue
    source: str = STORE


class ConfigurationInForce:
    """The operator's newest configuration known to this process; its version never decreases.

    :ivar accepted: ``None`` until a configuration is received.
    """

    def __init__(self, decode: Callable[[bytes], GatewayConfiguration]) -> None:
        """Start without a configuration."""
        self.accepted: AcceptedConfiguration | None = None
        self._decode = decode

    @property
    def revision(self) -> StoreRevision:
        """Return the latest known revision of the configuration; the lowest one for none."""
        return self.accepted.value.revision if self.accepted is not None else NO_REVISION

    @property
    def version(self) -> int:
        """Return the operator's version; 0 for none."""
        return self.accepted.configuration.version if self.accepted is not None else 0

    def apply(self, value: StoredValue, source: str = STORE) -> bool:
        """Put a configuration in force if it is newer; tell whether that was done.

        :raises UnreadableValueError: it does not match the platform's format.
        """
        accepted = self.accepted
        if value.value is None or value.revision == self.revision:
            return False
        configuration = self._decode(value.value)
        if accepted is None or configuration.version > accepted.configuration.version:
            self.accepted = AcceptedConfiguration(configuration, value, source)
            return True
        is_older = configuration.version < accepted.configuration.version
        if is_older or value.revision <= accepted.value.revision:
            return False
        if value.value == accepted.value.value:
            # The same bytes at a later revision: nothing changes for requests.
            self.accepted = AcceptedConfiguration(accepted.configuration, value, accepted.source)
            return False
        self.accepted = AcceptedConfiguration(configuration, value, source)
        return True
