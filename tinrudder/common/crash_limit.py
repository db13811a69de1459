"""Limit on the back ends that one request may crash; gateways and nodes both enforce it.

Owns one constant and has no dependencies. The gateway's rule that applies it is
``gateway/decisions/admission/poison_requests.py``.
"""

CRASH_LIMIT = 3
"""Back ends lost while running a request, one of them in a trial, before the request is barred. The
guarantee about poison requests counts from the third loss. Two losses can be coincidence: a
victim's retry goes to the next back end of a rack that is failing."""
