"""Stand-ins for the scripts of this review: store, backend servers, callers, VMs.

The store is the project's own fake. Backend servers, callers and the platform that
starts and stops entry VMs are small ones, which do what the users' pages allow.
"""

import asyncio
import hashlib
import json
import os
import signal
import sys
import time
import tomllib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, TextIO

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

ROOT = Path(__file__).resolve().parents[1]
HOST = 'a.example'
DOMAINS = {'arusha-a': 'arusha', 'dar-a': 'dar'}
START_TIMEOUT_S = 30.0
POLL_S = 0.02
RESTART_DELAY_S = 0.3
BYTES_PER_MB = 1024 * 1024
CHUNK_BYTES = 64 * 1024
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    'stability_window_ms': '3000',
    'drain_ms': '2500',
    'grace_s': '6',
    'loss_slack_ms': '200',
    'config_propagation_ms': '2500',
    'budget_ratio': '0.2',
    'budget_window_s': '10',
    'budget_extra_attempts': '58',
    'ttl_max_s': '5',
    'max_region_shift': '0.15',
}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file: TextIO = (folder / 'record.txt').open('w', encoding='utf-8')
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start of the script."""
        seconds = time.monotonic() - self._started
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(slots=True)
class Message:
    """A request or response as read from a connection."""

    start: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ')[1])

    @property
    def request_id(self) -> str:
        """Return the id of the request, empty if there is none."""
        return self.headers.get('request-id', '')


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool, keep_body: bool = True
) -> Message:
    """Read one message; raise IncompleteReadError if it ends early."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    start, *lines = head.strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = await _read_chunks(reader, keep_body)
    elif 'content-length' in headers:
        body = await _read_bytes(reader, int(headers['content-length']), keep_body)
    else:
        body = await reader.read() if is_response else b''
    return Message(start, headers, body)


async def _read_bytes(reader: asyncio.StreamReader, count: int, keep: bool) -> bytes:
    if keep:
        return await reader.readexactly(count)
    digest = hashlib.sha256()
    left = count
    while left:
        part = await reader.read(min(CHUNK_BYTES, left))
        if not part:
            raise asyncio.IncompleteReadError(b'', left)
        digest.update(part)
        left -= len(part)
    return digest.digest()


async def _read_chunks(reader: asyncio.StreamReader, keep: bool) -> bytes:
    parts = []
    while size := int((await reader.readline()).split(b';')[0], 16):
        parts.append(await _read_bytes(reader, size, keep))
        await reader.readexactly(2)
    await reader.readline()
    return b''.join(parts)


@dataclass(slots=True)
class Run:
    """A request that a backend server began to run, and when its work ended."""

    request_id: str
    server: str
    at: float
    start: str
    headers: Mapping[str, str]
    ended_at: float | None = None


@dataclass(slots=True)
class Server:
    """A sound backend server with slots.

    A request takes ``work_s``, or what ``work_by_id`` names for it.
    """

    id: str
    service: str
    record: Record
    slots: int = 6
    queue: int = 18
    work_s: float = 0.1
    response_bytes: int = 1000
    domain: str = 'arusha-a'
    born: int = 1
    sequence: int = 0
    port: int = 0
    runs: list[Run] = field(default_factory=list)
    work_by_id: dict[str, float] = field(default_factory=dict)
    _waiting: int = 0
    _free: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(0))
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port, or on the one of before."""
        self._free = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(
            self._serve, SERVER_HOST, self.port, limit=CHUNK_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def registration(self, **changes: Any) -> dict[str, Any]:
        """Return the next entry of the server for the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{SERVER_HOST}:{self.port}',
            'zone': self.domain,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
            **changes,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await read_message(reader, is_response=False, keep_body=False)
                await self._answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        if request.headers.get('target-instance', self.id) != self.id:
            await self._write(writer, request, '421 Misdirected Request', b'')
            return
        if self._waiting >= self.queue:
            await self._write(writer, request, '503 Service Unavailable', b'')
            return
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            run = Run(
                request.request_id,
                self.id,
                time.monotonic(),
                request.start,
                request.headers,
            )
            self.runs.append(run)
            self.record.write(f'{self.id} runs {run.request_id}')
            await asyncio.sleep(self.work_by_id.get(run.request_id, self.work_s))
        finally:
            self._free.release()
        body = response_body(self.id, request.request_id, self.response_bytes)
        run.ended_at = time.monotonic()
        self.record.write(f'{self.id} answers {run.request_id}')
        await self._write(writer, request, '200 OK', body)

    async def _write(
        self, writer: asyncio.StreamWriter, request: Message, status: str, body: bytes
    ) -> None:
        lines = [
            f'HTTP/1.1 {status}',
            f'Request-Id: {request.request_id}',
            f'Instance-Id: {self.id}',
            f'Content-Length: {len(body)}',
        ]
        if status.startswith('200'):
            lines.append('Response-Stamp: s.1')
        else:
            lines.append('Not-Executed: 1')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        writer.write(body)
        await writer.drain()


