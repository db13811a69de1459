"""The inputs from which all components of a gateway are built.

Owns nothing: :mod:`tinrudder.gateway.wiring` passes one to each group of components.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.model.configuration import GatewaySettings, HeaderNames
from tinrudder.gateway.store.stored_values import MetadataStore, ValueDecoders

StoreFactory = Callable[[Address, Callable[[], None], HeldBytes], MetadataStore]


class BuildContext(Struct, frozen=True):
    """Inputs shared by all components.

    :param own: the address by which other gateways identify this one.
    :param random: the gateway's random source, seeded with its name; the order in which components
        draw from it determines the outcome of a seeded run.
    """

    settings: GatewaySettings
    names: HeaderNames
    decoders: ValueDecoders
    make_store: StoreFactory
    loop: asyncio.AbstractEventLoop
    own: Address
    random: random.Random

    @classmethod
    def of(
        cls,
        settings: GatewaySettings,
        names: HeaderNames,
        decoders: ValueDecoders,
        make_store: StoreFactory,
    ) -> BuildContext:
        """Return the inputs for a gateway in the running event loop."""
        loop = asyncio.get_running_loop()
        own = settings.peers or settings.clients
        source = random.Random(settings.name)
        return cls(settings, names, decoders, make_store, loop, own, source)
