"""A caller's connection: runs pipelined requests early, answers them in order.

``aiohttp`` parses the requests of a connection into a queue and handles them one by
one. This module starts the handlers of requests that are still queued, and hands their
responses over when their turn comes.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from loguru import logger

from daisylift.decisions.buffered_bytes import BufferedBytes
from daisylift.decisions.pipelining import (
    EarlyRequests,
    QueuedRequest,
    count_startable,
)
from daisylift_node.connection.entry_connection import (
    EntryConnection,
    has_queued_requests,
)

WRITE_STALL_SECONDS = 10.0  # then a caller that takes no byte of a response is cut off

_Queued = tuple[RawRequestMessage, StreamReader]


class EntryRequest(web.BaseRequest):
    """A request of a caller. ``arrived_at`` is when its head was read, in seconds."""

    arrived_at: float
    early: 'EarlyRun | None' = None


class RequestHandler(Protocol):
    """Handles the requests of callers."""

    is_stopping: bool

    async def handle(self, request: EntryRequest) -> web.Response:
        """Return the response to the request."""

    def may_run_early(self, message: RawRequestMessage) -> bool:
        """Return whether the request may run before those ahead of it are answered."""


class EarlyRun:
    """A request that runs before its turn, and its response until then."""

    def __init__(self, budget: EarlyRequests) -> None:
        self.task: asyncio.Task[web.Response] | None = None
        self._budget = budget
        self._held_bytes = 0
        self._is_released = False
        budget.start()

    def hold(self, count: int) -> None:
        """Count the bytes of the response, unless nobody waits for it any more."""
        if not self._is_released:
            self._held_bytes = count
            self._budget.hold(count)

    def release(self) -> None:
        """Stop counting the request and its response."""
        if not self._is_released:
            self._is_released = True
            self._budget.end(self._held_bytes)

    def cancel(self) -> None:
        """Cancel the request, because its caller has left."""
        if self.task is not None:
            self.task.cancel()
        self.release()


class PipelinedConnection(EntryConnection):
    """One connection of a caller on the entry port."""

    def __init__(
        self,
        server: web.Server,
        handler: RequestHandler,
        early_requests: EarlyRequests,
        response_bytes: BufferedBytes,
        clock: Callable[[], float],
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._handler = handler
        self._early_requests = early_requests
        self._response_bytes = response_bytes
        self._clock = clock
        self._current: QueuedRequest | None = None
        self._arrived_at_by_key: dict[int, float] = {}
        self._early_by_key: dict[int, EarlyRun] = {}
        self._current_early: EarlyRun | None = None
        self._write_progress: tuple[int, float] | None = None

    def data_received(self, data: bytes) -> None:
        """Parse the bytes, and start those of the queued requests that may run."""
        super().data_received(data)
        now = self._clock()
        for message, _ in self._messages:
            self._arrived_at_by_key.setdefault(id(message), now)
        if not data:
            return  # a refill of the queue: the request taken from it has not begun
        self._start_early()

    def connection_lost(self, error: BaseException | None) -> None:
        """Cancel all requests of the caller."""
        super().connection_lost(error)
        self._cancel_early()

    def force_close(self) -> None:
        """Close at once; requests that run early are cancelled."""
        self._cancel_early()
        super().force_close()

    def begin(self, request: EntryRequest) -> None:
        """Prepare a request whose turn has come."""
        key = id(request._message)
        request.arrived_at = self._arrived_at_by_key.pop(key, self._clock())
        request.early = self._current_early = self._early_by_key.pop(key, None)
        self._current = self._describe(request._message, request.content)
        self._start_early()

    async def respond(self, request: EntryRequest) -> web.Response:
        """Return the response of a request, which may have run early."""
        early = request.early
        if early is None or early.task is None:
            response = await self._handler.handle(request)
        else:
            try:
                response = await early.task
            finally:
                early.release()
                self._current_early = None
        if self._handler.is_stopping and not has_queued_requests(request):
            response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, response: web.StreamResponse, started: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Send the response; its bytes count as long as this VM holds them."""
        size = _body_bytes(response)
        self._response_bytes.add(size)
        try:
            return await super().finish_response(request, response, started)
        finally:
            self._response_bytes.release(size)
            self._current = None

    def close_if_stalled(self) -> None:
        """Cut off a caller that has taken no byte for WRITE_STALL_SECONDS."""
        transport = self.transport
        unsent = transport.get_write_buffer_size() if transport else 0
        now = self._clock()
        if not unsent or self._write_progress is None:
            self._write_progress = (unsent, now) if unsent else None
            return
        before, since = self._write_progress
        if unsent != before:
            self._write_progress = (unsent, now)
        elif now - since >= WRITE_STALL_SECONDS and transport is not None:
            logger.bind(unsent=unsent, seconds=round(now - since, 1)).warning(
                'caller cut off: it does not read its response'
            )
            transport.abort()

    def _describe(
        self, message: RawRequestMessage, payload: StreamReader
    ) -> QueuedRequest:
        is_request = isinstance(message, RawRequestMessage)
        return QueuedRequest(
            may_run_early=is_request
            and payload.is_eof()
            and self._handler.may_run_early(message),
            is_last=is_request and message.should_close,
        )

    def _start_early(self) -> None:
        if len(self._messages) + (self._current is not None) < 2:
            return
        if self._close or self._force_close:
            return
        queued: list[_Queued] = list(self._messages)
        current = self._current
        if current is None:
            current = self._describe(*queued.pop(0))
        started = len(self._early_by_key)
        count = count_startable(
            current,
            (self._describe(*each) for each in queued),
            self._early_requests.limit(started),
        )
        for message, payload in queued[:count]:
            if id(message) not in self._early_by_key:
                self._start(message, payload)

    def _start(self, message: RawRequestMessage, payload: StreamReader) -> None:
        request = EntryRequest(
            message,
            payload,
            self,
            None,  # type: ignore[arg-type]  # the request of its turn writes
            None,  # type: ignore[arg-type]
            self._loop,
        )
        request.arrived_at = self._arrived_at_by_key.get(id(message), self._clock())
        run = EarlyRun(self._early_requests)
        run.task = self._loop.create_task(self._run_early(request, run))
        self._early_by_key[id(message)] = run

    async def _run_early(self, request: EntryRequest, run: EarlyRun) -> web.Response:
        response = await self._handler.handle(request)
        run.hold(_body_bytes(response))
        return response

    def _cancel_early(self) -> None:
        for run in self._early_by_key.values():
            run.cancel()
        self._early_by_key.clear()
        if self._current_early is not None:
            self._current_early.cancel()  # its response may not be awaited yet


def _body_bytes(response: web.StreamResponse) -> int:
    body = getattr(response, 'body', None)
    return len(body) if isinstance(body, bytes) else 0
