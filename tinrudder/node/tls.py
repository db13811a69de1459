"""TLS at every edge, with certificates and keys replaced while the process runs.

An :class:`Identity` is a certificate, its key and the authorities it trusts, read from files.
Listening sockets keep one context for their whole life; it hands each new handshake to the
context of the moment.  Connections that are already open finish under the one they began with.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path

Signature = tuple[tuple[int, int, int], ...]


class TlsError(Exception):
    """Certificate, key or authority cannot be read, or do not fit together."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files of one identity.

    :param certificate: our certificate and its chain, ``None`` to show none.
    :param key: its private key.
    :param authority: who signs the other side's certificates, ``None`` to ask for none.
    """

    certificate: Path | None
    key: Path | None
    authority: Path | None

    def paths(self) -> tuple[Path, ...]:
        """Return the files that are set."""
        named = (self.certificate, self.key, self.authority)
        return tuple(path for path in named if path is not None)


class Identity:
    """The contexts of one edge, read again when the files change."""

    def __init__(self, files: TlsFiles) -> None:
        """Read the files.

        :raises TlsError: they cannot be used.
        """
        self._files = files
        self._signature = _signature(files)
        self._server = _server_context(files) if files.certificate is not None else None
        self._client = _client_context(files)
        self._listening = _server_context(files) if files.certificate is not None else None
        if self._listening is not None:
            self._listening.sni_callback = self._use_current

    def client_context(self) -> ssl.SSLContext:
        """Return the context for a new connection of ours."""
        return self._client

    def listening_context(self) -> ssl.SSLContext:
        """Return the context for a listening socket, valid across reloads.

        :raises TlsError: there is no certificate to show.
        """
        if self._listening is None:
            raise TlsError("certificate: needed to listen")
        return self._listening

    def reload_if_changed(self) -> bool:
        """Read the files again if they changed; return whether new ones are in force.

        :raises TlsError: the new files cannot be used; the old contexts stay in force, and the
            files are tried again at the next call.
        """
        signature = _signature(self._files)
        if signature == self._signature:
            return False
        server = _server_context(self._files) if self._files.certificate is not None else None
        client = _client_context(self._files)
        self._server = server
        self._client = client
        self._signature = signature
        return True

    def _use_current(
        self, connection: ssl.SSLObject, _server_name: str | None, _listening: ssl.SSLContext
    ) -> None:
        """Move a handshake that begins to the context of the moment."""
        if self._server is not None:
            connection.context = self._server


@dataclass(frozen=True, slots=True)
class TlsEdges:
    """The identities of a node; ``None`` where an edge is plain.

    :param peers: mutual, between nodes; both sides show a certificate of the same authority.
    :param callers: shown to callers, who authenticate by credential instead.
    :param backends: used towards back ends whose resource says ``tls``.
    """

    peers: Identity | None = None
    callers: Identity | None = None
    backends: Identity | None = None

    def backend_context(self) -> ssl.SSLContext | None:
        """Return the context for a new connection to a back end."""
        return self.backends.client_context() if self.backends is not None else None

    def identities(self) -> tuple[Identity, ...]:
        """Return those that are set."""
        named = (self.peers, self.callers, self.backends)
        return tuple(identity for identity in named if identity is not None)


def _server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that accepts connections."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, files)
    if files.authority is not None:
        _load_authority(context, files.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that opens connections.

    Machines are known by IP number and replaced at any time, so a certificate proves that its
    holder belongs to us (the authority), not which address it has.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    if files.authority is not None:
        _load_authority(context, files.authority)
    else:
        context.load_default_certs()
    if files.certificate is not None:
        _load_certificate(context, files)
    return context


def _load_certificate(context: ssl.SSLContext, files: TlsFiles) -> None:
    if files.certificate is None or files.key is None:
        raise TlsError("certificate and key: both are needed")
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f"{files.certificate}, {files.key}: {error}") from error


def _load_authority(context: ssl.SSLContext, authority: Path) -> None:
    try:
        context.load_verify_locations(authority)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f"{authority}: {error}") from error


def _signature(files: TlsFiles) -> Signature:
    """Return what changes when a file is replaced.

    :raises TlsError: a file cannot be read.
    """
    try:
        stats = [path.stat() for path in files.paths()]
    except OSError as error:
        raise TlsError(f"{error.filename}: {error.strerror}") from error
    return tuple((stat.st_ino, stat.st_mtime_ns, stat.st_size) for stat in stats)
