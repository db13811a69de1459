"""The soak test's proxy on loopback: it forwards, resets and cuts off one direction."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.support.loopback_server import HOST, loopback_server
from tinrudder.common.address import Address
from tinrudder_lab.soak.proxy import LinkMode, LinkProxy

Check = Callable[[LinkProxy, Address, list[bytes]], Awaitable[None]]


def on_link(check: Check) -> None:
    async def run() -> None:
        received: list[bytes] = []

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                received.append(data)
                writer.write(data)

        async with loopback_server(echo) as target:
            link = LinkProxy(target)
            await link.listen(Address(HOST, 0))
            assert link._server is not None
            address = Address(HOST, link._server.sockets[0].getsockname()[1])
            await check(link, address, received)
            await link.close()

    asyncio.run(run())


def test_bytes_pass_both_ways() -> None:
    async def check(link: LinkProxy, address: Address, received: list[bytes]) -> None:
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"ab")
        assert await reader.readexactly(2) == b"ab"
        writer.close()

    on_link(check)


def test_a_one_way_cut_delivers_requests_and_no_answers() -> None:
    async def check(link: LinkProxy, address: Address, received: list[bytes]) -> None:
        link.set_mode(LinkMode.ONE_WAY)
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"ab")
        while not received:
            await asyncio.sleep(0.01)
        link.set_mode(LinkMode.PASSING)
        writer.write(b"cd")
        assert await reader.readexactly(2) == b"cd"
        writer.close()

    on_link(check)


def test_a_reset_ends_open_connections_and_new_ones() -> None:
    async def check(link: LinkProxy, address: Address, received: list[bytes]) -> None:
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"ab")
        await reader.readexactly(2)
        link.set_mode(LinkMode.RESETTING)
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        writer.close()

    on_link(check)
