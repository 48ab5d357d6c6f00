"""Tests of the memory limit for buffered bodies."""

from daisylift.decisions.buffered_bytes import BufferedBytes


def test_many_long_bodies_do_not_fit_at_once() -> None:
    buffered = BufferedBytes(limit=1000)
    reserved = [buffered.reserve(400) for _ in range(5)]
    assert reserved == [True, True, False, False, False]
    buffered.release(400)
    assert buffered.reserve(400)


def test_one_body_always_fits_an_idle_vm() -> None:
    buffered = BufferedBytes(limit=1000)
    assert buffered.reserve(5000)
    assert not buffered.reserve(1)
