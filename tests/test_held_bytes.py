"""Tests of the memory limit for buffered bodies."""

from daisylift.decisions.held_bytes import HeldBytes


def test_many_long_bodies_do_not_fit_at_once() -> None:
    held = HeldBytes(limit=1000)
    taken = [held.take(400) for _ in range(5)]
    assert taken == [True, True, False, False, False]
    held.release(400)
    assert held.take(400)


def test_one_body_always_fits_an_idle_vm() -> None:
    held = HeldBytes(limit=1000)
    assert held.take(5000)
    assert not held.take(1)
