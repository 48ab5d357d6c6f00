"""Runs entry VM processes against a fake store and fake backend servers."""

import asyncio
import itertools
import os
import random
import signal
import sys
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from soak.ledger import (
    CAP_BURST,
    CAP_PER_SECOND,
    CAPPED_TENANT,
    ConfirmedChange,
    DesiredStateVersion,
    Disturbance,
    Ledger,
    NamedLimit,
)
from soak.proxy import FaultyLink
from tests.entry_harness import make_desired_state, make_rule
from tests.fakes.loopback import (
    CALLER_PORT,
    DIRECTORY_PORT,
    METRICS_PORT,
    PEER_PORT,
    READINESS_PORT,
    SERVER_HOST,
    free_network,
)
from tests.fakes.platform import FakePlatform
from tests.fakes.platform_server import PlatformServer

PROGRAM = Path(__file__).resolve().parents[1] / 'deploy' / 'entry.py'
DOMAINS = {
    'arusha-a': 'arusha',
    'arusha-b': 'arusha',
    'dar-a': 'dar',
    'dar-b': 'dar',
}
SERVICES = ('catalogue', 'till', 'spare')
GRACE_SECONDS = 3.0
KILL_DELAY_SECONDS = 1.0  # after the grace time; the platform then kills the process
RESTART_DELAY_SECONDS = 0.3  # from the end of a process to its restart
START_TIMEOUT_SECONDS = 15.0  # starts are slow on a busy machine
START_TIMEOUT_VMS = 10  # in larger fleets the time grows with the number of VMs
POLL_PERIOD_SECONDS = 0.05
SIGNALS_SECONDS = 1.0  # of a start
DRAINING_SECONDS = 4.0  # how long a draining server still serves
HEARTBEAT_SECONDS = 1.5  # interval in which a server writes its registration
SILENT_HEARTBEATS = 3  # after so many without one, the store drops a registration
DISTURBANCE_MARGIN_SECONDS = 0.5  # the effects of a disturbance may outlast it


ERROR_LOG_TEXT = '"level": "ERROR"'


def key_of(version: int) -> str:
    """Return the key that a version of the desired state adds."""
    return f'key-{version}'


def _cap_of(tenant: str, has_caps: bool) -> dict[str, float]:
    if tenant != CAPPED_TENANT or not has_caps:
        return {}
    return {'requests_per_s': CAP_PER_SECOND, 'burst': CAP_BURST}


class SoakError(Exception):
    """Raised when the soak itself cannot continue."""


@dataclass(slots=True, eq=False)
class EntryVm:
    """One entry VM: its settings file, its link to the store and its process.

    ``is_changing`` is set while the soak starts, stops or freezes the process.
    """

    name: str
    host: str
    failure_domain: str
    store_link: FaultyLink
    settings: Path
    process: asyncio.subprocess.Process | None = None
    is_changing: bool = True

    @property
    def address(self) -> str:
        """The address that callers connect to."""
        return f'{self.host}:{CALLER_PORT}'


