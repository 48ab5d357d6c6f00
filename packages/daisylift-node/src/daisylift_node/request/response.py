"""Passes a response to its sink, completely or visibly aborted."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Protocol

import aiohttp
from aiohttp import web

from daisylift import headers
from daisylift.outcome import Outcome
from daisylift_node.connection.upstream import READ_CHUNK_BYTES
from daisylift_node.request.ending import Aborted, Answered, Ending
from daisylift_node.request.problem import Reason, may_have_run

INTERNAL_HEADERS = frozenset(
    name.lower() for name in (headers.LOAD, headers.DRAINING, headers.OUTCOME)
)
RESET_ON_CLOSE = struct.pack('ii', 1, 0)  # linger for 0 s: close sends a reset

HeaderPairs = Sequence[tuple[str, str]]
Pace = Callable[[int], Awaitable[None]]


class ResponseSink(Protocol):
    """Receives one response: its start, its chunks, and its end or an abort."""

    async def start(self, status: int, fields: HeaderPairs) -> None:
        """Receive the status and the headers."""

    async def write(self, chunk: bytes) -> None:
        """Receive the next bytes of the body."""

    async def finish(self) -> None:
        """End the response, which is complete."""

    def abort(self) -> None:
        """Abort the response, which stays incomplete."""


class CallerResponse:
    """Streams the response to the caller."""

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse:
        """Return the started response; raise RuntimeError if there is none."""
        if self._response is None:
            raise RuntimeError('no response was started')
        return self._response

    async def start(self, status: int, fields: HeaderPairs) -> None:
        """Send the status and the headers."""
        self._response = web.StreamResponse(status=status)
        for name, value in fields:
            self._response.headers.add(name, value)
        await self._response.prepare(self._request)

    async def write(self, chunk: bytes) -> None:
        """Send the next bytes of the body."""
        await self.response.write(chunk)

    async def finish(self) -> None:
        """End the response."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Reset the caller's connection, so that the caller sees the truncation.

        An HTTP/1.0 response without a length ends when the connection closes; only a
        reset shows the caller that the response is incomplete.
        """
        transport = self._request.transport
        if transport is None:
            return
        connection = transport.get_extra_info('socket')
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()


def response_headers(upstream: aiohttp.ClientResponse, outcome: Outcome) -> HeaderPairs:
    """Return the headers of a response for the caller."""
    connection = upstream.headers.getall('Connection', ())
    fields = [
        (name, value)
        for name, value in headers.end_to_end(upstream.headers.items(), connection)
        if name.lower() not in INTERNAL_HEADERS
    ]
    fields.append((headers.OUTCOME, outcome.value))
    return fields


async def stream_response(
    upstream: aiohttp.ClientResponse,
    sink: ResponseSink,
    fields: HeaderPairs,
    pace: Pace,
) -> Ending:
    """Stream the response into the sink; abort it if it can't be completed.

    A cancellation, by the deadline or by a caller that disconnects, aborts it too.
    """
    try:
        await sink.start(upstream.status, fields)
        async for chunk in _read(upstream):
            await pace(len(chunk))
            await sink.write(chunk)
        await sink.finish()
    except (_UpstreamError, ConnectionError) as error:
        upstream.close()
        sink.abort()
        refusal = may_have_run(Reason.CONNECTION_LOST, f'the answer broke off: {error}')
        return Aborted(refusal, isinstance(error, _UpstreamError))
    except asyncio.CancelledError:
        upstream.close()
        sink.abort()
        raise
    return Answered()


class _UpstreamError(Exception):
    """Reading the response from the backend server failed."""


async def _read(upstream: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for chunk in upstream.content.iter_chunked(READ_CHUNK_BYTES):
            yield chunk
    except (aiohttp.ClientError, OSError) as error:
        raise _UpstreamError(type(error).__name__) from error
