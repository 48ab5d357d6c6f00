"""The body of a caller's request: small ones are read ahead, large ones streamed."""

from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
from aiohttp import web

READ_AHEAD_BYTES = 64 * 1024
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


Pace = Callable[[int], Awaitable[None]]


class CallerBodyError(aiohttp.ClientError):
    """The caller's body ended short or could not be read."""


class CallerBody:
    """Reads a body once; can be sent again only while all of it is in memory.

    ``failed`` is set when the caller's side of it broke.
    """

    def __init__(self, request: web.BaseRequest, expects_continue: bool) -> None:
        self.failed = False
        self.head = b''
        self._request = request
        self._whole = not request.can_read_body
        self._expects_continue = expects_continue
        self._streamed = False

    @property
    def is_empty(self) -> bool:
        """Say whether there is no body at all."""
        return self._whole and not self.head

    @property
    def is_replayable(self) -> bool:
        """Say whether the body can be sent, or sent again, as a whole."""
        return not self._streamed

    @property
    def is_whole(self) -> bool:
        """Say whether ``head`` is all of the body."""
        return self._whole

    async def read_ahead(self, limit: int = READ_AHEAD_BYTES) -> None:
        """Read on until ``head`` has so many bytes or all there are.

        Raise CallerBodyError when the caller's side breaks.
        """
        if self._whole:
            return
        await self._continue()
        parts = [self.head]
        size = len(self.head)
        while size < limit:
            part = await self._read(limit - size)
            if not part:
                self._whole = True
                break
            parts.append(part)
            size += len(part)
        self.head = b''.join(parts)
        if not self._whole and self._request.content.at_eof():
            self._whole = True

    async def read_whole(self, limit: int) -> bool:
        """Read on, up to the limit; say whether the whole body is in memory."""
        parts = [self.head]
        size = len(self.head)
        while not self._whole and size < limit:
            part = await self._read(min(limit - size, READ_AHEAD_BYTES))
            self._whole = not part
            parts.append(part)
            size += len(part)
        self.head = b''.join(parts)
        if self._request.content.at_eof():
            self._whole = True
        return self._whole

    def payload(self, pace: Pace) -> bytes | AsyncIterator[bytes] | None:
        """Return what to hand to the HTTP client; parts after the head are paced."""
        if self._whole:
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