@dataclass(slots=True)
class Fleet:
    """All VMs, servers and the store, and the changes operators and servers make."""

    folder: Path
    vm_count: int
    servers_per_service: int
    has_tenants: bool = True
    has_caps: bool = False
    ledger: Ledger = field(default_factory=Ledger)
    store: FakePlatform = field(default_factory=FakePlatform)
    vms: list[EntryVm] = field(default_factory=list)
    servers_by_id: dict[str, PlatformServer] = field(default_factory=dict)
    links_by_id: dict[str, FaultyLink] = field(default_factory=dict)
    state_by_server: dict[str, str] = field(default_factory=dict)
    network: str = field(default_factory=free_network)
    _server_numbers: itertools.count = field(default_factory=lambda: itertools.count(1))
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, *, writes_desired_state: bool = True) -> None:
        """Start the store, the servers and the VMs; return when all VMs are ready.

        Without ``writes_desired_state``, the caller has written one already.
        """
        await self.store.start()
        for service in SERVICES:
            for number in range(self.servers_per_service):
                domain = list(DOMAINS)[number % len(DOMAINS)]
                await self.add_server(service, domain)
        if writes_desired_state:
            self.write_desired_state()
        for number in range(self.vm_count):
            vm = await self._make_vm(number)
            self.vms.append(vm)
            await self._launch(vm)
        await asyncio.gather(*(self.wait_until_ready(vm) for vm in self.vms))
        for vm in self.vms:
            vm.is_changing = False

    async def stop(self) -> None:
        """Stop every process and fake that this soak started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
            await vm.store_link.stop()
        for server in self.servers_by_id.values():
            await server.crash()
        for link in self.links_by_id.values():
            await link.stop()
        await self.store.stop()

    def first_of_each_domain(self) -> list[EntryVm]:
        """Return the first VM of each failure domain by name.

        In fleets of more than ten VMs, these watch the store for the others.
        """
        by_domain: dict[str, EntryVm] = {}
        for vm in sorted(self.vms, key=lambda each: each.name):
            by_domain.setdefault(vm.failure_domain, vm)
        return list(by_domain.values())

    def record_arrivals(self) -> None:
        """Record which requests reached each server, for the checks."""
        for server in self.servers_by_id.values():
            self.ledger.arrivals_by_server[server.id] = server.arrivals
            self.ledger.turned_away_by_server[server.id] = server.turned_away

    def read_logs(self) -> None:
        """Record the errors that the VMs logged, and lines that are not JSON."""
        for vm in self.vms:
            for line in (self.folder / f'{vm.name}.log').read_text().splitlines():
                if ERROR_LOG_TEXT in line or not line.startswith('{'):
                    self.ledger.errors.append(f'{vm.name}: {line[:200]}')

    def now(self) -> float:
        """Return the monotonic clock reading in seconds."""
        return asyncio.get_running_loop().time()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work in the background until the soak ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def record_disturbance(
        self, component: str, start: float, *, planned: bool = False
    ) -> None:
        """Record that a component was disturbed from ``start`` until now."""
        end = self.now() + DISTURBANCE_MARGIN_SECONDS
        self.ledger.disturbances.append(Disturbance(component, start, end, planned))

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.ledger.errors.append(f'soak task failed: {error!r}')

    def write_desired_state(self) -> None:
        """Write a new desired state: move one route, add one, remove an older one.

        With tenants, keys change likewise: each is held for two versions.
        """
        number = len(self.ledger.versions) + 1
        moved = 'catalogue' if number % 2 else 'spare'
        service_by_prefix = {'/a/': 'catalogue', '/o/': 'till', '/m/': moved}
        service_by_prefix |= {f'/n{n}/': 'spare' for n in (number - 1, number)}
        kinds = {'/o/': 'unsafe'}
        rules = [
            make_rule(prefix, service, kinds.get(prefix, 'safe'), timeout_ms=2000)
            for prefix, service in service_by_prefix.items()
        ]
        held = (number - 1, number) if self.has_tenants else ()
        tenant_by_key = {key_of(n): f'tenant-{n % 2}' for n in held}
        tenants = [
            {'name': name, 'keys': [key], 'priority': 1, **_cap_of(name, self.has_caps)}
            for key, name in tenant_by_key.items()
        ]
        document = make_desired_state(number, *rules, tenants=tenants)
        self.ledger.versions.append(
            DesiredStateVersion(number, self.now(), service_by_prefix, tenant_by_key)
        )
        self.store.write('config', 'main', document)

    async def evacuate(self, domain: str, seconds: float) -> None:
        """Evacuate a failure domain for some time."""
        if ('evacuations', domain) in self.store.objects:
            return
        self.store.write('evacuations', domain, {})
        start = self.now()
        await asyncio.sleep(seconds)
        if ('evacuations', domain) in self.store.objects:
            self.store.remove('evacuations', domain)
        self.ledger.evacuations.append(ConfirmedChange(domain, start, self.now()))

    async def add_server(self, service: str, domain: str) -> PlatformServer:
        """Start a backend server and register it, behind its own link."""
        name = f'i-{next(self._server_numbers)}'
        server = PlatformServer(name, service, domain, self.ledger.record_run)
        await server.start()
        link = FaultyLink(server.port, SERVER_HOST)
        await link.start()
        self.servers_by_id[name] = server
        self.links_by_id[name] = link
        self.register(server)
        return server

    def register(self, server: PlatformServer, state: str = 'ready') -> None:
        """Write the server's registration."""
        port = self.links_by_id[server.id].port
        self.state_by_server[server.id] = state
        self.store.write('servers', server.id, server.registration(port, state))

    async def replace_server(self, server: PlatformServer) -> None:
        """Start a replacement server, then drain and remove this one."""
        if any(each.name == server.id for each in self.ledger.draining):
            return
        await self.add_server(server.service, server.failure_domain)
        self.register(server, 'draining')
        self.ledger.draining.append(ConfirmedChange(server.id, self.now()))
        await asyncio.sleep(DRAINING_SECONDS)
        self._remove_registration(server.id)
        await self.crash_server(server)

    async def leave_by_answers(self, server: PlatformServer) -> None:
        """As replace_server, but only the answers of the server say that it leaves."""
        if server.says_leaving or server.id in (e.name for e in self.ledger.draining):
            return
        await self.add_server(server.service, server.failure_domain)
        server.says_leaving = True
        await asyncio.sleep(DRAINING_SECONDS)
        self._remove_registration(server.id)
        await self.crash_server(server)

    def _remove_registration(self, server_id: str) -> None:
        self.state_by_server.pop(server_id, None)
        if ('servers', server_id) in self.store.objects:
            self.store.remove('servers', server_id)

    async def restore_store(self, copy_seconds: float) -> None:
        """Let the store come back from a copy of that age; all writers write again.

        Operators write at once, servers with their next heartbeat. Registrations that
        no server renews expire after three intervals.
        """
        before = dict(self.store.objects)
        self.store.restore(self.store.revision_before(copy_seconds))
        for (kind, name), stored in before.items():
            is_lost = self.store.objects.get((kind, name)) != stored
            if is_lost and kind in ('config', 'evacuations'):
                self.store.write(kind, name, stored['specification'])
        for kind, name in list(self.store.objects):
            if kind == 'evacuations' and (kind, name) not in before:
                self.store.remove(kind, name)
        for server_id in list(self.state_by_server):
            phase = random.Random(server_id).random()
            self.spawn(self._register_again(server_id, phase * HEARTBEAT_SECONDS))
        await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_SECONDS)
        for kind, name in list(self.store.objects):
            if kind == 'servers' and name not in self.state_by_server:
                self.store.remove(kind, name)

    async def _register_again(self, server_id: str, delay_seconds: float) -> None:
        await asyncio.sleep(delay_seconds)
        server, state = (
            self.servers_by_id[server_id],
            self.state_by_server.get(server_id),
        )
        stored = self.store.objects.get(('servers', server_id))
        written = stored['specification'] if stored else {}
        # The store ignores a registration in which only the sequence differs.
        is_lost = (written.get('state'), written.get('born')) != (state, server.born)
        if server.is_up and state is not None and is_lost:
            self.register(server, state)

    async def crash_server(self, server: PlatformServer) -> None:
        """Stop a server immediately; its limit ends with it."""
        if server.limit_per_second is not None:
            self.name_limit(server, None)
        await server.crash()

    def name_limit(self, server: PlatformServer, per_second: float | None) -> None:
        """Let a server name a request rate limit, or withdraw it with None."""
        server.limit_per_second = per_second
        self.ledger.limits.append(NamedLimit(server.id, self.now(), per_second))

    async def add_vm(self) -> None:
        """Start one more VM."""
        vm = await self._make_vm(len(self.vms))
        self.vms.append(vm)
        start = self.now()
        await self._launch(vm)
        await self.wait_until_ready(vm)
        vm.is_changing = False
        self.record_disturbance(vm.name, start)

    async def stop_vm(
        self, vm: EntryVm, *, launches_early: bool = False, sends_signals: bool = False
    ) -> None:
        """Stop a VM by SIGTERM and restart it; kill it when its grace time is over.

        With ``launches_early``, its successor starts while it holds its ports. With
        ``sends_signals``, it gets SIGHUP until its end, and its successor in its start.
        """
        if vm.is_changing or vm.process is None:
            return
        vm.is_changing = True
        start = self.now()
        leaving = vm.process
        leaving.terminate()
        if sends_signals:
            self.spawn(_send_reloads(leaving))
        if launches_early:
            await self._launch(vm)
        await self._wait_for_end(vm, leaving)
        if not launches_early:
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            await self._launch(vm)
        if sends_signals and vm.process is not None:
            self.spawn(_send_reloads(vm.process, SIGNALS_SECONDS))
        await self._wait_until_listening(vm)
        self.record_disturbance(vm.name, start, planned=True)

    async def _wait_for_end(
        self, vm: EntryVm, process: asyncio.subprocess.Process
    ) -> None:
        """Wait until the stop has ended; record it if it did not end by itself."""
        try:
            timeout = GRACE_SECONDS + KILL_DELAY_SECONDS
            status = await asyncio.wait_for(process.wait(), timeout)
        except TimeoutError:
            process.kill()
            status = await process.wait()
        if status:
            self.ledger.unexpected_exits.append(f'{vm.name} stopped with {status}')

    async def kill_vm(self, vm: EntryVm) -> None:
        """Kill a VM and restart it."""
        if vm.is_changing or vm.process is None:
            return
        vm.is_changing = True
        start = self.now()
        self.record_disturbance(vm.name, start)
        vm.process.kill()
        await vm.process.wait()
        await self._restart(vm)
        self.record_disturbance(vm.name, start)

    async def pause_vm(self, vm: EntryVm, seconds: float) -> None:
        """Freeze a VM for some time (SIGSTOP)."""
        if vm.is_changing or vm.process is None:
            return
        vm.is_changing = True
        start = self.now()
        vm.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        vm.process.send_signal(signal.SIGCONT)
        vm.is_changing = False
        self.record_disturbance(vm.name, start)

    async def wait_until_ready(self, vm: EntryVm) -> None:
        """Wait until the VM reports readiness; raise SoakError after the timeout."""
        url = f'http://{vm.host}:{READINESS_PORT}/-/readiness'
        timeout_seconds = START_TIMEOUT_SECONDS * max(
            1.0, len(self.vms) / START_TIMEOUT_VMS
        )
        deadline = self.now() + timeout_seconds
        async with aiohttp.ClientSession() as session:
            while self.now() < deadline:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass  # not listening yet
                await asyncio.sleep(POLL_PERIOD_SECONDS)
        raise SoakError(f'{vm.name} is not ready {timeout_seconds} s after its start')

    async def _restart(self, vm: EntryVm) -> None:
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await self._launch(vm)
        await self._wait_until_listening(vm)

    async def _wait_until_listening(self, vm: EntryVm) -> None:
        deadline = self.now() + START_TIMEOUT_SECONDS
        while self.now() < deadline:
            try:
                _, writer = await asyncio.open_connection(vm.host, CALLER_PORT)
            except OSError:
                await asyncio.sleep(POLL_PERIOD_SECONDS)
                continue
            writer.close()
            vm.is_changing = False
            return
        raise SoakError(
            f'{vm.name} does not listen {START_TIMEOUT_SECONDS} s after its restart'
        )

    async def _launch(self, vm: EntryVm) -> None:
        with (self.folder / f'{vm.name}.log').open('ab') as log:
            vm.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                env={'DAISYLIFT_CONFIG': str(vm.settings)},
                stdout=log,
                stderr=log,
            )
        self.spawn(self._watch(vm, vm.process))

    async def _watch(self, vm: EntryVm, process: asyncio.subprocess.Process) -> None:
        """Restart a process that exited unexpectedly, as the platform does."""
        status = await process.wait()
        if vm.is_changing:
            return
        vm.is_changing = True
        self.ledger.unexpected_exits.append(
            f'{vm.name} exited unexpectedly with status {status}'
        )
        await self._restart(vm)

    async def _make_vm(self, number: int) -> EntryVm:
        name = f'entry-{number + 1}'
        domain = list(DOMAINS)[number % len(DOMAINS)]
        link = FaultyLink(self.store.port)
        await link.start()
        host = f'{self.network}.{number + 1}'
        vm = EntryVm(name, host, domain, link, self.folder / f'{name}.ini')
        domains = '\n'.join(f'{key} = {value}' for key, value in DOMAINS.items())
        vm.settings.write_text(
            f'[vm]\nid = {name}\nhost = {host}\nfailure_domain = {domain}\n'
            f'region = {DOMAINS[domain]}\n'
            f'[listen]\ncaller = {host}:{CALLER_PORT}\n'
            f'directory = {host}:{DIRECTORY_PORT}\n'
            f'readiness = {host}:{READINESS_PORT}\nmetrics_port = {METRICS_PORT}\n'
            f'[peer]\nport = {PEER_PORT}\n[store]\naddress = 127.0.0.1:{link.port}\n'
            f'[domains]\n{domains}\n'
            '[limits]\nmemory_mb = 300\nfile_descriptors = 4000\n'
            f'[bounds]\ngrace_s = {GRACE_SECONDS}\n'
        )
        return vm


async def _send_reloads(
    process: asyncio.subprocess.Process, seconds: float = START_TIMEOUT_SECONDS
) -> None:
    """Send SIGHUP from when the process does not end by it, until it has ended."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while process.returncode is None and loop.time() < ends_at:
        if survives(process.pid, signal.SIGHUP):
            # Not send_signal(): it polls, and may reap the process before asyncio does.
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGHUP)
        await asyncio.sleep(POLL_PERIOD_SECONDS / 10)


def survives(pid: int, number: signal.Signals) -> bool:
    """Return whether the process ignores or catches the signal, according to /proc."""
    try:
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return False  # it has ended
    masks = [
        line.partition(':')[2] for line in lines if line[:6] in ('SigIgn', 'SigCgt')
    ]
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)
