"""Tests of the start of an entry VM as a real process."""

import asyncio
import shutil
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from daisylift_node.status import ExitStatus
from soak.fleet import GRACE_SECONDS, EntryVm, Fleet
from tests.fakes.loopback import (
    CALLER_PORT,
    DIRECTORY_PORT,
    METRICS_PORT,
    PEER_PORT,
    READINESS_PORT,
)
from tests.utils import wait_until

PROGRAM = Path(__file__).resolve().parents[1] / 'deploy' / 'entry.py'
LIBRARIES = Path(aiohttp.__file__).resolve().parents[1]
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
    while not ignores(process.pid, signal.SIGHUP):
        assert process.returncode is None, 'the process exited before it ignored SIGHUP'
        await asyncio.sleep(POLL_SECONDS)
    process.send_signal(signal.SIGHUP)
    _, errors = await asyncio.wait_for(process.communicate(), START_SECONDS)
    assert process.returncode == ExitStatus.SETTINGS
    assert b'error: ' in errors


async def test_a_start_without_site_packages_finds_the_libraries_of_the_build(
    tmp_path: Path,
) -> None:
    """The program is run with -S; nothing else need put target/deps on the path."""
    (tmp_path / 'deploy').mkdir()
    (tmp_path / 'target').mkdir()
    shutil.copy(PROGRAM, tmp_path / 'deploy')
    (tmp_path / 'packages').symlink_to(PROGRAM.parents[1] / 'packages')
    (tmp_path / 'target' / 'deps').symlink_to(LIBRARIES)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-S',
        str(tmp_path / 'deploy' / PROGRAM.name),
        env={'DAISYLIFT_CONFIG': str(tmp_path / 'missing.ini')},
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await asyncio.wait_for(process.communicate(), START_SECONDS)
    assert process.returncode == ExitStatus.SETTINGS, errors


def ignores(pid: int, number: signal.Signals) -> bool:
    """Return whether the process ignores the signal, according to /proc."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, mask = line.partition(':')
        if name == 'SigIgn':
            return bool(int(mask, 16) >> (number - 1) & 1)
    return False


HELD_PORTS = {
    'caller': (CALLER_PORT, socket.SOCK_STREAM),
    'directory': (DIRECTORY_PORT, socket.SOCK_STREAM),
    'readiness': (READINESS_PORT, socket.SOCK_STREAM),
    'metrics': (METRICS_PORT, socket.SOCK_STREAM),
    'peers, HTTP': (PEER_PORT, socket.SOCK_STREAM),
    'peers, UDP': (PEER_PORT, socket.SOCK_DGRAM),
}


async def test_a_vm_waits_for_ports_that_another_process_holds(tmp_path: Path) -> None:
    """Its predecessor, in its stop, still held one; the start ended with an error.

    Each port is freed when the log names it.
    """
    async with a_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await end(vm)
        held = {
            name: hold(vm.host, port, kind) for name, (port, kind) in HELD_PORTS.items()
        }
        await fleet._launch(vm)
        for name in ('peers, UDP', 'peers, HTTP', 'readiness', 'directory', 'metrics'):
            await wait_for_log(fleet, vm, f'{vm.host}:{HELD_PORTS[name][0]}')
            held[name].close()
        await wait_for_log(fleet, vm, f'{vm.host}:{CALLER_PORT}')
        held['caller'].close()
        await fleet.wait_until_ready(vm)


async def test_a_start_ends_with_the_address_of_a_port_that_stays_held(
    tmp_path: Path,
) -> None:
    async with a_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await end(vm)
        with hold(vm.host, DIRECTORY_PORT, socket.SOCK_STREAM):
            await fleet._launch(vm)
            assert vm.process is not None
            started = fleet.now()
            status = await asyncio.wait_for(vm.process.wait(), START_SECONDS)
            assert status == ExitStatus.ERROR
            assert fleet.now() - started > GRACE_SECONDS
        log = log_text(fleet, vm)
        assert (
            f'error: cannot start: cannot listen on {vm.host}:{DIRECTORY_PORT}' in log
        )
        assert log.count('port held by another process') > 3


async def test_a_stop_ends_the_wait_for_a_port(tmp_path: Path) -> None:
    async with a_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        await end(vm)
        with hold(vm.host, DIRECTORY_PORT, socket.SOCK_STREAM):
            await fleet._launch(vm)
            await wait_for_log(fleet, vm, 'port held by another process')
            assert vm.process is not None
            vm.process.terminate()
            assert await asyncio.wait_for(vm.process.wait(), 2.0) == ExitStatus.SUCCESS


@asynccontextmanager
async def a_fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Run one VM that is not restarted when its process ends."""
    fleet = Fleet(folder, 1, servers_per_service=1)
    try:
        await fleet.start()
        fleet.vms[0].is_changing = True
        yield fleet
    finally:
        await fleet.stop()


async def end(vm: EntryVm) -> None:
    assert vm.process is not None
    vm.process.kill()
    await vm.process.wait()


def hold(host: str, port: int, kind: socket.SocketKind) -> socket.socket:
    holder = socket.socket(type=kind)
    if kind is socket.SOCK_STREAM:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, port))
    if kind is socket.SOCK_STREAM:
        holder.listen()
    return holder


def log_text(fleet: Fleet, vm: EntryVm) -> str:
    return (fleet.folder / f'{vm.name}.log').read_text()


async def wait_for_log(fleet: Fleet, vm: EntryVm, text: str) -> None:
    """Wait until a line that is written from now on has the text."""
    seen = len(log_text(fleet, vm))
    await wait_until(lambda: text in log_text(fleet, vm)[seen:])
