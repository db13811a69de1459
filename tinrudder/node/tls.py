"""TLS contexts for peers, callers and back ends, reloaded without a restart.

Owns the contexts of each :class:`Identity`: a certificate, its key and the trusted authorities,
read from files.  A listening socket keeps one context for its whole life, which passes each new
handshake to the current context.  Open connections keep the context of their handshake.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path

FileStamps = tuple[tuple[int, int, int], ...]


class TlsError(Exception):
    """A certificate, key or authority file cannot be read, or a key does not match."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files of one identity.

    :param certificate: our certificate and its chain, ``None`` to present none.
    :param key: private key of the certificate.
    :param authority: authority that signs the remote certificates.  With ``None`` a server requests
        no client certificate, and a client trusts the system's default authorities.
    """

    certificate: Path | None
    key: Path | None
    authority: Path | None

    def paths(self) -> tuple[Path, ...]:
        """Return the files that are set."""
        named = (self.certificate, self.key, self.authority)
        return tuple(path for path in named if path is not None)


class Identity:
    """The TLS contexts of one identity, reloaded when its files change."""

    def __init__(self, files: TlsFiles) -> None:
        """Read the files.

        :raises TlsError: a file cannot be used.
        """
        self._files = files
        self._loaded_stamps = _file_stamps(files)
        self._server = _server_context(files) if files.certificate is not None else None
        self._client = _client_context(files)
        self._listening_context = _server_context(files) if files.certificate is not None else None
        if self._listening_context is not None:
            self._listening_context.sni_callback = self._switch_to_current

    def client_context(self) -> ssl.SSLContext:
        """Return the context for a new outgoing connection."""
        return self._client

    def listening_context(self) -> ssl.SSLContext:
        """Return the context for a listening socket, valid across reloads.

        :raises TlsError: the identity has no certificate.
        """
        if self._listening_context is None:
            raise TlsError("certificate: required for a listening socket")
        return self._listening_context

    def reload_if_changed(self) -> bool:
        """Reload the files if they changed; return whether new contexts are in use.

        :raises TlsError: the new files cannot be used; the old contexts stay in use, and the next
            call tries the files again.
        """
        stamps = _file_stamps(self._files)
        if stamps == self._loaded_stamps:
            return False
        server = _server_context(self._files) if self._files.certificate is not None else None
        client = _client_context(self._files)
        self._server = server
        self._client = client
        self._loaded_stamps = stamps
        return True

    def _switch_to_current(
        self,
        connection: ssl.SSLObject,
        _server_name: str | None,
        _listening_context: ssl.SSLContext,
    ) -> None:
        """Switch a new handshake to the current server context."""
        if self._server is not None:
            connection.context = self._server


@dataclass(frozen=True, slots=True)
class TlsIdentities:
    """The TLS identities of a node; ``None`` where none is configured.

    :param peers: for mutual TLS between nodes; both sides present a certificate of one authority.
    :param callers: presented to callers, which authenticate by credential instead.
    :param backends: used for back ends whose resource sets ``tls``.
    """

    peers: Identity | None = None
    callers: Identity | None = None
    backends: Identity | None = None

    def backend_context(self) -> ssl.SSLContext | None:
        """Return the context for a new connection to a back end."""
        return self.backends.client_context() if self.backends is not None else None

    def identities(self) -> tuple[Identity, ...]:
        """Return the identities that are set."""
        named = (self.peers, self.callers, self.backends)
        return tuple(identity for identity in named if identity is not None)


def _server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context for incoming connections."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, files)
    if files.authority is not None:
        _load_authority(context, files.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context for outgoing connections.

    Machines are known by IP address and can be replaced at any time, so host names are not checked:
    a certificate proves only that our authority signed it.
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


def _file_stamps(files: TlsFiles) -> FileStamps:
    """Return the inode, modification time and size of each file, which detect a replacement.

    :raises TlsError: a file cannot be read.
    """
    try:
        stats = [path.stat() for path in files.paths()]
    except OSError as error:
        raise TlsError(f"{error.filename}: {error.strerror}") from error
    return tuple((stat.st_ino, stat.st_mtime_ns, stat.st_size) for stat in stats)
