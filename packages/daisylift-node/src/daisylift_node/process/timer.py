"""The timer service: parts subscribe to be called at a period."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

Callback = Callable[[], Awaitable[None]]


class TimerService:
    """Owns every periodic call of the process, one task for each subscription.

    A callback that takes longer than its period delays its own next call only.
    """

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def subscribe(self, period_seconds: float, callback: Callback) -> None:
        """Call the callback each period, first after one period."""
        call = _call_each_period(period_seconds, callback)
        self._tasks.append(asyncio.create_task(call))

    async def start(self) -> None:
        """Do nothing; calls begin with each subscription."""

    async def stop(self) -> None:
        """End all periodic calls."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()


async def _call_each_period(period_seconds: float, callback: Callback) -> None:
    while True:
        await asyncio.sleep(period_seconds)
        try:
            await callback()
        except Exception:
            logger.exception('a periodic call failed')
