"""Entry VMs as processes, between a stand-in store and stand-in backend servers."""

import asyncio
import itertools
import signal
import sys
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from soak.ledger import Confirmed, Disturbance, Ledger, Version
from soak.proxy import Link
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
KILL_MARGIN_SECONDS = 1.0  # after the grace, as the platform kills what is left
RESTART_SECONDS = 0.3  # until an ended process is started again
START_SECONDS = 15.0  # a process is given up on after this; a busy machine needs some
POLL_SECONDS = 0.05
LEAVE_SECONDS = 4.0  # a leaving server serves for so long after the confirmation
MARGIN_SECONDS = 0.5  # a disturbance may be felt a little longer than it lasts


ERROR_MARK = '"level": "ERROR"'


class SoakError(Exception):
    """The soak itself can't go on; says why."""


@dataclass(slots=True, eq=False)
class EntryVm:
    """One entry VM: its settings file, its way to the store, its process.

    ``is_changing`` says that the soak starts, stops or freezes it at the moment.
    """

    name: str
    host: str
    failure_domain: str
    store_link: Link
    settings: Path
    process: asyncio.subprocess.Process | None = None
    is_changing: bool = True

    @property
    def address(self) -> str:
        """The address for callers."""
        return f'{self.host}:{CALLER_PORT}'


