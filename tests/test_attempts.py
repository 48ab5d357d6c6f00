"""Tests of a process's store of keyed requests."""

import pytest

from daisylift.decisions.attempts import AttemptStore, MemoryFull
from daisylift.decisions.idempotency import (
    ExecutionState,
    KeyReused,
    NotKept,
    OutcomeUnknown,
    Replay,
    Run,
    StoredResponse,
    Wait,
)


def answer(size=1):
    return StoredResponse(status=200, headers=(), body=b'a' * size)


def begin(store, key, wanted='f', now=0.0):
    return store.begin(key, wanted, ordinal=0, now=now, life_seconds=10.0)


@pytest.fixture
def store():
    return AttemptStore('inc', max_entries=3, max_responses_bytes=10)


@pytest.mark.parametrize(
    ('state', 'kept', 'expected'),
    [
        (ExecutionState.ANSWERED, answer(), Replay(answer())),
        (ExecutionState.ANSWERED, None, NotKept()),
        (ExecutionState.UNKNOWN, None, OutcomeUnknown()),
    ],
)
def test_repeat_after_the_end(store, state, kept, expected):
    assert isinstance(begin(store, 'k'), Run)
    assert begin(store, 'k') == Wait()
    store.end('k', state, kept)
    assert begin(store, 'k') == expected
    assert begin(store, 'k', wanted='other') == KeyReused()


def test_key_that_did_not_run_runs_in_a_fresh_attempt(store):
    first = begin(store, 'k')
    store.end('k', ExecutionState.NOT_RUN)
    second = begin(store, 'k')
    assert first.attempt != second.attempt


def test_full_store_refuses_new_keys(store):
    for key in 'abc':
        begin(store, key)
        store.end(key, ExecutionState.ANSWERED)
    assert begin(store, 'd') == MemoryFull()
    assert begin(store, 'a') == NotKept()


def test_only_expired_entries_that_do_not_run_are_evicted(store):
    for key in 'abc':
        begin(store, key)
    store.end('b', ExecutionState.ANSWERED)
    assert isinstance(begin(store, 'd', now=11.0), Run)
    assert store.state('b') is None
    assert store.state('a') is ExecutionState.RUNNING


def test_answers_are_dropped_oldest_first_and_the_keys_stay(store):
    for key in 'abc':
        begin(store, key)
        store.end(key, ExecutionState.ANSWERED, answer(4))
    assert store.responses_bytes == 8
    assert begin(store, 'a') == NotKept()
    assert begin(store, 'c') == Replay(answer(4))


def test_answer_over_the_limit_is_not_kept(store):
    begin(store, 'a')
    store.end('a', ExecutionState.ANSWERED, answer(11))
    assert begin(store, 'a') == NotKept()
    assert store.responses_bytes == 0


def test_expiry_releases_the_bytes_of_answers(store):
    begin(store, 'a')
    store.end('a', ExecutionState.ANSWERED, answer(4))
    store.expire(10.0)
    assert (len(store), store.responses_bytes) == (0, 0)
