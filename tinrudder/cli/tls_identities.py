"""Loads the TLS identities named in the settings, and reloads them when their files change."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tinrudder.common.logs import log_event, log_problem
from tinrudder.node.settings import NodeSettings
from tinrudder.node.tls import Identity, TlsError, TlsFiles, TlsIdentities


def load_tls_identities(settings: NodeSettings) -> TlsIdentities:
    """Load every identity named in the settings.

    :raises TlsError: an identity is unusable.
    """
    return TlsIdentities(
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


async def reload_changed_identities(tls_identities: TlsIdentities, check_s: float) -> None:
    """Reload identities whose files change; log an unusable file and keep the old identity."""
    while True:
        await asyncio.sleep(check_s)
        for identity in tls_identities.identities():
            try:
                if identity.reload_if_changed():
                    log_event("tls identity reloaded")
            except TlsError as error:
                log_problem("tls identity not reloaded", {"error": str(error)})


def _identity(certificate: str, key: str, authority: str) -> Identity | None:
    """Return an identity, or ``None`` if the settings name no files for it."""
    if not certificate and not authority:
        return None
    return Identity(TlsFiles(_path(certificate), _path(key), _path(authority)))


def _path(name: str) -> Path | None:
    return Path(name) if name else None
