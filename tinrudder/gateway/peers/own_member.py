"""Describes this gateway to its peers.

Owns nothing; relies on the process lifecycle, the shared state, and the status of the store.
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

    :param address: the address at which peers reach it.
    :param capacity: the capacity of its machine, in the unit of the settings.
    """

    address: Address
    zone: str
    capacity: float
    lifecycle: NodeLifecycle
    state: SharedState
    store_status: StoreStatus

    def describe(self) -> Member:
        """Return the current description of this gateway."""
        return Member(
            address=self.address,
            zone=self.zone,
            capacity=self.capacity,
            leaving=self.lifecycle.is_stopping(),
            starting=not self.state.complete,
            without_store=self.store_status.is_lost,
        )
