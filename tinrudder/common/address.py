"""The network address of a process.

Owns the only address type of the product.
"""

from __future__ import annotations

from msgspec import Struct


class Address(Struct, frozen=True, order=True):
    """An IP address and a port.

    >>> str(Address.parse("10.0.0.1:80"))
    '10.0.0.1:80'
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``HOST:PORT``.

        :raises ValueError: the text is not of this form.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not (port.isascii() and port.isdigit()):
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f"{self.host}:{self.port}"
