"""The tenants of the configuration in force, by name.

Owns the index; relies on the shared state to announce a configuration that comes into force.
"""

from __future__ import annotations

from tinrudder.gateway.model.configuration import GatewayConfiguration, Tenant
from tinrudder.gateway.store.shared_state import SharedState


class TenantsInForce:
    """Index of the tenants in force, for limits and for authentication."""

    def __init__(self, state: SharedState) -> None:
        """Subscribe to changes of ``state``."""
        self._state = state
        self._indexed: GatewayConfiguration | None = None
        self._tenants: dict[str, Tenant] = {}
        state.subscribe(self._refresh)

    def find(self, name: str) -> Tenant | None:
        """Return a tenant of the configuration in force, or ``None``."""
        return self._tenants.get(name)

    def has_tenants(self) -> bool:
        """Return whether the configuration in force has tenants, and so requires keys."""
        return bool(self._tenants)

    def _refresh(self) -> None:
        """Index the tenants of a configuration that has just come into force."""
        accepted = self._state.accepted
        if accepted is None or accepted.configuration is self._indexed:
            return
        self._indexed = accepted.configuration
        self._tenants = {tenant.name: tenant for tenant in accepted.configuration.tenants}
