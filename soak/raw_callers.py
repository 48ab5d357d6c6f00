"""Callers that write bytes themselves: slow, chunked, pipelined and stalled requests.

Each keeps its connection until the entry VM ends it. Unlike an HTTP library, they know
when the last byte of a request was sent.
"""

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field

from soak.fleet import EntryVm, Fleet
from soak.ledger import RequestOutcome
from tests.fakes.loopback import CALLER_PORT

WHOLE_KINDS = ('whole', 'length', 'chunked', 'expect', 'pipelined')
KINDS = (*WHOLE_KINDS, 'stalled')
DEADLINE_MS = 2000
RESPONSE_SECONDS = 6.0
PIECES = 5
PIECE_BYTES = 3000
MAX_PIECE_PERIOD_SECONDS = 0.2
STALLED_PIECES = 2  # of a stalled body, which is never completed
PIPELINED = 3
PAUSE_SECONDS = 0.1
END_OF_HEAD = b'\r\n\r\n'
CONTINUE = b'HTTP/1.1 100'


@dataclass(slots=True)
class RawRequest:
    """A request; ``completed_at`` is when its last byte was sent."""

    request_id: str
    path: str
    is_safe: bool
    sent_at: float
    completed_at: float | None = None
    status: int | None = None
    stamp: str = ''
    body: bytes = b''

    def head(self, *headers: str) -> bytes:
        """Return the head of the request."""
        lines = (
            f'{"GET" if self.is_safe else "POST"} {self.path} HTTP/1.1',
            'Host: a.example',
            f'Request-Id: {self.request_id}',
            f'Deadline-Milliseconds: {DEADLINE_MS}',
            *headers,
        )
        return '\r\n'.join(lines).encode() + END_OF_HEAD


@dataclass(slots=True)
class RawCallerGroup:
    """Raw callers; the outcomes of their requests go to the fleet's ledger."""

    fleet: Fleet
    rng: random.Random
    is_stopping: bool = False
    _numbers: itertools.count = field(default_factory=itertools.count)

    async def call(self, vm: EntryVm, kinds: tuple[str, ...] = KINDS) -> None:
        """Send requests to one VM, one connection after the other."""
        while not self.is_stopping:
            with contextlib.suppress(OSError):  # it may not listen
                await self._use_connection(vm, kinds)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _use_connection(self, vm: EntryVm, kinds: tuple[str, ...]) -> None:
        async with _connection(vm) as (reader, writer):
            while await self._exchange(vm, reader, writer, kinds):
                pass

    async def _exchange(
        self,
        vm: EntryVm,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kinds: tuple[str, ...],
    ) -> bool:
        """Send requests of one kind; return whether the connection can be kept."""
        kind = self.rng.choice(kinds)
        is_safe = kind in ('whole', 'pipelined')
        requests = [
            self._make_request(is_safe)
            for _ in range(PIPELINED if kind == 'pipelined' else 1)
        ]
        sending = asyncio.create_task(self._send(kind, requests, writer))
        try:
            async with asyncio.timeout(RESPONSE_SECONDS):
                for request in requests:
                    await _read_response(reader, request)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass  # without a complete response; the ledger decides if that is allowed
        finally:
            was_sent = sending.done()
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        for request in requests:
            self._record(vm, request, kind == 'stalled')
        return was_sent and all(each.status is not None for each in requests)

    def _make_request(self, is_safe: bool) -> RawRequest:
        number = next(self._numbers)
        path = f'/{"a" if is_safe else "o"}/{number % 40}'
        return RawRequest(f'raw{number}', path, is_safe, self.fleet.now())

    async def _send(
        self,
        kind: str,
        requests: list[RawRequest],
        writer: asyncio.StreamWriter,
    ) -> None:
        period = MAX_PIECE_PERIOD_SECONDS * self.rng.random()
        for piece in _pieces(kind, requests):
            try:
                writer.write(piece)
                await writer.drain()
            except (OSError, RuntimeError):  # uvloop raises it for a closed transport
                return  # the response, or its absence, tells the rest
            if kind not in ('whole', 'pipelined'):
                await asyncio.sleep(period)
        if kind == 'stalled':
            await asyncio.sleep(RESPONSE_SECONDS)
            return
        for request in requests:
            request.completed_at = self.fleet.now()

    def _record(self, vm: EntryVm, request: RawRequest, is_stalled: bool) -> None:
        self.fleet.ledger.outcomes.append(
            RequestOutcome(
                request_id=request.request_id,
                vm=vm.name,
                path=request.path,
                repeatable=request.is_safe,
                sent_at=request.sent_at,
                ended_at=self.fleet.now(),
                status=request.status,
                stamp=request.stamp,
                body=request.body,
                is_aborted=is_stalled,
                completed_at=request.completed_at,
            )
        )


@contextlib.asynccontextmanager
async def _connection(
    vm: EntryVm,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    reader, writer = await asyncio.open_connection(vm.host, CALLER_PORT)
    try:
        yield reader, writer
    finally:
        writer.close()


def _pieces(kind: str, requests: list[RawRequest]) -> Iterator[bytes]:
    """Yield the bytes of the requests in the pieces in which they are sent."""
    if kind in ('whole', 'pipelined'):
        yield b''.join(each.head() for each in requests)
        return
    (request,) = requests
    expect = ('Expect: 100-continue',) if kind == 'expect' else ()
    piece = b'x' * PIECE_BYTES
    if kind == 'chunked':
        yield request.head('Transfer-Encoding: chunked')
        for _ in range(PIECES):
            yield f'{PIECE_BYTES:x}\r\n'.encode() + piece + b'\r\n'
        yield b'0\r\n\r\n'
        return
    yield request.head(f'Content-Length: {PIECES * PIECE_BYTES}', *expect)
    for _ in range(STALLED_PIECES if kind == 'stalled' else PIECES):
        yield piece


async def _read_response(reader: asyncio.StreamReader, request: RawRequest) -> None:
    """Read the final response to the request."""
    head = CONTINUE
    while head.startswith(CONTINUE):
        head = await reader.readuntil(END_OF_HEAD)
    lines = head.decode('latin-1').split('\r\n')
    pairs = (line.split(': ', 1) for line in lines[1:] if line)
    fields = {name.lower(): value for name, value in pairs}
    request.body = await reader.readexactly(int(fields.get('content-length', '0')))
    request.stamp = fields.get('response-stamp', '')
    request.status = int(lines[0].split(' ')[1])
