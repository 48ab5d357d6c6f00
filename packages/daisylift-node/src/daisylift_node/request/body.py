"""The body of a caller's request: small bodies are buffered, large ones streamed."""

from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
from aiohttp import web

READ_AHEAD_BYTES = 64 * 1024
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


Pace = Callable[[int], Awaitable[None]]


class CallerBodyError(aiohttp.ClientError):
    """The caller's body was truncated or could not be read."""


class CallerBody:
    """Reads a body once; it can be sent again only while all of it is in memory.

    ``head`` is the beginning of the body, as far as it was read into memory.
    ``failed`` is set when reading from the caller failed.
    """

    def __init__(self, request: web.BaseRequest, expects_continue: bool) -> None:
        self.failed = False
        self.head = b''
        self._request = request
        self._complete = not request.can_read_body
        self._expects_continue = expects_continue
        self._streamed = False

    @property
    def is_empty(self) -> bool:
        """Return whether there is no body."""
        return self._complete and not self.head

    @property
    def is_replayable(self) -> bool:
        """Return whether the complete body can be sent, or sent again."""
        return not self._streamed

    @property
    def is_complete(self) -> bool:
        """Return whether ``head`` is the complete body."""
        return self._complete

    async def read_ahead(self, limit: int = READ_AHEAD_BYTES) -> None:
        """Read until ``head`` has ``limit`` bytes or the complete body.

        Raise CallerBodyError when reading from the caller fails.
        """
        if self._complete:
            return
        await self._continue()
        parts = [self.head]
        size = len(self.head)
        while size < limit:
            part = await self._read(limit - size)
            if not part:
                self._complete = True
                break
            parts.append(part)
            size += len(part)
        self.head = b''.join(parts)
        if not self._complete and self._request.content.at_eof():
            self._complete = True

    async def read_all(self, limit: int) -> bool:
        """Read up to ``limit`` bytes; return whether the complete body is in memory."""
        parts = [self.head]
        size = len(self.head)
        while not self._complete and size < limit:
            part = await self._read(min(limit - size, READ_AHEAD_BYTES))
            self._complete = not part
            parts.append(part)
            size += len(part)
        self.head = b''.join(parts)
        if self._request.content.at_eof():
            self._complete = True
        return self._complete

    def payload(self, pace: Pace) -> bytes | AsyncIterator[bytes] | None:
        """Return the data for the HTTP client; parts after the head are paced."""
        if self._complete:
            return self.head or None
        return self._stream(pace)

    async def _stream(self, pace: Pace) -> AsyncIterator[bytes]:
        self._streamed = True
        yield self.head
        while part := await self._read(READ_AHEAD_BYTES):
            await pace(len(part))
            yield part

    async def _continue(self) -> None:
        if not self._expects_continue:
            return
        self._expects_continue = False
        await self._request.writer.write(CONTINUE)
        self._request.writer.output_size = 0

    async def _read(self, limit: int) -> bytes:
        content = self._request.content
        try:
            return await content.read(limit)
        except (aiohttp.ClientError, web.RequestPayloadError, OSError) as error:
            self.failed = True
            raise CallerBodyError(repr(error)) from error
