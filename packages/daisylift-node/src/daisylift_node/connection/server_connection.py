"""One connection to a backend server: one request at a time, strictly framed.

Anything that makes the framing uncertain closes the connection: unexpected bytes, bytes
after a complete response, a response that arrived before the request was sent.
"""

import asyncio
import socket
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import cast

import h11

from daisylift.decisions.response_memory import ResponseMemory
from daisylift_node.connection.sockets import (
    enable_silence_detection,
    set_keepalive_probes,
)
from daisylift_node.request.dialect import RawHeaders

MAX_HEAD_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # maximum buffered in memory for one caller
MAX_INTERIM_HEADS = 16  # per response; servers have no reason to send more than one
BASE_PART_LIMIT = 1024  # per response; each part costs CPU time, however short it is
BODY_BYTES_PER_EXTRA_PART = 64  # this many bytes of body allow one more part
RESET_ON_CLOSE = struct.pack('ii', 1, 0)  # linger for 0 s: a reset, drops unsent data
SILENCE_TIMEOUT_MS = 2500  # two successive probes must have gone unanswered
HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)


class ExchangeLostError(Exception):
    """No complete response arrived; the server may have run the request.

    ``lost_before_response``: the connection ended before a response had begun.
    ``is_silent``: the server's machine no longer responds at all.
    """

    def __init__(
        self, reason: str, lost_before_response: bool = False, is_silent: bool = False
    ) -> None:
        super().__init__(reason)
        self.lost_before_response = lost_before_response
        self.is_silent = is_silent


class UnsendableError(Exception):
    """The request is not valid HTTP for a backend server; the caller's fault."""


class NotSentError(Exception):
    """No byte of the request was sent, so it did not run."""


