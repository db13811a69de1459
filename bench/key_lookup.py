"""What it costs to know who asks: the look-up of a key, and taking it off a request.

``python -m bench.key_lookup`` prints microseconds a request, for 79 and 1,000 tenants of two keys.
"""

from __future__ import annotations

import json
import timeit

from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.requests.api_keys import KeyIndex, Known, without_credentials
from tinrudder.platform.documents import decode_configuration
from tinrudder.platform.headers import HEADERS

ROUNDS = 20_000
REPEATS = 5
FLEETS = (79, 1000)


def ring_of(tenants: int) -> KeyIndex:
    """Return the keys of a configuration with some tenants."""
    named = [
        {"name": f"tenant-{number}", "api_keys": [f"{number:020d}", f"x{number:019d}"]}
        for number in range(tenants)
    ]
    document = {"version": 1, "routes": [], "tenants": named}
    return KeyIndex.of(decode_configuration(json.dumps(document).encode()))


def request_of(key: str) -> HttpRequest:
    """Return a request as clients send it."""
    headers = (
        (b"host", b"search.example"),
        (b"tinrudder-request-id", b"9c41d07be2a35f68"),
        (b"tinrudder-deadline-ms", b"800"),
        (b"authorization", f"Token {key}".encode()),
    )
    return HttpRequest(b"GET", b"/all/1", headers, b"")


def main() -> None:
    """Measure."""
    for tenants in FLEETS:
        ring = ring_of(tenants)
        request = request_of(f"{tenants // 2:020d}")

        def serve(ring: KeyIndex = ring, request: HttpRequest = request) -> None:
            identity = ring.identify(request)
            assert isinstance(identity, Known)
            without_credentials(request, identity.tenant, HEADERS)

        best = min(timeit.repeat(serve, number=ROUNDS, repeat=REPEATS)) / ROUNDS
        print(f"{tenants} tenants: {best * 1e6:.2f} us a request")


if __name__ == "__main__":
    main()
