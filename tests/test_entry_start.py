"""Tests of the start of an entry VM as a real process."""

import asyncio
import signal
import sys
from pathlib import Path

from daisylift_node.status import ExitStatus

PROGRAM = Path(__file__).resolve().parents[1] / 'deploy' / 'entry.py'
POLL_SECONDS = 0.001
START_SECONDS = 15.0


async def test_a_reload_signal_during_start_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    settings = tmp_path / 'entry.ini'
    settings.write_text('[vm]\nid = entry-1\n')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(PROGRAM),
        env={'DAISYLIFT_CONFIG': str(settings)},
        stderr=asyncio.subprocess.PIPE,
    )
    while not _ignores(process.pid, signal.SIGHUP):
        assert process.returncode is None, 'the process exited before it ignored SIGHUP'
        await asyncio.sleep(POLL_SECONDS)
    process.send_signal(signal.SIGHUP)
    _, errors = await asyncio.wait_for(process.communicate(), START_SECONDS)
    assert process.returncode == ExitStatus.SETTINGS
    assert b'error: ' in errors


def _ignores(pid: int, number: signal.Signals) -> bool:
    """Return whether the process ignores the signal, according to /proc."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, mask = line.partition(':')
        if name == 'SigIgn':
            return bool(int(mask, 16) >> (number - 1) & 1)
    return False
