"""How many back ends one request may crash before it is given up; both programs keep to it.

Owns one constant and relies on nothing.  The gateway's rule around it is
``gateway/decisions/admission/poison_requests.py``.
"""

ENOUGH_CRASHES = 3
"""How many back ends must have been lost under a request, one of them in a trial, before it is
barred.  What is promised of poison requests counts from the third, and two may be lost by chance to
a victim, whose retry goes to the next back end of a rack that is failing."""
