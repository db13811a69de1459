"""Numbers that match answers to questions between gateways.

Owns nothing: each part that asks counts on from the number drawn here.
"""

from __future__ import annotations

import os

FIRST_BYTES = 7
"""A process begins below 2^56: room for 250 times as many questions before a number has 64 bits."""


def first_number() -> int:
    """Return where a process begins to count its questions, above all small numbers.

    Drawn by the system, not by a seed: an answer to the process that had this address before, which
    began elsewhere, must match nothing, since it proves nothing of the time since.
    """
    return int.from_bytes(os.urandom(FIRST_BYTES)) + 2
