"""Fake backend server on the platform that can crash and misbehave.

It runs one request per slot, queues up to QUEUED_PER_SLOT requests per slot and rejects
the rest with 503. The response body and stamp are derived from the server id and the
request id, so that a response from a wrong server or to another request is detected.
While it has a limit, it names it in every response, as the protocol says; so it says
that it leaves. While it has a pause, it turns requests away and asks for it.
"""

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from tests.fakes.loopback import SERVER_HOST

NOT_EXECUTED = {'Not-Executed': '1'}
QUEUED_PER_SLOT = 3  # requests queued for each slot
STAMP_BYTES = 8


@dataclass(frozen=True, slots=True)
class ServerRun:
    """A request that a backend server started to run.

    ``tenants`` are those that the request named; ``has_key`` is set if it carried a
    key, which no server may see.
    """

    request_id: str
    server_id: str
    service: str
    failure_domain: str
    at: float
    tenants: tuple[str, ...] = ()
    has_key: bool = False


@dataclass(frozen=True, slots=True)
class ServerArrival:
    """A request that reached a backend server, whether it ran or not."""

    request_id: str
    at: float


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A request that a server turned away, wanting nothing for ``pause_seconds``."""

    request_id: str
    at: float
    pause_seconds: float


def response_body(server_id: str, request_id: str, path: str, size: int) -> bytes:
    """Return the response body of the server to the request, ``size`` bytes long."""
    line = f'{server_id} {request_id} {path}\n'.encode()
    return (line * (size // len(line) + 1))[:size]


def response_stamp(server_id: str, request_id: str) -> str:
    """Return the MAC that the server sends as ``Response-Stamp``."""
    text = f'{server_id}/{request_id}'.encode()
    return hashlib.blake2b(text, digest_size=STAMP_BYTES).hexdigest()


@dataclass(slots=True, eq=False)
class PlatformServer:
    """One backend server; ``on_run`` is called for each request that starts to run."""

    id: str
    service: str
    failure_domain: str
    on_run: Callable[[ServerRun], None]
    slots: int = 4
    work_seconds: float = 0.02
    body_bytes: int = 2000
    lose_answers: bool = False
    spoil_answers: bool = False
    limit_per_second: float | None = None
    says_leaving: bool = False
    pause_seconds: float | None = None
    turned_away: list[TurnedAway] = field(default_factory=list)
    arrivals: list[ServerArrival] = field(default_factory=list)
    port: int = 0
    born: int = 1
    _registrations: int = 0
    _running: int = 0
    _waiting: int = 0
    _free: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(0))
    _server: asyncio.Server | None = None
    _handler: web.Server | None = None
    _transports: set[asyncio.BaseTransport] = field(default_factory=set)

    async def start(self) -> None:
        """Start to serve; a restart uses the same port and keeps no state."""
        self._running = self._waiting = 0
        self.limit_per_second = self.pause_seconds = None
        self.says_leaving = False
        self._free = asyncio.Semaphore(self.slots)
        self._handler = web.Server(
            self._handle, handler_cancellation=True, access_log=None
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._handler, SERVER_HOST, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Stop immediately and reset all connections."""
        if self._server is None or self._handler is None:
            return
        self._server.close()
        for connection in list(self._handler.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._server = None
        await self._handler.shutdown(0.0)

    @property
    def is_up(self) -> bool:
        """Return whether the server is running."""
        return self._server is not None

    def registration(self, port: int, state: str = 'ready') -> dict[str, Any]:
        """Return the server's next registration, with ``port`` in its address."""
        self._registrations += 1
        return {
            'service': self.service,
            'address': f'127.0.0.1:{port}',
            'zone': self.failure_domain,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': self._registrations,
            'born': self.born,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get('Request-Id', '')
        headers = {'Request-Id': request_id, 'Instance-Id': self.id}
        if self.limit_per_second is not None:
            headers['Server-Limit'] = f'{self.limit_per_second:g}'
        if self.says_leaving:
            headers['Server-Leaving'] = '1'
        if request.headers.get('Target-Instance', self.id) != self.id:
            return web.Response(status=421, headers=headers)
        now = asyncio.get_running_loop().time()
        self.arrivals.append(ServerArrival(request_id, now))
        if self.pause_seconds is not None:
            self.turned_away.append(TurnedAway(request_id, now, self.pause_seconds))
            headers['Retry-After'] = f'{self.pause_seconds:.3f}'
            return web.Response(status=503, headers=headers | NOT_EXECUTED)
        if self._waiting >= self.slots * QUEUED_PER_SLOT:
            return web.Response(status=503, headers=headers | NOT_EXECUTED)
        await request.read()
        self._waiting += 1
        try:
            seconds = float(request.headers['Deadline-Milliseconds']) / 1000.0
            await asyncio.wait_for(self._free.acquire(), seconds)
        except TimeoutError:
            return web.Response(status=503, headers=headers | NOT_EXECUTED)
        finally:
            self._waiting -= 1
        try:
            return await self._run(request, request_id, headers)
        finally:
            self._free.release()

    async def _run(
        self, request: web.BaseRequest, request_id: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        now = asyncio.get_running_loop().time()
        self.on_run(
            ServerRun(
                request_id,
                self.id,
                self.service,
                self.failure_domain,
                now,
                tuple(request.headers.getall('Tenant', ())),
                'Authorization' in request.headers,
            )
        )
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self._running -= 1
        if self.lose_answers and request.transport is not None:
            request.transport.abort()
        body = response_body(self.id, request_id, request.path, self.body_bytes)
        headers |= {
            'Response-Stamp': response_stamp(self.id, request_id),
            'Server-Load': f'{self._running},{self._waiting},{self.slots}',
        }
        if self.spoil_answers:
            headers['Content-Length'] = str(len(body))
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(body[: len(body) // 2])
            if request.transport is not None:
                request.transport.abort()
            return response
        return web.Response(headers=headers, body=body)
