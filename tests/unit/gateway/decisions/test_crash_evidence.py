"""Merging crash evidence is independent of order and repeats; which evidence bars a request."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.common.crash_limit import CRASH_LIMIT
from tinrudder.gateway.decisions.admission.crash_evidence import (
    NEVER,
    Crash,
    Evidence,
)
from tinrudder.gateway.decisions.admission.poison_requests import (
    PoisonRequests,
)

ORIGIN = b"route"

FINGERPRINT = b"fingerprint"

crashes = st.builds(
    Crash,
    backend=st.integers(0, 4),
    at=st.integers(0, 20).map(float),
    trial=st.booleans(),
    survived=st.booleans(),
)

timestamps = st.integers(0, 20).map(float)

# How often the evidence was cleared, and when it was last cleared.
clearings = st.just((0, NEVER)) | st.tuples(st.integers(1, 3), timestamps)

pieces = st.lists(
    st.one_of(
        st.builds(lambda crash, cleared: Evidence(ORIGIN, (crash,), *cleared), crashes, clearings),
        clearings.map(lambda cleared: Evidence(ORIGIN, (), *cleared)),
        timestamps.map(lambda at: Evidence(ORIGIN, trial_at=at)),
    ),
    min_size=1,
    max_size=8,
)


def merge_all(evidence: list[Evidence]) -> Evidence:
    table = PoisonRequests()
    for one in evidence:
        table.merge(FINGERPRINT, one)
    found = table.find(FINGERPRINT)
    assert found is not None
    return found


@given(pieces, st.integers(0, 10**6))
def test_evidence_is_the_same_in_any_order_with_any_repeats(
    evidence: list[Evidence], seed: int
) -> None:
    source = random.Random(seed)
    again = evidence + source.choices(evidence, k=3)
    source.shuffle(again)
    assert merge_all(again) == merge_all([*evidence, *evidence])


@given(pieces, st.integers(0, 8))
def test_gateways_agree_after_an_exchange_however_the_reports_are_divided(
    evidence: list[Evidence], cut: int
) -> None:
    here, there = evidence[:cut], evidence[cut:]
    if here and there:
        merged_reports = merge_all(here).merged(merge_all(there))
        assert merged_reports == merge_all(there).merged(merge_all(here))
        assert merged_reports == merge_all([*evidence, *evidence])


@given(pieces)
def test_only_requests_with_enough_crashes_and_one_in_a_trial_are_barred(
    evidence: list[Evidence],
) -> None:
    known = merge_all(evidence)
    barred = known.barred_until > known.last_crash_at
    if barred:
        assert len(known.counted_crashes) >= CRASH_LIMIT
        assert any(crash.trial for crash in known.counted_crashes)
        latest = max(one.cleared for one in evidence)
        held = {crash.backend for one in evidence if one.cleared == latest for crash in one.crashes}
        assert {crash.backend for crash in known.crashes} == held
