"""Owns the cancellation of work whose caller disconnects while it runs."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from starlette.types import Receive

Result = TypeVar("Result")


class CallerGoneError(Exception):
    """The caller closed its connection, and its work was cancelled."""


async def run_unless_disconnected(receive: Receive, work: Coroutine[Any, Any, Result]) -> Result:
    """Return the result of ``work``; cancel it as soon as the caller disconnects.

    :param receive: the request's ASGI receive function, once the whole body has been read.
    :raises CallerGoneError: if the caller disconnects before ``work`` ends.
    """
    running = asyncio.ensure_future(work)
    gone = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait((running, gone), return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            raise CallerGoneError
        return running.result()
    finally:
        running.cancel()
        gone.cancel()


async def _wait_for_disconnect(receive: Receive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
