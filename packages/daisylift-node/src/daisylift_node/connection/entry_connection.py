"""Connections of callers to an entry VM.

A planned stop ends it in time, and what cannot be read is answered without its text.
Relies, as its subclass does, on private attributes of aiohttp's RequestHandler.
"""

from aiohttp import web
from loguru import logger

FIRST_SERVER_ERROR = 500
NOT_READ = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class EntryConnection(web.RequestHandler):
    """Tells whether it is idle; the HTTP library drops what it reads after a close."""

    __slots__ = ('_has_partial_head',)

    def __init__(self, *arguments: object, **keywords: object) -> None:
        self._has_partial_head = False
        super().__init__(*arguments, **keywords)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Parse the data (asyncio callback), and note an incomplete head."""
        was_waiting = self._is_waiting
        super().data_received(data)
        if was_waiting and data:
            self._has_partial_head = self._is_waiting

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = FIRST_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that is unreadable, or failed.

        The errors of the parser quote the line that it cannot read, which may hold a
        key. Neither the log nor the response repeats them.
        """
        if status >= FIRST_SERVER_ERROR:
            return super().handle_error(request, status, exc, message)
        logger.bind(status=status, error=type(exc).__name__).info(
            'request cannot be read'
        )
        if request.writer.output_size > 0:
            raise ConnectionError('a response has already begun')
        response = web.Response(status=status, text='the request can not be read\n')
        response.force_close()
        return response

    @property
    def _is_waiting(self) -> bool:
        """Return whether no request has been read since the last response."""
        return self._waiter is not None and not self._waiter.done()

    def close_if_idle(self) -> None:
        """Close the connection unless a request, or part of one, was read."""
        if self._is_waiting and not self._has_partial_head:
            self.force_close()

    def refuse_partial_head(self) -> None:
        """Answer that a request whose head was read in part has not run."""
        if not self._is_waiting or not self._has_partial_head:
            return
        if self.transport is not None:
            self.transport.write(NOT_READ)
        self.force_close()


def has_queued_requests(request: web.BaseRequest) -> bool:
    """Return whether the caller has sent further requests behind this one."""
    connection = request.protocol
    return connection is not None and bool(connection._messages)
