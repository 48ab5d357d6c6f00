"""Tests of the timer service."""

import asyncio

from daisylift_node.process.timer import TimerService

PERIOD_SECONDS = 0.001


async def test_failing_call_is_counted_and_called_again():
    calls = asyncio.Queue()

    async def callback():
        calls.put_nowait(None)
        raise ValueError('broken')

    failed = []
    timer = TimerService(failed.append)
    timer.subscribe(PERIOD_SECONDS, callback)
    await calls.get()
    await calls.get()
    await timer.stop()
    assert failed[0] == 'callback'


async def test_slow_call_does_not_delay_others():
    calls = asyncio.Queue()

    async def slow():
        await asyncio.Event().wait()

    async def quick():
        calls.put_nowait(None)

    timer = TimerService()
    timer.subscribe(PERIOD_SECONDS, slow)
    timer.subscribe(PERIOD_SECONDS, quick)
    await calls.get()
    await calls.get()
    await timer.stop()


async def test_nothing_is_called_after_stop():
    calls = []

    async def callback():
        calls.append(None)

    timer = TimerService()
    timer.subscribe(PERIOD_SECONDS, callback)
    await timer.stop()
    before = len(calls)
    await asyncio.sleep(10 * PERIOD_SECONDS)
    assert len(calls) == before