@dataclass(slots=True)
class Fleet:
    """Everything that runs, and the changes that operators and servers make."""

    folder: Path
    vm_count: int
    servers_each: int
    ledger: Ledger = field(default_factory=Ledger)
    store: FakePlatform = field(default_factory=FakePlatform)
    vms: list[EntryVm] = field(default_factory=list)
    servers_by_id: dict[str, PlatformServer] = field(default_factory=dict)
    links_by_id: dict[str, Link] = field(default_factory=dict)
    network: str = field(default_factory=free_network)
    _names: itertools.count = field(default_factory=lambda: itertools.count(1))
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Start the store, the servers and the VMs; return when all VMs are ready."""
        await self.store.start()
        for service in SERVICES:
            for number in range(self.servers_each):
                domain = list(DOMAINS)[number % len(DOMAINS)]
                await self.add_server(service, domain)
        self.configure()
        for number in range(self.vm_count):
            vm = await self._make_vm(number)
            self.vms.append(vm)
            await self._launch(vm)
        await asyncio.gather(*(self.until_ready(vm) for vm in self.vms))
        for vm in self.vms:
            vm.is_changing = False

    async def stop(self) -> None:
        """End every process and stand-in that this soak started."""
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

    def read_logs(self) -> None:
        """Take note of the errors that the VMs logged."""
        for vm in self.vms:
            for line in (self.folder / f'{vm.name}.log').read_text().splitlines():
                if ERROR_MARK in line or not line.startswith('{'):
                    self.ledger.errors.append(f'{vm.name}: {line[:200]}')

    def now(self) -> float:
        """Return the moment on the soak's steady clock, in seconds."""
        return asyncio.get_running_loop().time()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Let work go on by itself until the soak ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def disturbed(self, part: str, start: float, *, planned: bool = False) -> None:
        """Take note that a part was disturbed from the start until now."""
        end = self.now() + MARGIN_SECONDS
        self.ledger.disturbances.append(Disturbance(part, start, end, planned))

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.ledger.errors.append(f'the soak itself: {error!r}')

    def configure(self) -> None:
        """Write a new desired state: moves a route, adds one, drops an older one."""
        number = len(self.ledger.versions) + 1
        moved = 'catalogue' if number % 2 else 'spare'
        service_by_prefix = {'/a/': 'catalogue', '/o/': 'till', '/m/': moved}
        service_by_prefix |= {f'/n{n}/': 'spare' for n in (number - 1, number)}
        kinds = {'/o/': 'unsafe'}
        rules = [
            make_rule(prefix, service, kinds.get(prefix, 'safe'), timeout_ms=2000)
            for prefix, service in service_by_prefix.items()
        ]
        document = make_desired_state(number, *rules)
        self.ledger.versions.append(Version(number, self.now(), service_by_prefix))
        self.store.write('config', 'main', document)

    async def evacuate(self, domain: str, seconds: float) -> None:
        """Empty a failure domain for some time."""
        if ('evacuations', domain) in self.store.objects:
            return
        self.store.write('evacuations', domain, {})
        start = self.now()
        await asyncio.sleep(seconds)
        self.store.remove('evacuations', domain)
        self.ledger.evacuations.append(Confirmed(domain, start, self.now()))

    async def add_server(self, service: str, domain: str) -> PlatformServer:
        """Start a backend server and register it, behind a link of its own."""
        name = f'i-{next(self._names)}'
        server = PlatformServer(name, service, domain, self.ledger.ran)
        await server.start()
        link = Link(server.port, SERVER_HOST)
        await link.start()
        self.servers_by_id[name] = server
        self.links_by_id[name] = link
        self.register(server)
        return server

    def register(self, server: PlatformServer, state: str = 'ready') -> None:
        """Write the server's registration."""
        port = self.links_by_id[server.id].port
        self.store.write('servers', server.id, server.registration(port, state))

    async def replace(self, server: PlatformServer) -> None:
        """Start another server, then let this one drain and leave."""
        if any(each.name == server.id for each in self.ledger.leaving):
            return
        await self.add_server(server.service, server.failure_domain)
        self.register(server, 'draining')
        self.ledger.leaving.append(Confirmed(server.id, self.now()))
        await asyncio.sleep(LEAVE_SECONDS)
        self.store.remove('servers', server.id)
        await server.crash()

    async def stop_vm(self, vm: EntryVm) -> None:
        """Stop a VM as planned and start it again."""
        if vm.is_changing or vm.process is None:
            return
        vm.is_changing = True
        start = self.now()
        try:
            vm.process.terminate()
            limit = GRACE_SECONDS + KILL_MARGIN_SECONDS
            await asyncio.wait_for(vm.process.wait(), limit)
        except TimeoutError:
            vm.process.kill()
            await vm.process.wait()
        await self._restart(vm)
        self.disturbed(vm.name, start, planned=True)

    async def kill_vm(self, vm: EntryVm) -> None:
        """Kill a VM and start it again."""
        if vm.is_changing or vm.process is None:
            return
        vm.is_changing = True
        start = self.now()
        self.disturbed(vm.name, start)
        vm.process.kill()
        await vm.process.wait()
        await self._restart(vm)
        self.disturbed(vm.name, start)

    async def pause_vm(self, vm: EntryVm, seconds: float) -> None:
        """Freeze a VM for some time."""
        if vm.is_changing or vm.process is None:
            return
        vm.is_changing = True
        start = self.now()
        vm.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        vm.process.send_signal(signal.SIGCONT)
        vm.is_changing = False
        self.disturbed(vm.name, start)

    async def until_ready(self, vm: EntryVm) -> None:
        """Return when the VM says that callers may come."""
        url = f'http://{vm.host}:{READINESS_PORT}/-/readiness'
        limit = self.now() + START_SECONDS
        async with aiohttp.ClientSession() as session:
            while self.now() < limit:
                try:
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass  # it does not listen yet
                await asyncio.sleep(POLL_SECONDS)
        raise SoakError(f'{vm.name} is not ready after {START_SECONDS} s')

    async def _restart(self, vm: EntryVm) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        await self._launch(vm)
        limit = self.now() + START_SECONDS
        while self.now() < limit:
            try:
                _, writer = await asyncio.open_connection(vm.host, CALLER_PORT)
            except OSError:
                await asyncio.sleep(POLL_SECONDS)
                continue
            writer.close()
            vm.is_changing = False
            return
        raise SoakError(f'{vm.name} does not listen after {START_SECONDS} s')

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
        """Start a process again that ended by itself, as the platform does."""
        status = await process.wait()
        if vm.is_changing:
            return
        vm.is_changing = True
        self.ledger.own_ends.append(f'{vm.name} ended by itself with status {status}')
        await self._restart(vm)

    async def _make_vm(self, number: int) -> EntryVm:
        name = f'entry-{number + 1}'
        domain = list(DOMAINS)[number % len(DOMAINS)]
        link = Link(self.store.port)
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
