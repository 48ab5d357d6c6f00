"""Tests of the memory limit for responses that are being read."""

from hypothesis import given
from hypothesis import strategies as st

from daisylift.decisions.response_memory import ResponseMemory


def test_the_longest_response_is_broken_off() -> None:
    memory: ResponseMemory[str] = ResponseMemory(limit=1000)
    assert memory.add('endless', 600) == []
    assert memory.add('usual', 300) == []
    assert memory.add('other', 200) == ['endless']
    assert memory.held == 500


def test_the_response_that_asks_may_be_the_longest() -> None:
    memory: ResponseMemory[str] = ResponseMemory(limit=1000)
    memory.add('usual', 300)
    assert memory.add('endless', 900) == ['endless']
    assert memory.held == 300


def test_one_response_may_exceed_the_limit() -> None:
    memory: ResponseMemory[str] = ResponseMemory(limit=1000)
    assert memory.add('a', 5000) == []
    assert memory.add('b', 1) == ['a']


def test_a_released_response_makes_room() -> None:
    memory: ResponseMemory[str] = ResponseMemory(limit=1000)
    memory.add('a', 900)
    memory.release('a')
    memory.release('a')
    assert memory.held == 0
    assert memory.add('b', 900) == []


# Replay of the load pattern: servers without end beside others of usual length. Before,
# the response that asked at the full limit was broken off, whoever filled it.
@given(st.lists(st.integers(min_value=0, max_value=39), min_size=400, max_size=400))
def test_responses_of_usual_length_survive_those_without_end(order: list[int]) -> None:
    memory: ResponseMemory[int] = ResponseMemory(limit=8000)
    memory.add(-1, 50)  # a response on its own may exceed the limit
    received = [0] * 40
    for holder in order:
        is_usual = holder >= 20
        if is_usual and received[holder] >= 100:
            continue
        received[holder] += 50 if is_usual else 1000
        broken_off = memory.add(holder, 50 if is_usual else 1000)
        assert memory.held <= 8000
        assert all(0 <= each < 20 for each in broken_off)
