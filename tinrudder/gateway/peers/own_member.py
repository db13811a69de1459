"""How this gateway describes itself to other gateways.

Owns nothing; relies on the lifecycle of the process, on what is known of the store, and on whether
the store answers.
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.common.lifecycle import NodeLifecycle
from tinrudder.gateway.peers.peer_messages import Member
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_status import StoreStatus


class OwnMember(Struct, frozen=True):
    """This gateway as a member of the fleet.

    :param address: where other gateways reach it.
    :param capacity: how strong its machine is, in the unit of the settings.
    """

    address: Address
    zone: str
    capacity: float
    lifecycle: NodeLifecycle
    state: SharedState
    store_status: StoreStatus

    def describe(self) -> Member:
        """Return this gateway as others should see it now."""
        return Member(
            address=self.address,
            zone=self.zone,
            capacity=self.capacity,
            leaving=self.lifecycle.is_stopping(),
            starting=not self.state.complete,
            without_store=self.store_status.is_lost,
        )
