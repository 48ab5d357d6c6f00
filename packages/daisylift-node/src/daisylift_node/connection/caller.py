"""HTTP server of the callers' port: dispatches requests and reports malformed ones."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from loguru import logger

from daisylift import headers
from daisylift.outcome import Outcome
from daisylift_node.connection.entry_connection import has_queued_requests
from daisylift_node.request.call import SERVICES_PREFIX
from daisylift_node.request.problem import (
    Reason,
    did_not_run,
    may_have_run,
    refusal_response,
)

LOOKUP_PATH = '/v1/lookup'
REQUEST_IDS_PATH = '/v1/request-ids'
LOOKUP_METHODS = ('GET', 'HEAD')
MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_SECONDS = 75.0
UNREAD_BODY_TIMEOUT_SECONDS = 1.0
MAX_CONNECTIONS = 8192
TOO_MANY_CONNECTIONS = (
    b'HTTP/1.1 503 Service Unavailable\r\nDaisylift-Outcome: did-not-run\r\n'
    b'Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(web.RequestHandler):
    """One connection of a caller."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a problem document for a request that was unreadable or failed."""
        if request.writer.output_size > 0:
            raise ConnectionError('a response has already begun')
        response = refusal_response(_refusal_of(status, exc, message))
        response.force_close()
        return response


class CallerRequest(web.BaseRequest):
    """A request of a caller.

    ``must_close`` ends its connection after the responses to all that was read.
    """

    must_close = False

    @property
    def keep_alive(self) -> bool:
        """Return whether the connection stays open after the response."""
        may_close = self.must_close and not has_queued_requests(self)
        return super().keep_alive and not may_close


class CallerServer(web.Server):
    """Creates a CallerConnection for each connection, up to MAX_CONNECTIONS."""

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Accept the connection, or answer 503 and close it if there are too many."""
        super().connection_made(handler, transport)
        if len(self._connections) > MAX_CONNECTIONS:
            transport.write(TOO_MANY_CONNECTIONS)
            transport.close()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol for a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)


def caller_server(
    lookup: Handler,
    request_ids: Handler,
    relay: Handler,
    is_leaving: Callable[[], bool] = lambda: False,
) -> CallerServer:
    """Return the server of the callers' port.

    While the node is leaving, each connection is closed after its response.
    """
    loop = asyncio.get_running_loop()

    def make_request(message, payload, protocol, writer, task) -> CallerRequest:
        return CallerRequest(message, payload, protocol, writer, task, loop)

    async def dispatch(request: CallerRequest) -> web.StreamResponse:
        request.must_close = is_leaving()
        path = request.raw_path
        if path.startswith(SERVICES_PREFIX):
            return await relay(request)
        if path == REQUEST_IDS_PATH:
            return await _issue_request_id(request, request_ids)
        if path.partition('?')[0] != LOOKUP_PATH:
            refusal = did_not_run(Reason.UNKNOWN_PATH, 'there is nothing at this path')
            return refusal_response(refusal)
        if request.method not in LOOKUP_METHODS:
            return _method_not_allowed(request.method, LOOKUP_METHODS)
        response = await lookup(request)
        response.headers.setdefault(headers.OUTCOME, Outcome.ANSWERED.value)
        return response

    return CallerServer(
        dispatch,
        request_factory=make_request,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        max_field_size=MAX_HEADER_BYTES,
        max_line_size=MAX_HEADER_BYTES,
        keepalive_timeout=IDLE_TIMEOUT_SECONDS,
        lingering_time=UNREAD_BODY_TIMEOUT_SECONDS,
    )


async def _issue_request_id(
    request: web.BaseRequest, issue: Handler
) -> web.StreamResponse:
    if request.method != 'POST':
        return _method_not_allowed(request.method, ('POST',))
    return await issue(request)


def _method_not_allowed(method: str, allowed: Sequence[str]) -> web.Response:
    detail = f'{method[:16]} is not served at this path'
    refusal = did_not_run(Reason.METHOD_NOT_ALLOWED, detail)
    response = refusal_response(refusal)
    response.headers['Allow'] = ', '.join(allowed)
    return response


def _refusal_of(status: int, exc: BaseException | None, message: str | None):
    if isinstance(exc, LineTooLong):
        return did_not_run(Reason.HEADERS_TOO_LARGE, 'a line or header is too long')
    if status < 500:
        return did_not_run(Reason.BAD_REQUEST, _first_line(message))
    logger.opt(exception=exc).error(
        'request handler raised an exception; responding with status 500'
    )
    return may_have_run(Reason.INTERNAL, 'the request could not be handled')


def _first_line(message: str | None) -> str:
    lines = (message or '').strip().splitlines()
    return lines[0] if lines else 'the request can not be read'