class WithdrawnError(NotSentError):
    """The server was given up for the request before a byte was sent."""


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A request to a backend server."""

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes

    def to_bytes(self, connection: h11.Connection) -> bytes:
        """Return the request as bytes to send over the connection."""
        headers = [
            pair
            for pair in self.headers
            if pair[0].lower() not in HOP_BY_HOP
            and pair[0].lower() not in (b'content-length', b'expect')
        ]
        if self.body or self.method not in (b'GET', b'HEAD', b'DELETE', b'OPTIONS'):
            headers.append((b'Content-Length', str(len(self.body)).encode()))
        request = h11.Request(method=self.method, target=self.target, headers=headers)
        parts = [connection.send(request)]
        if self.body:
            parts.append(connection.send(h11.Data(data=self.body)))
        parts.append(connection.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """A complete response of a backend server, with its complete body."""

    status: int
    reason: str
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes

    def headers_by_name(self) -> Mapping[str, str]:
        """Return the headers by lower-case name; the last one of a name wins."""
        return {
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in self.headers
        }

    def count_headers(self, name: str) -> int:
        """Return how many headers have this name, which is in lower case."""
        encoded = name.encode('latin-1')
        return sum(each.lower() == encoded for each, _ in self.headers)


class ServerConnection(asyncio.Protocol):
    """Sends requests to one backend server, one at a time."""

    def __init__(
        self, memory: 'ResponseMemory[ServerConnection] | None' = None
    ) -> None:
        self.is_open = False
        self._memory = memory or ResponseMemory(MAX_RESPONSE_BYTES)
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._is_probed = True
        self._pending: asyncio.Future[ServerResponse] | None = None
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._parts = 0
        self._interim_heads = 0
        self._responded_early = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and enable detection of a silent server."""
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True
        connected_socket = transport.get_extra_info('socket')
        if connected_socket is not None:
            enable_silence_detection(connected_socket, SILENCE_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; close the connection if none is expected."""
        if self._pending is None or self._pending.done():
            self.close()
            return
        for longest in self._memory.add(self, len(data)):
            longest.break_off('the memory limit for responses is reached')
        if self._pending.done():
            return
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._fail(f'the response is malformed: {error}')

    def eof_received(self) -> bool:
        """Complete a response without a length, if one is being read, and close."""
        if self._pending is not None:
            try:
                self._h11.receive_data(b'')
                self._process_events()
            except h11.RemoteProtocolError as error:
                reason = f'the server closed the connection early: {error}'
                self._fail(reason, lost_before_response=self._head is None)
        self.close()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.is_open = False
        is_silent = isinstance(error, TimeoutError)
        reason = 'the connection was reset' if error else 'the connection closed'
        if is_silent:
            reason = 'the server no longer responds'
        self._fail(reason, lost_before_response=self._head is None, is_silent=is_silent)

    async def exchange(
        self, request: ServerRequest, repeatable: bool = True
    ) -> ServerResponse:
        """Send the request and return its complete response.

        A repeatable request is aborted when the server's machine goes silent. Any
        other request keeps waiting, because the machine may be cut off only
        temporarily and the request can't be sent to another server.

        Raise NotSentError, ExchangeLostError, or UnsendableError before a byte was
        sent. If cancelled, the connection is reset, so that the server can drop the
        request.
        """
        if not self.is_open or self._transport is None or self._transport.is_closing():
            raise NotSentError('the connection was closed while it was idle')
        self._set_probes(repeatable)
        self._pending = asyncio.get_running_loop().create_future()
        self._head, self._body = None, []
        self._parts, self._interim_heads = 0, 0
        try:
            self._transport.write(request.to_bytes(self._h11))
            return await self._pending
        except h11.LocalProtocolError as error:
            self.reset()
            raise UnsendableError(str(error)) from error
        except asyncio.CancelledError:
            self.reset()
            raise
        finally:
            self._pending = None
            self._discard_body()

    def break_off(self, reason: str) -> None:
        """End the exchange in progress with ExchangeLostError."""
        self._fail(reason)

    def prepare_for_reuse(self) -> bool:
        """Prepare for the next request; return whether that is possible."""
        transport = self._transport
        if not self.is_open or transport is None or transport.is_closing():
            return False
        if self._responded_early or self._h11.trailing_data[0]:
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.idle_since = asyncio.get_running_loop().time()
        return True

    def reset(self) -> None:
        """Reset the connection, so that nothing more of a request can arrive.

        After a plain close the kernel keeps resending bytes that an interrupted link
        has delayed, and the server would run the request once the link is back.
        """
        transport = self._transport
        # A closing transport may already have released its file descriptor.
        if transport is not None and not transport.is_closing():
            connected_socket = transport.get_extra_info('socket')
            connected_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.close()

    def close(self) -> None:
        """Close immediately; bytes that the transport still buffers are dropped."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _set_probes(self, enabled: bool) -> None:
        if enabled == self._is_probed or self._transport is None:
            return
        set_keepalive_probes(self._transport.get_extra_info('socket'), enabled)
        self._is_probed = enabled

    def _process_events(self) -> None:
        while self._pending is not None and not self._pending.done():
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.InformationalResponse):
                self._interim_heads += 1
                if self._interim_heads > MAX_INTERIM_HEADS:
                    self._fail('the response has too many interim heads')
            elif isinstance(event, h11.Data):
                self._add_part(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(
                    'the connection closed', lost_before_response=self._head is None
                )

    def _add_part(self, part: bytes) -> None:
        self._parts += 1
        if self._body_bytes + len(part) > MAX_RESPONSE_BYTES:
            self._fail('the response is too large')
        elif (
            self._parts
            > BASE_PART_LIMIT + self._body_bytes // BODY_BYTES_PER_EXTRA_PART
        ):
            self._fail('the response has too many short parts')
        else:
            self._body.append(part)
            self._body_bytes += len(part)

    def _complete(self) -> None:
        head, pending, transport = self._head, self._pending, self._transport
        if head is None or pending is None or transport is None:
            self._fail('the response has no head')
            return
        self._responded_early = transport.get_write_buffer_size() > 0
        self.keep_alive_seconds = _keep_alive_seconds(head.headers)
        response = ServerResponse(
            status=head.status_code,
            reason=bytes(head.reason).decode('latin-1'),
            headers=head.headers.raw_items(),
            body=b''.join(self._body),
        )
        pending.set_result(response)

    def _fail(
        self, reason: str, lost_before_response: bool = False, is_silent: bool = False
    ) -> None:
        if self._pending is not None and not self._pending.done():
            error = ExchangeLostError(reason, lost_before_response, is_silent)
            self._pending.set_exception(error)
        self._discard_body()
        self.reset()

    def _discard_body(self) -> None:
        """Free the bytes; the error or its traceback may keep the connection alive."""
        self._body = []
        self._body_bytes = 0
        self._memory.release(self)


def _keep_alive_seconds(headers: h11._headers.Headers) -> float | None:
    for name, value in headers:
        if name != b'keep-alive':
            continue
        for part in value.split(b','):
            key, _, seconds = part.strip().partition(b'=')
            if key.lower() == b'timeout' and seconds.isdigit():
                return float(seconds)
    return None
