"""Tests of the detection of poison requests, which crash backend servers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions import poison_requests
from daisylift.decisions.poison_requests import PoisonRequestCounter, request_digest

DIGEST = b'd' * 16


def test_second_crash_blocks_the_third_run():
    counter = PoisonRequestCounter()
    assert counter.record_crash(DIGEST, 1, 0.0)
    assert not counter.is_blocked(DIGEST, 0.0)
    assert counter.record_crash(DIGEST, 2, 1.0)
    assert counter.is_blocked(DIGEST, 1.0)
    assert not counter.is_blocked(b'e' * 16, 1.0)


def test_repeated_notice_counts_once():
    counter = PoisonRequestCounter()
    counter.record_crash(DIGEST, 1, 0.0)
    assert not counter.record_crash(DIGEST, 1, 0.1)
    assert not counter.is_blocked(DIGEST, 0.1)


def test_blocked_request_may_run_again_after_expiry():
    counter = PoisonRequestCounter()
    counter.record_crash(DIGEST, 1, 0.0)
    counter.record_crash(DIGEST, 2, 10.0)
    assert counter.is_blocked(DIGEST, 10.0 + poison_requests.CRASH_EXPIRY_SECONDS - 1.0)
    assert not counter.is_blocked(DIGEST, 10.0 + poison_requests.CRASH_EXPIRY_SECONDS)


def blocked_counter() -> PoisonRequestCounter:
    counter = PoisonRequestCounter()
    counter.record_crash(DIGEST, 1, 0.0)
    counter.record_crash(DIGEST, 2, 0.0)
    return counter


def test_a_request_that_comes_again_stays_blocked_at_nodes_that_it_does_not_reach():
    """It came each 10 s at one node and was run again 300 s after its last crash."""
    here, there = blocked_counter(), blocked_counter()
    told = 0
    for now in range(10, int(poison_requests.MAX_BLOCK_SECONDS), 10):
        assert here.is_blocked(DIGEST, now)
        if here.record_repeat(DIGEST, now):
            told += 1
            there.record_repeat(DIGEST, now)
        assert there.is_blocked(DIGEST, now)
    assert told < 15
    assert not here.is_blocked(DIGEST, poison_requests.MAX_BLOCK_SECONDS)


def test_repeats_of_requests_that_are_not_blocked_change_nothing():
    counter = PoisonRequestCounter()
    counter.record_crash(DIGEST, 1, 0.0)
    assert not counter.record_repeat(DIGEST, 200.0)
    assert not counter.is_blocked(DIGEST, 200.0)
    assert counter.known_crashes(301.0) == []


def test_a_node_learns_what_another_knows_and_no_more():
    known = blocked_counter().known_crashes(100.0)
    started = PoisonRequestCounter()
    for each in known * 2:
        started.learn(each, 5.0)
    assert started.is_blocked(DIGEST, 204.9)
    assert not started.is_blocked(DIGEST, 205.0)
    cleared = PoisonRequestCounter()
    cleared.record_response(DIGEST, 4.0)
    cleared.learn(known[0], 5.0)
    assert not cleared.is_blocked(DIGEST, 5.0)


def test_answer_clears_a_request_for_a_while():
    counter = PoisonRequestCounter()
    counter.record_crash(DIGEST, 1, 0.0)
    assert counter.record_response(DIGEST, 1.0)
    assert not counter.record_crash(DIGEST, 2, 2.0)
    assert not counter.record_crash(DIGEST, 3, 2.0)
    after = 1.0 + poison_requests.CLEARED_SECONDS
    assert counter.record_crash(DIGEST, 4, after)
    assert counter.record_crash(DIGEST, 5, after)
    assert counter.is_blocked(DIGEST, after)


@given(st.lists(st.tuples(st.binary(max_size=2), st.booleans()), max_size=80))
@settings(derandomize=True, deadline=None)
def test_only_repeated_breaks_without_an_answer_stop_a_request(steps):
    counter = PoisonRequestCounter()
    counted: dict[bytes, int] = {}
    cleared = set()
    for number, (digest, broke) in enumerate(steps):
        if not broke:
            counter.record_response(digest, 1.0)
            counted.pop(digest, None)
            cleared.add(digest)
            continue
        counter.record_crash(digest, number, 1.0)
        if digest not in cleared:
            counted[digest] = counted.get(digest, 0) + 1
        stopped = counter.is_blocked(digest, 1.0)
        assert stopped == (counted.get(digest, 0) >= poison_requests.MAX_CRASHES)


def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(poison_requests, 'MAX_DIGESTS', 10)
    monkeypatch.setattr(poison_requests, 'MAX_CLEARED', 10)
    counter = PoisonRequestCounter()
    for number in range(100):
        counter.record_crash(number.to_bytes(16, 'big'), 1, 0.0)
        counter.record_response((1000 + number).to_bytes(16, 'big'), 0.0)
    assert len(counter) == 10


def test_digest_distinguishes_requests():
    parts = [
        ('till', 'POST', '/pay', b'1', '1'),
        ('til', 'lPOST', '/pay', b'1', '1'),
        ('till', 'POST', '/pay', b'2', '1'),
        ('till', 'POST', '/pay', b'1', '2'),
        ('till', 'PUT', '/pay', b'1', '1'),
        ('plates', 'POST', '/pay', b'1', '1'),
    ]
    assert len({request_digest(*one) for one in parts}) == len(parts)
    assert request_digest(*parts[0]) == request_digest(*parts[0])
