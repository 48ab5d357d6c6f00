"""Backend servers and callers that exchange raw HTTP bytes, to cause exact faults."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

READ_BYTES = 64 * 1024
RESPONSE_TIMEOUT_SECONDS = 10.0
SETTLE_SECONDS = 5.0
POLL_SECONDS = 0.002

Script = Callable[['WireRequest'], Awaitable[None]]


@dataclass(slots=True)
class WireRequest:
    """A received request and the connection on which to respond."""

    head: bytes
    body: bytes
    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def line(self) -> str:
        """Return the request line."""
        return self.head.split(b'\r\n', 1)[0].decode()

    def fields(self) -> dict[str, str]:
        """Return the headers, keyed by lower-case name."""
        lines = self.head.decode().strip().split('\r\n')[1:]
        pairs = (line.split(': ', 1) for line in lines)
        return {name.lower(): value for name, value in pairs}

    async def respond(self, raw: bytes) -> None:
        """Send raw response bytes."""
        self.writer.write(raw)
        await self.writer.drain()


@dataclass(slots=True)
class WireServer:
    """Calls its script for each request; records requests and closed connections."""

    script: Script
    port: int = 0
    requests: list[WireRequest] = field(default_factory=list)
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = 0
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b'\r\n\r\n')
                request = WireRequest(head, b'', number, reader, writer)
                self.requests.append(request)
                request.body = await _read_body(request)
                await self.script(request)
                number += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()


async def respond_ok(request: WireRequest) -> None:
    """Respond with the request line as the body."""
    body = request.line.encode()
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    await request.respond(head.encode() + body)


async def refuse_before_running(request: WireRequest) -> None:
    """Refuse the request with the outcome ``did-not-run``."""
    await request.respond(
        b'HTTP/1.1 503 Busy\r\nDaisylift-Outcome: did-not-run\r\n'
        b'Content-Length: 0\r\n\r\n'
    )


async def abort_connection(request: WireRequest) -> None:
    """Abort the connection without a response."""
    request.writer.transport.abort()


async def stay_silent(request: WireRequest) -> None:
    """Send no response until the peer closes the connection."""
    if await request.reader.read(1) == b'':
        raise ConnectionError('the peer closed the connection')


@dataclass(frozen=True, slots=True)
class RawResponse:
    """All bytes received, and whether the connection ended with a reset."""

    raw: bytes
    was_reset: bool

    @property
    def status(self) -> int:
        """Return the status of the first response, 0 if there is none."""
        return int(self.raw.split(b' ', 2)[1]) if self.raw else 0


async def send_raw(port: int, raw: bytes, end: bool = False) -> RawResponse:
    """Send bytes as a caller and return everything received until the end.

    ``end`` closes the sending side after the bytes.
    """
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(raw)
    if end:
        writer.write_eof()
    received = b''
    was_reset = False
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            while part := await reader.read(READ_BYTES):
                received += part
    except ConnectionError:
        was_reset = True
    writer.close()
    return RawResponse(received, was_reset)


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until the condition is true; raise TimeoutError after SETTLE_SECONDS."""
    async with asyncio.timeout(SETTLE_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)


async def _read_body(request: WireRequest) -> bytes:
    fields = request.fields()
    if 'content-length' in fields:
        return await request.reader.readexactly(int(fields['content-length']))
    if fields.get('transfer-encoding') != 'chunked':
        return b''
    parts = []
    while True:
        size = int(await request.reader.readline(), 16)
        part = await request.reader.readexactly(size + 2)
        if size == 0:
            return b''.join(parts)
        parts.append(part[:-2])
