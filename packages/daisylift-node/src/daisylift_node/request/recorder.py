"""Keeps a copy of a response for repeats while it is sent to the caller."""

from collections.abc import Awaitable

from daisylift import headers
from daisylift.decisions.idempotency import StoredResponse
from daisylift_node.request.response import HeaderPairs, ResponseSink

MAX_KEPT_RESPONSE_BYTES = 64 * 1024
CONNECTION_HEADERS = headers.HOP_BY_HOP | {'date', 'server', 'content-length'}


class RecordingSink:
    """Passes a response on and keeps a copy of up to ``max_bytes``.

    ``kept`` stays None for a larger body. The complete response is read even if the
    caller disconnects, because a repeat may request it.
    """

    def __init__(
        self, caller: ResponseSink, max_bytes: int = MAX_KEPT_RESPONSE_BYTES
    ) -> None:
        self.kept: StoredResponse | None = None
        self._caller = caller
        self._caller_connected = True
        self._max_bytes = max_bytes
        self._status = 0
        self._fields: HeaderPairs = ()
        self._chunks: list[bytes] = []
        self._size = 0

    async def start(self, status: int, fields: HeaderPairs) -> None:
        """Keep the status and the headers and pass them on."""
        self._status = status
        self._fields = fields
        await self._send_to_caller(self._caller.start(status, fields))

    async def write(self, chunk: bytes) -> None:
        """Keep the bytes while the body is within the limit, and pass them on."""
        self._size += len(chunk)
        if self._size <= self._max_bytes:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()
        if self._caller_connected:
            await self._send_to_caller(self._caller.write(chunk))

    async def finish(self) -> None:
        """Keep the complete response and end it for the caller."""
        if self._size <= self._max_bytes:
            self.kept = self._kept_response()
        if self._caller_connected:
            await self._send_to_caller(self._caller.finish())

    def abort(self) -> None:
        """Abort the response to the caller; nothing is kept."""
        self.kept = None
        self._caller.abort()

    def _kept_response(self) -> StoredResponse:
        fields = tuple(
            (name, value)
            for name, value in self._fields
            if name.lower() not in CONNECTION_HEADERS
        )
        return StoredResponse(self._status, fields, b''.join(self._chunks))

    async def _send_to_caller(self, sent: Awaitable[None]) -> None:
        try:
            await sent
        except ConnectionError:
            self._caller_connected = False


async def replay(response: StoredResponse, sink: ResponseSink) -> None:
    """Send a kept response to a repeated request."""
    length = ('Content-Length', str(len(response.body)))
    fields = (*response.headers, length, (headers.REPLAYED, 'true'))
    await sink.start(response.status, fields)
    await sink.write(response.body)
    await sink.finish()
