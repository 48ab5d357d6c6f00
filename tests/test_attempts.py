"""Tests of a process's memory of keyed requests."""

import pytest

from daisylift.decisions.attempts import AttemptMemory, MemoryFull
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


def begin(memory, key, wanted='f', now=0.0):
    return memory.begin(key, wanted, ordinal=0, now=now, life_seconds=10.0)


@pytest.fixture
def memory():
    return AttemptMemory('inc', max_entries=3, max_answers_bytes=10)


@pytest.mark.parametrize(
    ('state', 'kept', 'expected'),
    [
        (ExecutionState.ANSWERED, answer(), Replay(answer())),
        (ExecutionState.ANSWERED, None, NotKept()),
        (ExecutionState.UNKNOWN, None, OutcomeUnknown()),
    ],
)
def test_repeat_after_the_end(memory, state, kept, expected):
    assert isinstance(begin(memory, 'k'), Run)
    assert begin(memory, 'k') == Wait()
    memory.end('k', state, kept)
    assert begin(memory, 'k') == expected
    assert begin(memory, 'k', wanted='other') == KeyReused()


def test_key_that_did_not_run_runs_in_a_fresh_attempt(memory):
    first = begin(memory, 'k')
    memory.end('k', ExecutionState.NOT_RUN)
    second = begin(memory, 'k')
    assert first.attempt != second.attempt


def test_full_memory_refuses_rather_than_forgets(memory):
    for key in 'abc':
        begin(memory, key)
        memory.end(key, ExecutionState.ANSWERED)
    assert begin(memory, 'd') == MemoryFull()
    assert begin(memory, 'a') == NotKept()


def test_life_over_makes_room_but_never_for_what_runs(memory):
    for key in 'abc':
        begin(memory, key)
    memory.end('b', ExecutionState.ANSWERED)
    assert isinstance(begin(memory, 'd', now=11.0), Run)
    assert memory.state('b') is None
    assert memory.state('a') is ExecutionState.RUNNING


def test_answers_are_dropped_oldest_first_and_the_keys_stay(memory):
    for key in 'abc':
        begin(memory, key)
        memory.end(key, ExecutionState.ANSWERED, answer(4))
    assert memory.answers_bytes == 8
    assert begin(memory, 'a') == NotKept()
    assert begin(memory, 'c') == Replay(answer(4))


def test_answer_over_the_bound_is_not_kept(memory):
    begin(memory, 'a')
    memory.end('a', ExecutionState.ANSWERED, answer(11))
    assert begin(memory, 'a') == NotKept()
    assert memory.answers_bytes == 0


def test_expiry_gives_the_bytes_of_answers_back(memory):
    begin(memory, 'a')
    memory.end('a', ExecutionState.ANSWERED, answer(4))
    memory.expire(10.0)
    assert (len(memory), memory.answers_bytes) == (0, 0)
