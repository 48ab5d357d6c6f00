"""Tests of the wait queue: its order, its bound and the refusal of hopeless waits."""

import random

import pytest

from daisylift.decisions.wait_queue import (
    MAX_RETRY_AFTER_SECONDS,
    MAX_WAITING,
    MIN_RETRY_AFTER_SECONDS,
    Waiter,
    WaitQueue,
    retry_after_seconds,
)


def a_waiter(
    woken: list[str] | None = None,
    name: str = '',
    priority: int = 1,
    target_at: float = 0.2,
    deadline_at: float = 1.0,
    takes: bool = True,
) -> Waiter:
    def wake() -> bool:
        if takes and woken is not None:
            woken.append(name)
        return takes

    return Waiter(priority, target_at, deadline_at, work_seconds=0.07, wake=wake)


def serve(queue: WaitQueue, per_second: int, now: float) -> None:
    for number in range(per_second):
        queue.record_departure(now - 1.0 + (number + 0.5) / per_second)


def test_urgent_priority_then_on_time_then_late() -> None:
    queue, woken = WaitQueue(), []
    queue.add(a_waiter(woken, 'late', target_at=0.0))
    queue.add(a_waiter(woken, 'later', target_at=0.5))
    queue.add(a_waiter(woken, 'sooner', target_at=0.3))
    queue.add(a_waiter(woken, 'urgent', priority=0, target_at=0.9))
    for _ in range(4):
        queue.wake_next(now=0.1)
    assert woken == ['urgent', 'sooner', 'later', 'late']


def test_a_slot_that_the_first_can_not_use_goes_to_the_next() -> None:
    queue, woken = WaitQueue(), []
    queue.add(a_waiter(takes=False))
    queue.add(a_waiter(woken, 'second', target_at=0.4))
    queue.wake_next(0.0)
    assert woken == ['second']
    assert len(queue.waiters) == 1


def test_a_hopeless_wait_is_refused_at_once() -> None:
    queue = WaitQueue()
    serve(queue, per_second=50, now=0.0)
    assert queue.can_wait(a_waiter(), 0.0)
    for _ in range(30):
        queue.add(a_waiter())
    assert not queue.can_wait(a_waiter(), 0.0)


def test_a_late_response_is_accepted_within_the_deadline() -> None:
    queue = WaitQueue()
    serve(queue, per_second=50, now=0.0)
    for _ in range(10):
        queue.add(a_waiter())
    assert queue.can_wait(a_waiter(target_at=0.2, deadline_at=1.0), 0.0)
    assert not queue.can_wait(a_waiter(target_at=0.2, deadline_at=0.2), 0.0)


def test_lower_priorities_do_not_count_for_the_wait() -> None:
    queue = WaitQueue()
    serve(queue, per_second=50, now=0.0)
    for _ in range(100):
        queue.add(a_waiter(priority=2))
    assert queue.can_wait(a_waiter(priority=1), 0.0)
    assert not queue.can_wait(a_waiter(priority=2), 0.0)


def test_the_queue_is_bounded() -> None:
    queue = WaitQueue()
    for _ in range(MAX_WAITING):
        queue.add(a_waiter())
    assert not queue.can_wait(a_waiter(deadline_at=1000.0), 0.0)


def test_old_departures_are_discarded() -> None:
    queue = WaitQueue()
    serve(queue, per_second=100, now=0.0)
    assert queue.expected_wait(0.0, 1) == pytest.approx(0.01, rel=0.1)
    assert queue.expected_wait(5.0, 1) == pytest.approx(1.0)


def test_retry_times_are_spread_and_bounded() -> None:
    rng = random.Random(1)
    times = [retry_after_seconds(0.4, rng.random()) for _ in range(200)]
    assert min(times) < 0.25 < 0.55 < max(times)
    assert retry_after_seconds(0.0, 0.5) == MIN_RETRY_AFTER_SECONDS
    assert retry_after_seconds(90.0, 0.5) == MAX_RETRY_AFTER_SECONDS


def test_a_wave_is_served_late_rather_than_refused() -> None:
    """A second of 150 requests for 100 slots/s follows a calm one; few are refused."""
    queue = WaitQueue()
    rng = random.Random(2)
    served = refused = 0
    now, free_at = 0.0, 0.0
    waiting: list[tuple[float, Waiter]] = []
    serve(queue, per_second=100, now=0.0)
    while now < 1.0:
        now += rng.expovariate(150.0)
        while free_at < now and waiting:
            free_at = max(free_at, waiting[0][0]) + 0.01
            queue.record_departure(free_at)
            _, waiter = waiting.pop(0)
            queue.remove(waiter)
            served += 1
        waiter = a_waiter(target_at=now + 0.2, deadline_at=now + 1.0)
        if queue.can_wait(waiter, now):
            queue.add(waiter)
            waiting.append((now, waiter))
        else:
            refused += 1
    assert refused <= 0.1 * (served + refused + len(waiting))


def test_servers_that_accept_few_requests_bound_the_wait() -> None:
    """The departures still show the rate from before the limit."""
    queue = WaitQueue()
    serve(queue, 40, now=0.0)
    assert queue.can_wait(a_waiter(), 0.0)
    assert not queue.can_wait(a_waiter(), 0.0, max_per_second=1.0)
    assert not queue.can_wait(a_waiter(), 0.0, max_per_second=0.0)


def test_a_calm_queue_expects_the_accepted_rate() -> None:
    queue = WaitQueue()
    assert queue.expected_wait(0.0, 1, max_per_second=10.0) == pytest.approx(0.1)
    queue.add(a_waiter())
    serve(queue, 4, now=0.0)
    assert queue.expected_wait(0.0, 1, max_per_second=10.0) == pytest.approx(0.5)
