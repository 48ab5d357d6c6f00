"""Tests of the supervisor of endless tasks.

A task that ended without a log line or a restart left an entry VM without changes of
the store until its process ended.
"""

import asyncio

from daisylift_node.process.supervisor import TaskSupervisor
from tests.utils import LogCapture


async def test_a_failed_task_is_logged_counted_and_run_again(logs: LogCapture) -> None:
    runs: asyncio.Queue[None] = asyncio.Queue()
    restarted: list[str] = []

    async def fail() -> None:
        runs.put_nowait(None)
        raise ValueError('broken')

    supervisor = TaskSupervisor(restarted.append, restart_seconds=0.001)
    supervisor.start('follow', fail)
    await runs.get()
    await runs.get()
    await supervisor.stop()
    assert restarted[0] == 'follow'
    line = logs.first('task failed, it is run again')
    assert line['task'] == 'follow'
    assert line['exception'] == "ValueError('broken')"
    assert line['exception_at'].startswith('fail:')


async def test_a_task_that_returns_is_run_again(logs: LogCapture) -> None:
    runs: asyncio.Queue[None] = asyncio.Queue()

    async def end() -> None:
        runs.put_nowait(None)

    supervisor = TaskSupervisor(restart_seconds=0.001)
    supervisor.start('register', end)
    await runs.get()
    await runs.get()
    await supervisor.stop()
    assert logs.first('task ended, it is run again')['task'] == 'register'


async def test_a_stopped_task_is_not_run_again() -> None:
    runs = []

    async def wait() -> None:
        runs.append(None)
        await asyncio.Event().wait()

    supervisor = TaskSupervisor(restart_seconds=0.001)
    supervisor.start('follow', wait)
    await asyncio.sleep(0.01)
    await supervisor.stop()
    await asyncio.sleep(0.01)
    assert len(runs) == 1
