"""Tests of the detection of poison requests, which crash backend servers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions import breaking
from daisylift.decisions.breaking import BreakingRequests, request_digest

DIGEST = b'd' * 16


def test_second_break_stops_the_third_run():
    requests = BreakingRequests()
    assert requests.broke(DIGEST, 1, 0.0)
    assert not requests.is_stopped(DIGEST, 0.0)
    assert requests.broke(DIGEST, 2, 1.0)
    assert requests.is_stopped(DIGEST, 1.0)
    assert not requests.is_stopped(b'e' * 16, 1.0)


def test_notice_that_comes_twice_counts_once():
    requests = BreakingRequests()
    requests.broke(DIGEST, 1, 0.0)
    assert not requests.broke(DIGEST, 1, 0.1)
    assert not requests.is_stopped(DIGEST, 0.1)


def test_stopped_request_may_run_again_after_a_while():
    requests = BreakingRequests()
    requests.broke(DIGEST, 1, 0.0)
    requests.broke(DIGEST, 2, 10.0)
    assert requests.is_stopped(DIGEST, 10.0 + breaking.BREAK_SECONDS - 1.0)
    assert not requests.is_stopped(DIGEST, 10.0 + breaking.BREAK_SECONDS)


def test_answer_clears_and_vouches_for_a_while():
    requests = BreakingRequests()
    requests.broke(DIGEST, 1, 0.0)
    assert requests.answered(DIGEST, 1.0)
    assert not requests.broke(DIGEST, 2, 2.0)
    assert not requests.broke(DIGEST, 3, 2.0)
    after = 1.0 + breaking.VOUCH_SECONDS
    assert requests.broke(DIGEST, 4, after)
    assert requests.broke(DIGEST, 5, after)
    assert requests.is_stopped(DIGEST, after)


@given(st.lists(st.tuples(st.binary(max_size=2), st.booleans()), max_size=80))
@settings(derandomize=True, deadline=None)
def test_only_repeated_breaks_without_an_answer_stop_a_request(steps):
    requests = BreakingRequests()
    counted: dict[bytes, int] = {}
    vouched = set()
    for number, (digest, broke) in enumerate(steps):
        if not broke:
            requests.answered(digest, 1.0)
            counted.pop(digest, None)
            vouched.add(digest)
            continue
        requests.broke(digest, number, 1.0)
        if digest not in vouched:
            counted[digest] = counted.get(digest, 0) + 1
        stopped = requests.is_stopped(digest, 1.0)
        assert stopped == (counted.get(digest, 0) >= breaking.MAX_BREAKS)


def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(breaking, 'MAX_DIGESTS', 10)
    monkeypatch.setattr(breaking, 'MAX_VOUCHED', 10)
    requests = BreakingRequests()
    for number in range(100):
        requests.broke(number.to_bytes(16, 'big'), 1, 0.0)
        requests.answered((1000 + number).to_bytes(16, 'big'), 0.0)
    assert len(requests) == 10


def test_digest_tells_requests_apart():
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
