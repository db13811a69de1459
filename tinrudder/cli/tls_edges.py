"""The TLS identities that the settings name, and the task that reloads them."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tinrudder.common.logs import log_event, log_problem
from tinrudder.node.settings import NodeSettings
from tinrudder.node.tls import Identity, TlsEdges, TlsError, TlsFiles


def build_edges(settings: NodeSettings) -> TlsEdges:
    """Read every identity that the settings name.

    :raises TlsError: one cannot be used.
    """
    return TlsEdges(
        peers=_identity(
            settings.peer_tls_certificate, settings.peer_tls_key, settings.peer_tls_authority
        ),
        callers=_identity(settings.caller_tls_certificate, settings.caller_tls_key, ""),
        backends=_identity(
            settings.backend_tls_certificate,
            settings.backend_tls_key,
            settings.backend_tls_authority,
        ),
    )


async def follow_files(edges: TlsEdges, check_s: float) -> None:
    """Reload identities whose files change; an unusable file changes nothing and is logged."""
    while True:
        await asyncio.sleep(check_s)
        for identity in edges.identities():
            try:
                if identity.reload_if_changed():
                    log_event("tls identity reloaded")
            except TlsError as error:
                log_problem("tls identity not reloaded", {"error": str(error)})


def _identity(certificate: str, key: str, authority: str) -> Identity | None:
    """Return the identity, ``None`` when no file is named."""
    if not certificate and not authority:
        return None
    return Identity(TlsFiles(_path(certificate), _path(key), _path(authority)))


def _path(name: str) -> Path | None:
    return Path(name) if name else None
