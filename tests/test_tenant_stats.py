"""Tests of the figures of tenants: bounded, and the worst served are not averaged."""

from daisylift.decisions.tenant_stats import (
    MAX_NAMED_TENANTS,
    OTHER_TENANTS,
    TenantStats,
)


def test_the_worst_tenth_shows_who_is_pushed_aside() -> None:
    """One tenant takes all the room, and two small ones get nothing."""
    stats = TenantStats()
    for number in range(20):
        for _ in range(1000 if number == 0 else 10):
            is_served = number not in (7, 9)
            outcome = 'answered' if is_served else 'refused'
            stats.record(f't{number}', outcome, is_served=is_served)
    stats.record('rare', 'refused', is_served=False)
    report = stats.close_period()
    assert report.worst_names == ('t7', 't9')
    assert report.worst_served_share == 0.0
    assert report.counts_by_tenant['t0'] == {'answered': 1000}


def test_the_names_are_bounded_and_the_sums_kept() -> None:
    """10,000 tenants would make as many time series."""
    stats = TenantStats()
    for number in range(10_000):
        stats.record(f't{number}', 'answered', is_served=True)
    report = stats.close_period()
    assert len(report.counts_by_tenant) == MAX_NAMED_TENANTS + 1
    assert report.counts_by_tenant[OTHER_TENANTS]['answered'] == 10_000 - 20
    assert stats.close_period().counts_by_tenant == {}
    assert stats.close_period().worst_served_share is None
