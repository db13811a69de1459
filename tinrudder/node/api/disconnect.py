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
    work_task = asyncio.ensure_future(work)
    disconnect_task = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait((work_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED)
        if not work_task.done():
            raise CallerGoneError
        return work_task.result()
    finally:
        work_task.cancel()
        disconnect_task.cancel()


async def _wait_for_disconnect(receive: Receive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
