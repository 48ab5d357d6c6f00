"""A caller's connection to an entry VM: answers what cannot be read as a request."""

from aiohttp import web
from loguru import logger

FIRST_SERVER_ERROR = 500


class EntryConnection(web.RequestHandler):
    """One connection of a caller."""

    __slots__ = ()

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
