"""Backend server that writes scripted bytes, to cause HTTP framing errors."""

import asyncio
import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from types import TracebackType

from daisylift.models.registered_server import RegisteredServer

LINGER_ZERO = struct.pack('ii', 1, 0)
END_OF_HEAD = b'\r\n\r\n'


@dataclass(slots=True)
class Script:
    """The response bytes for one request, and how the connection ends after them.

    ``before_body`` responds without reading the request body; ``late`` is written
    ``late_seconds`` after the response.
    """

    response: bytes
    close: bool = False
    reset: bool = False
    before_body: bool = False
    after_seconds: float = 0.0
    late: bytes = b''
    late_seconds: float = 0.05


@dataclass(slots=True)
class ScriptedServer:
    """Listens on a loopback port and plays the next script for each request."""

    scripts: list[Script]
    requests: list[bytes] = field(default_factory=list)
    connections: int = 0
    port: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def __aenter__(self) -> 'ScriptedServer':
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def registration(self, server_id: str = 'i-1', slots: int = 4) -> RegisteredServer:
        """Return the registration of this server."""
        return RegisteredServer(
            id=server_id,
            service='catalogue',
            host='127.0.0.1',
            port=self.port,
            failure_domain='arusha-a',
            slots=slots,
            leaving=False,
            cold_seconds=0.0,
            started_at_ms=1,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            while self.scripts:
                head = await reader.readuntil(END_OF_HEAD)
                script = self.scripts.pop(0)
                if not script.before_body:
                    head += await reader.readexactly(_length(head))
                self.requests.append(head)
                if not await _play(script, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


async def _play(script: Script, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(script.after_seconds)
    writer.write(script.response)
    await writer.drain()
    if script.reset:
        await asyncio.sleep(script.late_seconds)
        connected = writer.get_extra_info('socket')
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        writer.transport.abort()
        return False
    if script.late:
        await asyncio.sleep(script.late_seconds)
        writer.write(script.late)
    return not script.close


def _length(head: bytes) -> int:
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == b'content-length':
            return int(value)
    return 0


def http_response(
    body: bytes, request_id: str, status: str = '200 OK', extra: Sequence[str] = ()
) -> bytes:
    """Return a valid response of a backend server on the platform."""
    lines = [
        f'HTTP/1.1 {status}',
        f'Request-Id: {request_id}',
        'Response-Stamp: s',
        f'Content-Length: {len(body)}',
        *extra,
    ]
    return '\r\n'.join(lines).encode() + END_OF_HEAD + body
