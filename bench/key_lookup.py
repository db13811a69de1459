"""Cost of authenticating a request: look-up of its API key and removal of the credentials.

``python -m bench.key_lookup`` prints microseconds per request, for 79 and 1,000 tenants with two
keys each.
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
TENANT_COUNTS = (79, 1000)


def make_key_ring(tenants: int) -> KeyIndex:
    """Return the key ring of a configuration with ``tenants`` tenants."""
    entries = [
        {"name": f"tenant-{number}", "api_keys": [f"{number:020d}", f"x{number:019d}"]}
        for number in range(tenants)
    ]
    document = {"version": 1, "routes": [], "tenants": entries}
    return KeyIndex.of(decode_configuration(json.dumps(document).encode()))


def make_request(key: str) -> HttpRequest:
    """Return a client request that carries ``key``."""
    headers = (
        (b"host", b"search.example"),
        (b"tinrudder-request-id", b"9c41d07be2a35f68"),
        (b"tinrudder-deadline-ms", b"800"),
        (b"authorization", f"Token {key}".encode()),
    )
    return HttpRequest(b"GET", b"/all/1", headers, b"")


def main() -> None:
    """Run the benchmark."""
    for tenants in TENANT_COUNTS:
        ring = make_key_ring(tenants)
        request = make_request(f"{tenants // 2:020d}")

        def serve(ring: KeyIndex = ring, request: HttpRequest = request) -> None:
            identity = ring.identify(request)
            assert isinstance(identity, Known)
            without_credentials(request, identity.tenant, HEADERS)

        best = min(timeit.repeat(serve, number=ROUNDS, repeat=REPEATS)) / ROUNDS
        print(f"{tenants} tenants: {best * 1e6:.2f} us a request")


if __name__ == "__main__":
    main()
