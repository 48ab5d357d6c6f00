"""Runs the endless tasks of the process and restarts those that end."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

RESTART_SECONDS = 0.5  # pause, so that a task that always fails does not use the CPU

Run = Callable[[], Awaitable[None]]


class TaskSupervisor:
    """Runs endless tasks by name; one that ends is logged, counted and run again.

    ``on_restart`` is called with the name of the task before each restart.
    """

    def __init__(
        self,
        on_restart: Callable[[str], None] = lambda name: None,
        restart_seconds: float = RESTART_SECONDS,
    ) -> None:
        self._on_restart = on_restart
        self._restart_seconds = restart_seconds
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, run: Run) -> None:
        """Run the task until the supervisor is stopped."""
        self._tasks_by_name[name] = asyncio.create_task(self._supervise(name, run))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks_by_name.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks_by_name.clear()

    async def _supervise(self, name: str, run: Run) -> None:
        log = logger.bind(task=name, restart_seconds=self._restart_seconds)
        while True:
            try:
                await run()
            except Exception:
                log.exception('task failed, it is run again')
            else:
                log.error('task ended, it is run again')
            self._on_restart(name)
            await asyncio.sleep(self._restart_seconds)
