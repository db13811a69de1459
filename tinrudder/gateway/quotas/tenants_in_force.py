"""The tenants of the configuration in force, by their names.

Owns the index; relies on the shared state to say when a configuration comes into force.
"""

from __future__ import annotations

from tinrudder.gateway.model.configuration import GatewayConfiguration, Tenant
from tinrudder.gateway.store.shared_state import SharedState


class TenantsInForce:
    """Finds tenants for limits and for whoever needs to know whether there are any."""

    def __init__(self, state: SharedState) -> None:
        """Follow ``state``."""
        self._state = state
        self._indexed: GatewayConfiguration | None = None
        self._tenants: dict[str, Tenant] = {}
        state.subscribe(self._refresh)

    def find(self, name: str) -> Tenant | None:
        """Return a tenant of the configuration in force."""
        return self._tenants.get(name)

    def are_there_any(self) -> bool:
        """Tell whether the configuration in force has tenants, and so asks for keys."""
        return bool(self._tenants)

    def _refresh(self) -> None:
        """Index a configuration that has just come into force."""
        accepted = self._state.accepted
        if accepted is None or accepted.configuration is self._indexed:
            return
        self._indexed = accepted.configuration
        self._tenants = {tenant.name: tenant for tenant in accepted.configuration.tenants}
