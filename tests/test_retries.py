"""Tests of the retry decision and its budget."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions.retries import (
    FailedAttempt,
    RetryTokenBucket,
    RetryVerdict,
    decide_retry,
)
from daisylift.outcome import Outcome

FAILED = st.builds(
    FailedAttempt,
    outcome=st.sampled_from([Outcome.DID_NOT_RUN, Outcome.UNKNOWN]),
    reached_server=st.booleans(),
    response_started=st.booleans(),
    body_replayable=st.booleans(),
    attempts=st.integers(1, 4),
    possibly_run_attempts=st.integers(0, 3),
    remaining_seconds=st.floats(0.0, 5.0),
)


@given(FAILED, st.booleans())
@settings(derandomize=True, deadline=None)
def test_no_retry_is_granted_that_could_run_forbidden_work(failed, idempotent):
    verdict = decide_retry(failed, idempotent, RetryTokenBucket(1.0))
    if verdict is not RetryVerdict.GRANTED:
        return
    assert not failed.response_started
    assert failed.body_replayable
    assert failed.possibly_run_attempts <= 1
    assert failed.attempts <= 2
    assert failed.remaining_seconds > 0.0
    assert idempotent or failed.outcome is Outcome.DID_NOT_RUN


@given(st.lists(st.booleans(), max_size=300), st.floats(0.0, 1.0))
@settings(derandomize=True, deadline=None)
def test_retries_never_exceed_their_share(steps, share):
    budget = RetryTokenBucket(share)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.record_request()
            requests += 1
        else:
            retries += budget.take()
        assert retries <= (1 + requests * share + 1e-6 if share > 0 else 0)


@pytest.mark.parametrize(
    ('change', 'verdict'),
    [
        ({}, RetryVerdict.GRANTED),
        ({'response_started': True}, RetryVerdict.RESPONSE_STARTED),
        ({'body_replayable': False}, RetryVerdict.BODY_NOT_REPLAYABLE),
        ({'attempts': 3}, RetryVerdict.ATTEMPTS_EXHAUSTED),
        ({'possibly_run_attempts': 2}, RetryVerdict.ATTEMPTS_EXHAUSTED),
        ({'remaining_seconds': 0.001}, RetryVerdict.DEADLINE_NEAR),
    ],
)
def test_each_denial_has_its_reason(change, verdict):
    facts = {
        'outcome': Outcome.UNKNOWN,
        'reached_server': True,
        'response_started': False,
        'body_replayable': True,
        'attempts': 1,
        'possibly_run_attempts': 1,
        'remaining_seconds': 1.0,
    }
    failed = FailedAttempt(**(facts | change))
    assert decide_retry(failed, True, RetryTokenBucket(0.5)) is verdict


def test_exhausted_budget_and_forbidden_retry_have_their_reasons():
    failed = FailedAttempt(Outcome.UNKNOWN, True, False, True, 1, 1, 1.0)
    assert (
        decide_retry(failed, True, RetryTokenBucket(0.0))
        is RetryVerdict.BUDGET_EXHAUSTED
    )
    assert (
        decide_retry(failed, False, RetryTokenBucket(1.0))
        is RetryVerdict.NOT_IDEMPOTENT
    )
