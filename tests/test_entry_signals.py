"""Signals at every moment of the life of a real VM process.

The failure: when the event loop closed, it gave the signals their default actions, and
one that came then ended the process by the signal.
"""

import asyncio
import os
import signal
from contextlib import suppress
from pathlib import Path

from soak.fleet import GRACE_SECONDS, Fleet
from tests.test_entry_start import a_fleet, end, ignores

SIGNAL_PERIOD_SECONDS = 0.001
RUN_SECONDS = 1.0


async def test_signals_in_series_do_not_end_a_process_before_its_stop(
    tmp_path: Path,
) -> None:
    """SIGHUP from the first line of the program on, SIGTERM also until the end."""
    async with a_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await end(vm)
        await fleet._launch(vm)
        process = vm.process
        assert process is not None
        while not ignores(process.pid, signal.SIGHUP):
            assert process.returncode is None
            await asyncio.sleep(SIGNAL_PERIOD_SECONDS)
        flooding = asyncio.create_task(flood(process, signal.SIGHUP))
        await fleet.wait_until_ready(vm)
        await asyncio.sleep(RUN_SECONDS)
        assert process.returncode is None
        flooding_stop = asyncio.create_task(flood(process, signal.SIGTERM))
        assert await asyncio.wait_for(process.wait(), 2 * GRACE_SECONDS) == 0
        await asyncio.gather(flooding, flooding_stop)
        assert_no_error(fleet)


async def flood(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    while process.returncode is None:
        # Not send_signal(): it polls, and may reap the process before asyncio does.
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)
        await asyncio.sleep(SIGNAL_PERIOD_SECONDS)


def assert_no_error(fleet: Fleet) -> None:
    fleet.read_logs()
    assert fleet.ledger.errors == []
