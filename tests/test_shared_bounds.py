"""Bounds over all nodes hold without messages: retries and cold servers."""

from daisylift.decisions.cold_rate import ColdRate, ColdTerms
from daisylift.decisions.retry_budget import RetryBudget, RetryTerms

NODES = 7


def test_retries_of_all_nodes_stay_within_the_bound() -> None:
    terms = RetryTerms(ratio=0.2, allowance=58.0, window_seconds=10.0)
    budgets = [RetryBudget(terms) for _ in range(NODES)]
    taken = requests = 0
    for step in range(1000):
        now = step * 0.01
        for budget in budgets:
            budget.note_request('till', now)
            requests += 1
            taken += budget.take('till', NODES, now)
    assert taken <= 0.2 * requests + 58.0
    assert taken >= 0.7 * 0.2 * requests


def test_the_allowance_alone_is_divided() -> None:
    terms = RetryTerms(ratio=0.2, allowance=58.0, window_seconds=10.0)
    taken = 0
    for _ in range(NODES):
        budget = RetryBudget(terms)
        taken += sum(budget.take('till', NODES, 0.0) for _ in range(100))
    assert 0 < taken <= 58


def test_the_window_slides() -> None:
    budget = RetryBudget(RetryTerms(ratio=0.0, allowance=2.0, window_seconds=10.0))
    assert budget.take('till', 1, 0.0)
    assert not budget.take('till', 1, 9.9)
    assert budget.take('till', 1, 10.1)


def test_services_have_budgets_of_their_own() -> None:
    budget = RetryBudget(RetryTerms(ratio=0.0, allowance=2.0, window_seconds=10.0))
    assert budget.take('till', 1, 0.0)
    assert budget.take('plates', 1, 0.0)


def test_a_cold_server_gets_no_more_than_its_bound_from_all_nodes() -> None:
    terms = ColdTerms(multiplier=1.5, slack=5.0)
    rates = [ColdRate(terms) for _ in range(NODES)]
    sends: list[float] = []
    for step in range(300):
        now = step * 0.01
        for rate in rates:
            if rate.has_room('i-1', 19.0, NODES, now):
                rate.note_send('i-1', now)
                sends.append(now)
    for start in sends:
        inside = sum(start <= each < start + 1.0 for each in sends)
        assert inside <= 19.0 * 1.5 + 5.0


def test_forgetting_a_server_frees_its_record() -> None:
    rate = ColdRate(ColdTerms(multiplier=1.0, slack=0.0))
    rate.note_send('i-1', 0.0)
    assert not rate.has_room('i-1', 1.0, 1, 0.1)
    rate.forget('i-1')
    assert rate.has_room('i-1', 1.0, 1, 0.1)
