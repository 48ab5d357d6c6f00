"""Replays a start whose ports are held by a predecessor that stops, or for ever."""

from daisylift.decisions.port_retry import (
    MARGIN_SECONDS,
    MAX_DELAY_SECONDS,
    PortRetry,
)

GRACE_SECONDS = 6.0


def tries_until(retry: PortRetry, now: float, freed_at: float) -> tuple[int, float]:
    """Return the number of tries and the time of the last one."""
    tries = 1
    while now < freed_at and (delay := retry.delay(tries, now)) is not None:
        assert 0.0 < delay <= MAX_DELAY_SECONDS
        now += delay
        tries += 1
    return tries, now


def test_a_port_is_opened_soon_after_it_is_freed() -> None:
    for freed_at in (10.01, 10.2, 13.0, 15.6, 16.0):
        _, opened_at = tries_until(PortRetry(10.0, GRACE_SECONDS), 10.0, freed_at)
        assert freed_at <= opened_at <= freed_at + MAX_DELAY_SECONDS


def test_a_port_that_stays_held_is_given_up() -> None:
    tries, ended_at = tries_until(PortRetry(10.0, GRACE_SECONDS), 10.0, 1e9)
    assert ended_at == 10.0 + GRACE_SECONDS + MARGIN_SECONDS
    assert tries < 30
