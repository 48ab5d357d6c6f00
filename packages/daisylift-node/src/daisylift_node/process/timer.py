"""The timer service: parts subscribe to be called at a period."""

from collections.abc import Awaitable, Callable

import aiomisc
from loguru import logger

Callback = Callable[[], Awaitable[None]]


class TimerService:
    """Owns every periodic call of the process.

    A callback that takes longer than its period delays its own next call only.
    """

    def __init__(self) -> None:
        self._periodic: list[aiomisc.PeriodicCallback] = []

    def subscribe(self, period_seconds: float, callback: Callback) -> None:
        """Call the callback each period, first after one period."""
        periodic = aiomisc.PeriodicCallback(_logging_failures(callback))
        periodic.start(period_seconds, delay=period_seconds)
        self._periodic.append(periodic)

    async def start(self) -> None:
        """Do nothing; calls begin with each subscription."""

    async def stop(self) -> None:
        """End all periodic calls."""
        for periodic in self._periodic:
            await periodic.stop(return_exceptions=True)
        self._periodic.clear()


def _logging_failures(callback: Callback) -> Callback:
    async def call() -> None:
        try:
            await callback()
        except Exception:
            logger.exception('a periodic call failed')

    return call
