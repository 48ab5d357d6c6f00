"""Tests that a tenant that sends many times its usual takes room only from itself."""

import random

import pytest

from daisylift.decisions.tenant_shares import MAX_TENANTS, Standing, TenantShares
from daisylift.decisions.wait_queue import MAX_WAITING, Waiter, WaitQueue

TENANTS = 40
SLOTS_PER_SECOND = 100.0
SECONDS = 30.0
HOT_FROM, HOT_UNTIL = 10.0, 25.0


def replay(
    hot_times: float,
    *,
    has_caps: bool,
    load: float = 0.95,
    low_priority: frozenset[int] = frozenset(),
) -> dict[str, float]:
    """Return, by tenant, the served share of its requests while one is hot.

    Arrivals at random; tenant t-3 sends ``hot_times`` its usual. A cap of 1.6 times the
    usual thins what reaches the queue, and what it refuses is not counted.
    """
    rng = random.Random(5)
    queue = WaitQueue()
    sizes = [1.0 / (number + 1) ** 1.2 for number in range(TENANTS)]
    usual = [load * SLOTS_PER_SECOND * size / sum(sizes) for size in sizes]
    asked = dict.fromkeys(range(TENANTS), 0)
    served = dict.fromkeys(range(TENANTS), 0)
    arrivals = []
    for number, per_second in enumerate(usual):
        now = 0.0
        while now < SECONDS:
            is_hot = number == 3 and HOT_FROM <= now < HOT_UNTIL
            factor = hot_times if is_hot else 1.0
            factor = min(factor, 1.6) if has_caps else factor
            now += rng.expovariate(per_second * factor)
            arrivals.append((now, number))
    clock = [0.0]
    for now, number in sorted(arrivals):
        while clock[0] < now:
            clock[0] += 1.0 / SLOTS_PER_SECOND
            if queue.waiters:
                queue.wake_next(clock[0])
                queue.record_departure(clock[0])
            for waiter in list(queue.waiters):
                if waiter.latest_start_at < clock[0]:
                    queue.remove(waiter)
        cap = 1.6 * usual[number] if has_caps else None
        name = f't-{number}'
        queue.shares.record_request(name, cap, now)
        counts = HOT_FROM + 1.0 <= now < HOT_UNTIL
        asked[number] += counts

        def wake(number: int = number, counts: bool = counts) -> bool:
            served[number] += counts
            queue.shares.record_start(f't-{number}', clock[0])
            return True

        waiter = Waiter(
            1 + (number in low_priority),
            now + 0.6,
            now + 3.0,
            0.1,
            wake,
            name,
            lambda: None,
        )
        if queue.can_wait(waiter, now):
            queue.add(waiter, now)
    return {
        f't-{number}': served[number] / asked[number]
        for number in asked
        if asked[number]
    } | {'all': sum(served.values()) / sum(asked.values())}


@pytest.mark.parametrize('has_caps', [True, False])
@pytest.mark.parametrize('hot_times', [4.0, 7.5])
def test_a_hot_tenant_takes_room_only_from_itself(
    has_caps: bool, hot_times: float
) -> None:
    hot = replay(hot_times, has_caps=has_caps)
    worst, calm = worst_tenth(hot), worst_tenth(replay(1.0, has_caps=has_caps))
    print(
        f'caps {has_caps}, {hot_times} times: worst tenth of the others {worst:.3f} '
        f'(calm {calm:.3f}), hot {hot["t-3"]:.3f}, all {hot["all"]:.3f}'
    )
    assert worst >= 0.8 * calm
    assert hot['t-3'] >= 0.25 * hot['all']


def worst_tenth(shares: dict[str, float]) -> float:
    others = sorted(v for n, v in shares.items() if n not in ('t-3', 'all'))
    return sum(others[: TENANTS // 10]) / (TENANTS // 10)


def test_no_tenant_starves_below_more_urgent_ones() -> None:
    """Twice what the slots serve; a fifth of the tenants has a lower priority."""
    low = frozenset(range(0, TENANTS, 5))
    shares = replay(1.0, has_caps=True, load=2.0, low_priority=low)
    worst = min(shares.values())
    print(f'worst tenant {worst:.3f}, all {shares["all"]:.3f}')
    assert worst >= 0.25 * shares['all']


def test_a_request_leaves_a_full_queue_for_one_of_a_tenant_within_its_part() -> None:
    queue, evicted = WaitQueue(), []
    for number in range(400):
        queue.shares.record_request('hot', 10.0, number * 0.01)
        queue.shares.record_start('hot', number * 0.01)
        if number % 40 == 0:
            queue.shares.record_request('calm', 10.0, number * 0.01)
            queue.shares.record_start('calm', number * 0.01)
    assert queue.shares.standing('hot', 4.0) > Standing.WITHIN

    def a_waiter(tenant: str | None) -> Waiter:
        evict = (lambda: evicted.append(tenant)) if tenant else None
        return Waiter(1, 5.0, 900.0, 0.1, lambda: True, tenant, evict)

    for _ in range(MAX_WAITING):
        queue.add(a_waiter('hot'), 4.0)
    assert not queue.can_wait(a_waiter('hot'), 4.0)
    assert not queue.can_wait(a_waiter(None), 4.0)
    assert queue.can_wait(a_waiter('calm'), 4.0)
    queue.add(a_waiter('calm'), 4.0)
    assert evicted == ['hot']
    assert len(queue.waiters) == MAX_WAITING


def test_memory_is_bounded() -> None:
    shares = TenantShares()
    for number in range(3 * MAX_TENANTS):
        shares.record_request(f't-{number}', None, number * 0.001)
    assert len(shares._records) == MAX_TENANTS
