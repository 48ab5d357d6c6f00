"""Tests of the retry decision and its budget."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions.retries import (
    FailedTry,
    RetryBudget,
    RetryVerdict,
    judge_retry,
)
from daisylift.outcome import Outcome

FAILED = st.builds(
    FailedTry,
    outcome=st.sampled_from([Outcome.DID_NOT_RUN, Outcome.UNKNOWN]),
    reached_server=st.booleans(),
    answer_begun=st.booleans(),
    body_replayable=st.booleans(),
    tries=st.integers(1, 4),
    tries_that_may_have_run=st.integers(0, 3),
    left_seconds=st.floats(0.0, 5.0),
)


@given(FAILED, st.booleans())
@settings(derandomize=True, deadline=None)
def test_no_retry_is_granted_that_could_run_forbidden_work(failed, idempotent):
    verdict = judge_retry(failed, idempotent, RetryBudget(1.0))
    if verdict is not RetryVerdict.GRANTED:
        return
    assert not failed.answer_begun
    assert failed.body_replayable
    assert failed.tries_that_may_have_run <= 1
    assert failed.tries <= 2
    assert failed.left_seconds > 0.0
    assert idempotent or failed.outcome is Outcome.DID_NOT_RUN


@given(st.lists(st.booleans(), max_size=300), st.floats(0.0, 1.0))
@settings(derandomize=True, deadline=None)
def test_retries_never_exceed_their_share(steps, share):
    budget = RetryBudget(share)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.earn()
            requests += 1
        else:
            retries += budget.spend()
        assert retries <= (1 + requests * share + 1e-6 if share > 0 else 0)


@pytest.mark.parametrize(
    ('change', 'verdict'),
    [
        ({}, RetryVerdict.GRANTED),
        ({'answer_begun': True}, RetryVerdict.ANSWER_BEGUN),
        ({'body_replayable': False}, RetryVerdict.BODY_SPENT),
        ({'tries': 3}, RetryVerdict.TRIES_SPENT),
        ({'tries_that_may_have_run': 2}, RetryVerdict.TRIES_SPENT),
        ({'left_seconds': 0.001}, RetryVerdict.DEADLINE_NEAR),
    ],
)
def test_each_denial_has_its_reason(change, verdict):
    facts = {
        'outcome': Outcome.UNKNOWN,
        'reached_server': True,
        'answer_begun': False,
        'body_replayable': True,
        'tries': 1,
        'tries_that_may_have_run': 1,
        'left_seconds': 1.0,
    }
    failed = FailedTry(**(facts | change))
    assert judge_retry(failed, True, RetryBudget(0.5)) is verdict


def test_spent_budget_and_forbidden_repeat_have_their_reasons():
    failed = FailedTry(Outcome.UNKNOWN, True, False, True, 1, 1, 1.0)
    assert judge_retry(failed, True, RetryBudget(0.0)) is RetryVerdict.BUDGET_SPENT
    assert judge_retry(failed, False, RetryBudget(1.0)) is RetryVerdict.NOT_IDEMPOTENT
