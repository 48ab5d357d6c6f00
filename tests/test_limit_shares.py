"""Tests that the limits of servers hold over all nodes without messages.

Each node decides alone; the nodes know the registered nodes, and nothing else of each
other, so the sums also hold while some of them are cut off.
"""

import random
from collections import deque
from collections.abc import Mapping, Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from daisylift.decisions.limit_shares import (
    MIN_PER_SECOND,
    LimitShare,
    LimitShares,
)
from daisylift.decisions.server_limits import ServerLimit

REGIONS = ('arusha', 'dar', 'mwanza')
WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.02
LOAD_SECONDS = 10.0
SIZES = (1, 7, 27, 79, 930)


def a_fleet(size: int) -> dict[str, str]:
    return {f'entry-{number}': REGIONS[number % 3] for number in range(size)}


def shares_of(fleet: Mapping[str, str]) -> dict[str, LimitShares]:
    shares = {name: LimitShares(name) for name in fleet}
    for each in shares.values():
        each.set_nodes(fleet)
    return shares


def bound(per_second: float) -> float:
    """Return the platform's bound on the requests of one window."""
    return 1.5 * per_second * WINDOW_SECONDS + 5.0


def most_in_window(sends: Sequence[float]) -> int:
    window: deque[float] = deque()
    most = 0
    for at in sends:
        window.append(at)
        while window[0] <= at - WINDOW_SECONDS:
            window.popleft()
        most = max(most, len(window))
    return most


class Sender:
    """A node that sends to one server whenever its share allows it."""

    def __init__(self, shares: LimitShares, limit: ServerLimit, region: str) -> None:
        self._shares = shares
        self._limit = limit
        self._region = region

    def share(self) -> LimitShare:
        return self._shares.share('i-1', self._region, self._limit.per_second or 0.0)

    def try_send(self, now: float) -> bool:
        share = self.share()
        if not self._limit.has_capacity(share, now):
            return False
        self._limit.record_send(share, now)
        return True


def told(per_second: float, now: float = 0.0) -> ServerLimit:
    limit = ServerLimit()
    limit.record_response(per_second, sent_at=now - 0.1, now=now)
    return limit


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('per_second', [0.0, 0.4, 1.0, 2.5, 7.3, 40.0, 300.0])
def test_all_nodes_together_stay_within_a_limit_under_any_demand(
    size: int, per_second: float
) -> None:
    """All nodes hear of the limit at once, and each has more requests than allowed."""
    senders = [
        Sender(shares, told(per_second), 'arusha')
        for shares in shares_of(a_fleet(size)).values()
    ]
    rng = random.Random(size)
    sends: list[float] = []
    for step in range(int(LOAD_SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        rng.shuffle(senders)
        for sender in senders:
            while sender.try_send(now):
                sends.append(now)
    assert most_in_window(sends) <= bound(per_second)
    rate = max(per_second, MIN_PER_SECOND)
    assert len(sends) >= 0.85 * rate * LOAD_SECONDS - 1.0


@pytest.mark.parametrize('size', SIZES)
def test_bursts_after_a_pause_stay_within_the_limit(size: int) -> None:
    senders = [
        Sender(shares, told(7.3), 'dar') for shares in shares_of(a_fleet(size)).values()
    ]
    sends = [
        now
        for step in range(int(WINDOW_SECONDS / STEP_SECONDS))
        for now in (9.0 + step * STEP_SECONDS,)
        for sender in senders
        if sender.try_send(now)
    ]
    assert 0 < len(sends) <= bound(7.3)


@given(
    size=st.integers(min_value=1, max_value=100),
    per_second=st.floats(min_value=0.0, max_value=1e6),
    region=st.sampled_from([*REGIONS, '', 'elsewhere']),
)
def test_the_shares_of_a_limit_add_up_to_it(
    size: int, per_second: float, region: str
) -> None:
    fleet = a_fleet(size)
    shares = [
        each.share('i-1', region, per_second).per_second
        for each in shares_of(fleet).values()
    ]
    expected = max(per_second, MIN_PER_SECOND)
    assert sum(shares) == pytest.approx(expected)
    assert sum(share > 0.0 for share in shares) <= max(1.0, per_second)


def test_a_node_that_is_not_registered_has_no_share() -> None:
    fleet = a_fleet(7)
    late = LimitShares('entry-8')
    late.set_nodes(fleet)
    assert late.share('i-1', 'dar', 70.0).per_second == 0.0


def test_nodes_in_the_region_of_the_server_have_larger_shares() -> None:
    fleet = a_fleet(7)
    by_name = {
        name: each.share('i-1', 'dar', 14.0).per_second
        for name, each in shares_of(fleet).items()
    }
    near = sum(share for name, share in by_name.items() if fleet[name] == 'dar')
    assert 0.7 * 14.0 < near < 14.0
    assert all(by_name.values())


@pytest.mark.parametrize(('size', 'servers'), [(79, 60), (930, 6)])
def test_different_servers_are_dealt_to_different_nodes(
    size: int, servers: int
) -> None:
    fleet = a_fleet(size)
    dealt = dict.fromkeys(fleet, 0)
    for name, each in shares_of(fleet).items():
        for number in range(servers):
            server_id = f'i-{number}'
            dealt[name] += (
                each.share(server_id, REGIONS[number % 3], 9.0).per_second > 0
            )
    assert sum(dealt.values()) == servers * 9
    assert sum(count > 0 for count in dealt.values()) > servers * 9 / 2 * min(
        1.0, size / (servers * 9)
    )


@pytest.mark.parametrize('size', [7, 79])
def test_nodes_that_hear_nothing_of_each_other_stay_within_the_limit(
    size: int,
) -> None:
    """Nodes without a share ask the server themselves, beside those with a share."""
    senders = [
        Sender(shares, told(3.0), 'dar') for shares in shares_of(a_fleet(size)).values()
    ]
    sends: list[float] = []
    probes = 0
    for step in range(int(300.0 / 0.1)):
        now = step * 0.1
        for sender in senders:
            if sender.try_send(now):
                sends.append(now)
                has_share = sender.share().per_second > 0.0
                probes += not has_share
    assert probes >= size - 3
    assert most_in_window(sends) <= bound(3.0)


def test_a_lowered_limit_counts_from_the_next_request() -> None:
    shares = LimitShares('entry-0')
    shares.set_nodes({'entry-0': 'arusha'})
    limit = told(40.0)
    sender = Sender(shares, limit, 'arusha')
    while sender.try_send(5.0):
        pass
    limit.record_response(2.0, sent_at=5.0, now=5.0)
    assert not sender.try_send(5.4)
    assert sender.try_send(5.6)
    assert not sender.try_send(5.7)


def test_a_limit_that_changes_with_each_response_needs_little_memory() -> None:
    shares = LimitShares('entry-0')
    shares.set_nodes(a_fleet(7))
    for step in range(1000):
        shares.share('i-1', 'dar', 9.0 + step / 1000.0)
    assert len(shares._parts_by_id) == 1
    shares.discard('i-1')
    assert not shares._parts_by_id