def response_body(server: str, request_id: str, size: int) -> bytes:
    """Return the body of a server's response to a request."""
    line = f'{server} {request_id}\n'.encode()
    return (line * (size // len(line) + 1))[:size]


def rule(prefix: str, service: str, kind: str, timeout_ms: int) -> dict[str, Any]:
    """Return a rule of the desired state."""
    return {
        'name': f'r{prefix}',
        'kind': kind,
        'target_latency_ms': 250,
        'priority': 1,
        'sticky': False,
        'match': {'path_prefix': prefix},
        'action': {
            'service': service,
            'timeout_ms': timeout_ms,
            'attempts': 2,
            'home_regions': [],
        },
    }


def desired_state(
    version: int, rules: Sequence[Mapping[str, Any]], **fields: Any
) -> dict[str, Any]:
    """Return a desired state with the limits of the users' example."""
    services = sorted({each['action']['service'] for each in rules})
    return {
        'version': f'{version:08x}',
        'limits': {
            'header_bytes': 16384,
            'body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'listeners': [{'host': HOST, 'rules': list(rules)}],
        'clusters': [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 330,
                'cold_start_s': 3.0,
                'cold_per_s': 19.0,
            }
            for name in services
        ],
        **fields,
    }


@dataclass(slots=True)
class EntryVm:
    """One entry VM: its settings, and its process as the platform runs it.

    With ``kills_over_limit``, the platform kills a process whose resident memory
    exceeds ``memory_mb``, and starts it again after a short delay.
    """

    id: str
    host: str
    store_port: int
    folder: Path
    record: Record
    domain: str = 'arusha-a'
    memory_mb: int = 300
    bounds: Mapping[str, str] = field(default_factory=lambda: dict(BOUNDS))
    kills_over_limit: bool = True
    peak_mb: float = 0.0
    kills: list[float] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    _watch: asyncio.Task[None] | None = None

    @property
    def settings(self) -> Path:
        """The path of the settings file."""
        return self.folder / f'{self.id}.ini'

    def write_settings(self, **bounds: str) -> None:
        """Write the settings, as the template of the deploy file lays them out."""
        self.bounds = {**self.bounds, **bounds}
        sections = {
            'vm': {
                'id': self.id,
                'host': self.host,
                'failure_domain': self.domain,
                'region': DOMAINS[self.domain],
            },
            'listen': {
                'caller': f'{self.host}:{CALLER_PORT}',
                'readiness': f'{self.host}:{READINESS_PORT}',
                'directory': f'{self.host}:{DIRECTORY_PORT}',
                'metrics_port': str(METRICS_PORT),
            },
            'peer': {'port': str(PEER_PORT)},
            'store': {'address': f'127.0.0.1:{self.store_port}', 'heartbeat_ms': 1500},
            'domains': DOMAINS,
            'limits': {
                'memory_mb': self.memory_mb,
                'file_descriptors': 4100,
                'link_mbps': 1000.0,
                'cores': 1,
                'core_share': 0.86,
            },
            'bounds': self.bounds,
        }
        lines = []
        for name, values in sections.items():
            lines.append(f'[{name}]')
            lines += [f'{key} = {value}' for key, value in values.items()]
        self.settings.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    async def launch(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['DAISYLIFT_CONFIG'] = str(self.settings)
        with (self.folder / f'{self.id}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f'{self.id} starts as process {self.process.pid}')
        self._watch = asyncio.create_task(self._watch_process(self.process))

    async def wait_until_ready(self) -> None:
        """Wait until the readiness address answers 200."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            try:
                status = await ask(self.host, READINESS_PORT, '/-/readiness')
            except (OSError, asyncio.IncompleteReadError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(POLL_S)
        raise NotReadyError(f'{self.id} is not ready')

    async def end(self) -> None:
        """Kill the process, if it runs."""
        if self._watch is not None:
            self._watch.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def terminate(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace time."""
        assert self.process is not None
        if self._watch is not None:
            self._watch.cancel()
        self.record.write(f'{self.id} gets SIGTERM')
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
            self.record.write(f'{self.id} has ended')
        except TimeoutError:
            self.record.write(f'{self.id} gets SIGKILL')
            self.process.kill()
            await self.process.wait()

    async def _watch_process(self, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None:
            used_mb = resident_mb(process.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb and self.kills_over_limit:
                self.record.write(
                    f'{self.id} killed by the platform: it holds {used_mb:.0f} MB, '
                    f'memory_mb is {self.memory_mb}'
                )
                self.kills.append(time.monotonic())
                process.kill()
                await process.wait()
                await asyncio.sleep(RESTART_DELAY_S)
                await self.launch()
                return
            await asyncio.sleep(POLL_S)
        self.record.write(f'{self.id} ended by itself, status {process.returncode}')


class NotReadyError(Exception):
    """A part of the case did not start."""


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf('SC_PAGE_SIZE') / BYTES_PER_MB


async def ask(host: str, port: int, path: str) -> int:
    """Return the status of the answer to a GET."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
        return (await read_message(reader, is_response=True)).status
    finally:
        writer.close()


def request_head(
    method: str, path: str, request_id: str, deadline_ms: int, *extra: str
) -> bytes:
    """Return the head of a caller's request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        f'Deadline-Milliseconds: {deadline_ms}',
        *extra,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


@dataclass(slots=True)
class KeptCaller:
    """A caller with one kept connection, which sends one order after the other.

    ``lost`` has the ids of the orders whose connection ended without an answer. After
    a loss the caller goes on over a new connection.
    """

    name: str
    vm: EntryVm
    record: Record
    path: str = '/o/1'
    deadline_ms: int = 6000
    answered: int = 0
    lost: list[str] = field(default_factory=list)
    is_stopping: bool = False

    async def call(self) -> None:
        """Send orders until told to stop."""
        number = 0
        while not self.is_stopping:
            try:
                reader, writer = await asyncio.open_connection(
                    self.vm.host, CALLER_PORT
                )
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            try:
                while not self.is_stopping:
                    number += 1
                    await self._order(reader, writer, f'{self.name}.{number}')
            except (asyncio.IncompleteReadError, ConnectionError):
                request_id = f'{self.name}.{number}'
                self.record.write(f'{request_id} got no answer, connection ended')
                self.lost.append(request_id)
            finally:
                writer.close()

    async def _order(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
    ) -> None:
        body = b'order'
        length = f'Content-Length: {len(body)}'
        head = request_head('POST', self.path, request_id, self.deadline_ms, length)
        writer.write(head + body)
        response = await read_message(reader, is_response=True)
        self.record.write(f'{request_id} answered {response.status}')
        self.answered += 1
        if response.headers.get('connection', '').lower() == 'close':
            raise ConnectionError('closed after the answer')


async def upload(
    vm: EntryVm, path: str, request_id: str, mb: int, deadline_ms: int
) -> int | None:
    """Send a body in chunks; return the status, None if there was no answer."""
    try:
        reader, writer = await asyncio.open_connection(vm.host, CALLER_PORT)
    except OSError:
        return None
    coding = 'Transfer-Encoding: chunked'
    part = bytes(CHUNK_BYTES)
    chunk = f'{len(part):x}\r\n'.encode() + part + b'\r\n'
    try:
        writer.write(request_head('POST', path, request_id, deadline_ms, coding))
        for _ in range(mb * BYTES_PER_MB // CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        status = (await read_message(reader, is_response=True)).status
    except (asyncio.IncompleteReadError, ConnectionError):
        status = None
    finally:
        writer.close()
    vm.record.write(f'{request_id} ({mb} MB in chunks) answered {status}')
    return status


@dataclass(slots=True)
class Fleet:
    """The store, the servers and the VMs of one case."""

    record: Record
    folder: Path
    store: FakePlatform = field(default_factory=FakePlatform)
    network: str = field(default_factory=free_network)
    servers: list[Server] = field(default_factory=list)
    vms: list[EntryVm] = field(default_factory=list)

    async def start(self, state: Mapping[str, Any], vm_count: int, **vm: Any) -> None:
        """Start everything; return when all VMs are ready."""
        await self.store.start()
        for server in self.servers:
            await server.start()
            self.store.write('servers', server.id, server.registration())
        self.store.write('config', 'main', state)
        for number in range(1, vm_count + 1):
            each = EntryVm(
                f'front-arusha-a-{number}',
                f'{self.network}.{number}',
                self.store.port,
                self.folder,
                self.record,
                **vm,
            )
            each.write_settings()
            self.vms.append(each)
            await each.launch()
        await asyncio.gather(*(each.wait_until_ready() for each in self.vms))

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for vm in self.vms:
            await vm.end()
        for server in self.servers:
            await server.stop()
        await self.store.stop()


def play(folder: Path, case: Callable[[Fleet, bool], Any], limit_s: float) -> None:
    """Run a case and exit with its verdict; ``TROUBLE=0`` leaves the trouble out."""
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    verdict = NOT_RUN
    with TemporaryDirectory() as temporary:
        try:
            verdict = asyncio.run(
                _play(Path(temporary), record, case, has_trouble, limit_s)
            )
        except (NotReadyError, OSError, TimeoutError) as error:
            record.write(f'the case could not run: {error!r}')
    record.write(f'exit status {verdict}')
    record.close()
    print(json.dumps({'trouble': has_trouble, 'status': verdict}))
    sys.exit(verdict)


async def _play(
    folder: Path,
    record: Record,
    case: Callable[[Fleet, bool], Any],
    has_trouble: bool,
    limit_s: float,
) -> int:
    fleet = Fleet(record, folder)
    try:
        async with asyncio.timeout(limit_s):
            return HELD if await case(fleet, has_trouble) else BROKEN
    finally:
        await fleet.stop()
