"""HTTP/1.1 to back ends: one pooled connection a call, parsed by httptools.

aiosonic costs several times a bare asyncio client per call (docs/CALL_COST.md), which the call
path cannot pay; httptools is the parser that uvicorn uses.
"""

from __future__ import annotations

import asyncio
import ssl
from typing import Protocol

from tinrudder.node.backends.connection_pool import ConnectionPool
from tinrudder.node.backends.messages import BackendCall
from tinrudder.node.environment import ReplyListener

TRIM_INTERVAL_S = 5.0
"""Seconds between looks for idle connections; it adds to how long one stays."""


class TlsContextSource(Protocol):
    """Gives the TLS context of the moment, so that keys rotate without a restart."""

    def backend_context(self) -> ssl.SSLContext | None:
        """Return the context for new connections."""


class HttpBackendTransport:
    """The real :class:`tinrudder.node.environment.BackendTransport`."""

    def __init__(self, tls: TlsContextSource | None = None) -> None:
        """Use ``tls`` for back ends that ask for it."""
        self._tls = tls
        self._pools: dict[tuple[str, int, bool], ConnectionPool] = {}
        self._trim_timer: asyncio.TimerHandle | None = None

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Send a call; see the interface."""
        pool = self._pools.get((call.host, call.port, call.tls))
        if pool is None:
            pool = self._add_pool(call)
        pool.start(call, listener)

    def cancel(self, call: BackendCall) -> None:
        """Cancel a call; see the interface."""
        pool = self._pools.get((call.host, call.port, call.tls))
        if pool is not None:
            pool.cancel(call)

    def connections(self, host: str, port: int) -> int:
        """Return how many connections to one address are open or being opened."""
        keys = ((host, port, tls) for tls in (False, True))
        return sum(self._pools[key].connections for key in keys if key in self._pools)

    async def close(self) -> None:
        """Close every connection."""
        if self._trim_timer is not None:
            self._trim_timer.cancel()
            self._trim_timer = None
        for pool in self._pools.values():
            pool.close()

    def _add_pool(self, call: BackendCall) -> ConnectionPool:
        pool = ConnectionPool(call.host, call.port, self._tls_context if call.tls else _no_context)
        self._pools[call.host, call.port, call.tls] = pool
        if self._trim_timer is None:
            self._set_trim_timer()
        return pool

    def _tls_context(self) -> ssl.SSLContext | None:
        """Return the context of the moment; a back end behind TLS is never called in clear."""
        context = self._tls.backend_context() if self._tls is not None else None
        return context if context is not None else ssl.create_default_context()

    def _set_trim_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._trim_timer = loop.call_later(TRIM_INTERVAL_S, self._trim)

    def _trim(self) -> None:
        """Close long idle connections and forget pools of back ends that are gone."""
        for key, pool in tuple(self._pools.items()):
            pool.trim()
            if pool.unused:
                del self._pools[key]
        self._set_trim_timer()


def _no_context() -> None:
    """Return no TLS context: the back end speaks in clear."""
