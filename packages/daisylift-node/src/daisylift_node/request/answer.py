"""Passes a backend server's answer to the caller, whole or visibly broken off."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
from aiohttp import web

from daisylift import headers
from daisylift.outcome import Outcome
from daisylift_node.connection.upstream import READ_CHUNK_BYTES
from daisylift_node.request.call import Call
from daisylift_node.request.ending import Answered, BrokenOff, Ending
from daisylift_node.request.problem import Reason, unknown

INTERNAL_HEADERS = frozenset(
    name.lower() for name in (headers.LOAD, headers.DRAINING, headers.OUTCOME)
)

RESET_ON_CLOSE = struct.pack('ii', 1, 0)

Pace = Callable[[int], Awaitable[None]]


def answer_head(
    upstream: aiohttp.ClientResponse, outcome: Outcome
) -> web.StreamResponse:
    """Return the answer for the caller, with all but its body."""
    answer = web.StreamResponse(status=upstream.status, reason=upstream.reason)
    connection = upstream.headers.getall('Connection', ())
    for name, value in headers.end_to_end(upstream.headers.items(), connection):
        if name.lower() not in INTERNAL_HEADERS:
            answer.headers.add(name, value)
    answer.headers[headers.OUTCOME] = outcome.value
    return answer


async def pass_answer(
    call: Call,
    upstream: aiohttp.ClientResponse,
    answer: web.StreamResponse,
    pace: Pace,
) -> Ending:
    """Stream the answer; cut the caller's connection when it can't be ended.

    A cancellation, by the deadline or by a caller that goes away, cuts it as well.
    """
    if call.recorder is not None:
        call.recorder.begin(answer.status, answer.headers)
    try:
        await answer.prepare(call.request)
        async for part in _read(upstream):
            await pace(len(part))
            if call.recorder is not None:
                call.recorder.write(part)
            await answer.write(part)
        await answer.write_eof()
    except (_UpstreamError, ConnectionError) as error:
        upstream.close()
        return _broken_off(call, answer, error)
    except asyncio.CancelledError:
        upstream.close()
        _cut(call.request)
        raise
    if call.recorder is not None:
        call.recorder.end()
    return Answered(answer)


class _UpstreamError(Exception):
    """The backend server's side of the answer broke."""


async def _read(upstream: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for part in upstream.content.iter_chunked(READ_CHUNK_BYTES):
            yield part
    except (aiohttp.ClientError, OSError) as error:
        raise _UpstreamError(type(error).__name__) from error


def _broken_off(call: Call, answer: web.StreamResponse, error: Exception) -> BrokenOff:
    _cut(call.request)
    refusal = unknown(Reason.CONNECTION_LOST, f'the answer broke off: {error}')
    return BrokenOff(answer, refusal, isinstance(error, _UpstreamError))


def _cut(request: web.BaseRequest) -> None:
    """Reset the caller's connection, so that a short answer can't pass as whole.

    An HTTP/1.0 answer without a length ends with its connection; only a reset tells
    the caller that this end is none.
    """
    transport = request.transport
    if transport is None:
        return
    connection = transport.get_extra_info('socket')
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
