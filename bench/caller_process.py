"""HTTP client in its own process, so that its processor time is not counted as the node's.

``python -m bench.caller_process PORT`` reads one number per line from standard input, sends that
many queries sequentially and prints the count of each response status, such as ``200:8``.
"""

from __future__ import annotations

import http.client
import sys
from collections import Counter

from bench.node_under_test import AUTHORIZATION, INDEX, RULE

HOST = "127.0.0.1"
BODY = f'{{"index":"{INDEX}","rule":"{RULE}"}}'
HEADERS = {"Authorization": AUTHORIZATION, "Content-Type": "application/json"}


def main() -> None:
    """Serve until standard input closes."""
    connection = http.client.HTTPConnection(HOST, int(sys.argv[1]))
    for line in sys.stdin:
        statuses: Counter[int] = Counter()
        for _ in range(int(line)):
            connection.request("POST", "/v1/query", BODY, HEADERS)
            response = connection.getresponse()
            response.read()
            statuses[response.status] += 1
        print(" ".join(f"{status}:{count}" for status, count in statuses.items()), flush=True)


if __name__ == "__main__":
    main()
