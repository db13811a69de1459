"""HTTP/1.1 transport to back ends, with one call at a time on each pooled connection.

Owns one connection pool per address.  It uses asyncio and httptools, the parser of uvicorn:
aiosonic costs several times as much per call (docs/CALL_COST.md), too much for this path.
"""

from __future__ import annotations

import asyncio
import ssl
from typing import Protocol

from tinrudder.node.backends.connection_pool import ConnectionPool
from tinrudder.node.backends.messages import BackendCall
from tinrudder.node.environment import ReplyListener

TRIM_INTERVAL_S = 5.0
"""Seconds between checks for idle connections; this adds to the time that one stays open."""


class TlsContextSource(Protocol):
    """Provides the current TLS context, so that keys can be rotated without a restart."""

    def backend_context(self) -> ssl.SSLContext | None:
        """Return the context for new connections."""


class HttpBackendTransport:
    """The :class:`tinrudder.node.environment.BackendTransport` over HTTP."""

    def __init__(self, tls: TlsContextSource | None = None) -> None:
        """Use the contexts of ``tls`` for calls that require TLS."""
        self._tls = tls
        self._pools: dict[tuple[str, int, bool], ConnectionPool] = {}
        self._trim_timer: asyncio.TimerHandle | None = None

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Send a call; see :meth:`BackendTransport.start`."""
        pool = self._pools.get((call.host, call.port, call.tls))
        if pool is None:
            pool = self._add_pool(call)
        pool.start(call, listener)

    def cancel(self, call: BackendCall) -> None:
        """Cancel a call; see :meth:`BackendTransport.cancel`."""
        pool = self._pools.get((call.host, call.port, call.tls))
        if pool is not None:
            pool.cancel(call)

    def connections(self, host: str, port: int) -> int:
        """Return the number of connections to one address that are open or being opened."""
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
        """Return the current context, or a default one: TLS calls are never sent in plain text."""
        context = self._tls.backend_context() if self._tls is not None else None
        return context if context is not None else ssl.create_default_context()

    def _set_trim_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._trim_timer = loop.call_later(TRIM_INTERVAL_S, self._trim)

    def _trim(self) -> None:
        """Close connections that have been idle too long and drop unused pools."""
        for key, pool in tuple(self._pools.items()):
            pool.trim()
            if pool.is_unused:
                del self._pools[key]
        self._set_trim_timer()


def _no_context() -> None:
    """Return ``None``: the back end uses plain HTTP."""
