"""Stand-in of an upstream, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lab.http import Message, read_body, read_head, response_bytes

DOWN_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an upstream began to run."""

    upstream: str
    request_id: str
    at: float
    message: Message


@dataclass(slots=True, eq=False)
class Upstream:
    """Runs requests, one at a time on each connection.

    A request for which ``is_poison`` returns True crashes the upstream: all of its
    connections end, and it is back after DOWN_SECONDS, as a new incarnation.
    """

    id: str
    service: str
    zone: str
    on_run: Callable[[Run], None]
    on_start: Callable[['Upstream'], None] = lambda upstream: None
    is_poison: Callable[[Message], bool] = lambda message: False
    slots: int = 6
    work_seconds: float = 0.05
    port: int = 0
    host: str = '127.0.0.1'
    crashes: int = 0
    _born: int = 0
    _sequence: int = 0
    _running: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen and register; a restart uses the same address."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._born = max(self._born + 1, int(time.time() * 1000))
        self._sequence = 0
        self.on_start(self)

    async def stop(self) -> None:
        """End at once: stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def registration(self, state: str = 'ready') -> dict[str, Any]:
        """Return the entry that the upstream writes to the store."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': self._born,
        }

    async def _crash(self) -> None:
        self.crashes += 1
        await self.stop()
        await asyncio.sleep(DOWN_SECONDS)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while (message := await read_head(reader)) is not None:
                    await read_body(reader, message)
                    await self._handle(message, writer)
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        request_id = message.headers.get('request-id', '')
        headers = {'Instance-Id': self.id, 'Request-Id': request_id}
        if message.headers.get('target-instance', self.id) != self.id:
            writer.write(response_bytes(421, headers, b''))
            return
        if self._running >= self.slots:
            headers['Not-Executed'] = '1'
            writer.write(response_bytes(503, headers, b''))
            return
        self.on_run(Run(self.id, request_id, time.monotonic(), message))
        if self.is_poison(message):
            crash = asyncio.create_task(self._crash())
            await asyncio.shield(crash)
            return
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self._running -= 1
        headers['Response-Stamp'] = f'{self.id}.{request_id}'
        headers['Server-Load'] = f'{self._running},0,{self.slots}'
        body = f'{self.id} {request_id} {message.target}\n'.encode()
        writer.write(response_bytes(200, headers, body))
        await writer.drain()
