"""A timer service that calls its subscribers periodically."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

Callback = Callable[[], Awaitable[None]]


class TimerService:
    """Runs every periodic call of the process, with one task per subscription.

    A callback that takes longer than its period delays only its own next call.
    ``on_failure`` is called with the name of a callback that raised an exception.
    """

    def __init__(self, on_failure: Callable[[str], None] = lambda name: None) -> None:
        self._on_failure = on_failure
        self._tasks: list[asyncio.Task[None]] = []

    def subscribe(self, period_seconds: float, callback: Callback) -> None:
        """Call the callback once per period, for the first time after one period."""
        call = self._call_each_period(period_seconds, callback)
        self._tasks.append(asyncio.create_task(call))

    async def start(self) -> None:
        """Do nothing; calls start with the subscription."""

    async def stop(self) -> None:
        """End all periodic calls."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _call_each_period(
        self, period_seconds: float, callback: Callback
    ) -> None:
        name = getattr(callback, '__name__', type(callback).__name__)
        while True:
            await asyncio.sleep(period_seconds)
            try:
                await callback()
            except Exception:
                logger.bind(call=name).exception(
                    'periodic call failed; it is called again after its period'
                )
                self._on_failure(name)
