"""Tests that limits over all nodes hold without messages: retries, cold servers."""

import pytest

from daisylift.decisions.cold_start import ColdStartLimiter, ColdStartLimits
from daisylift.decisions.retry_budget import RetryBudget, RetryLimits

NODES = 7


def test_retries_of_all_nodes_stay_within_the_bound() -> None:
    limits = RetryLimits(ratio=0.2, allowance=58.0, window_seconds=10.0)
    budgets = [RetryBudget(limits) for _ in range(NODES)]
    taken = requests = 0
    for step in range(1000):
        now = step * 0.01
        for budget in budgets:
            budget.record_request('till', now)
            requests += 1
            taken += budget.take('till', NODES, now)
    assert taken <= 0.2 * requests + 58.0
    assert taken >= 0.7 * 0.2 * requests


def test_the_allowance_alone_is_divided() -> None:
    limits = RetryLimits(ratio=0.2, allowance=58.0, window_seconds=10.0)
    taken = 0
    for _ in range(NODES):
        budget = RetryBudget(limits)
        taken += sum(budget.take('till', NODES, 0.0) for _ in range(100))
    assert 0 < taken <= 58


def test_the_window_slides() -> None:
    budget = RetryBudget(RetryLimits(ratio=0.0, allowance=2.0, window_seconds=10.0))
    assert budget.take('till', 1, 0.0)
    assert not budget.take('till', 1, 9.9)
    assert budget.take('till', 1, 10.1)


def test_services_have_budgets_of_their_own() -> None:
    budget = RetryBudget(RetryLimits(ratio=0.0, allowance=2.0, window_seconds=10.0))
    assert budget.take('till', 1, 0.0)
    assert budget.take('plates', 1, 0.0)


@pytest.mark.parametrize(
    ('nodes', 'per_second', 'slack'),
    [(7, 19.0, 5.0), (27, 3.7, 8.0), (79, 2.0, 10.0), (930, 2.0, 10.0)],
)
def test_a_cold_server_gets_no_more_than_its_bound_from_all_nodes(
    nodes: int, per_second: float, slack: float
) -> None:
    """Holds also with more nodes than requests within the bound."""
    names = tuple(f'entry-{number}' for number in range(nodes))
    rates = [ColdStartLimiter(ColdStartLimits(1.5, slack), name) for name in names]
    bound = per_second * 1.5 + slack
    for server in ('i-1', 'i-2', 'i-3'):
        sends: list[float] = []
        for step in range(150):
            now = step * 0.02
            for rate in rates:
                if rate.has_capacity(server, per_second, names, now):
                    rate.record_send(server, now)
                    sends.append(now)
        for start in sends:
            inside = sum(start <= each < start + 1.0 for each in sends)
            assert inside <= bound
        assert len(sends) >= 0.6 * bound * 3.0


def test_forgetting_a_server_frees_its_record() -> None:
    rate = ColdStartLimiter(ColdStartLimits(multiplier=1.0, slack=0.0), 'entry-1')
    names = ('entry-1',)
    rate.record_send('i-1', 0.0)
    assert not rate.has_capacity('i-1', 1.0, names, 0.1)
    rate.discard('i-1')
    assert rate.has_capacity('i-1', 1.0, names, 0.1)
