"""Connections to backend servers: one pool per server, and a check before each send."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType

from daisylift.decisions.configuration import ServerKey

READ_CHUNK_BYTES = 64 * 1024
IDLE_TIMEOUT_SECONDS = 15.0
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_HEADER_BYTES = 16 * 1024


class DispatchRefusedError(aiohttp.ClientError):
    """The request may no longer be sent; no byte of it was sent."""


class StrayBytesError(aiohttp.ClientConnectionError):
    """A kept connection had received unexpected bytes."""


class DispatchCheck:
    """Client middleware that checks a request right before its first byte is sent.

    Each request needs a new instance. ``may_have_been_sent`` is set right before the
    first byte is sent.
    """

    def __init__(self, may_start: Callable[[], bool]) -> None:
        self.may_have_been_sent = False
        self._may_start = may_start

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Attach this check to the request."""
        if isinstance(request, CheckedRequest):
            request.dispatch = self
        return await handler(request)

    def allow_send(self) -> None:
        """Allow the request to be sent, or raise DispatchRefusedError."""
        if self.may_have_been_sent:
            raise DispatchRefusedError('the request was sent before')
        if not self._may_start():
            raise DispatchRefusedError('the permit is no longer good')
        self.may_have_been_sent = True


class CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked by its DispatchCheck once it has a connection."""

    dispatch: DispatchCheck | None = None

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Send the request over the connection, if it may still be sent.

        On a connection that has received unexpected bytes, this request could get the
        response of another one. Such a connection is closed and nothing is sent.
        """
        if conn.protocol is not None and conn.protocol.should_close:
            conn.close()
            raise StrayBytesError('the connection had received unexpected bytes')
        if self.dispatch is not None:
            self.dispatch.allow_send()
        return await super().send(conn)


@dataclass(slots=True)
class Pool:
    """The kept connections to one backend server."""

    session: aiohttp.ClientSession
    address: tuple[str, int]
    limit: int
    in_use: int = 0
    retired: bool = False

    async def close_if_idle(self) -> None:
        """Close a retired pool once no request uses it."""
        if self.retired and self.in_use == 0:
            await self.session.close()


class UpstreamConnections:
    """Owns the connection pools, one per backend server."""

    def __init__(self) -> None:
        self._by_server: dict[ServerKey, Pool] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; pools are created when first used."""

    async def stop(self) -> None:
        """Close all connections."""
        await asyncio.gather(*self._closing)
        for pool in self._by_server.values():
            await pool.session.close()
        self._by_server.clear()

    def keep_only(self, servers: Iterable[ServerKey]) -> None:
        """Close the pools of all other servers once their requests have ended."""
        for key in self._by_server.keys() - set(servers):
            self._retire(key)

    @contextmanager
    def borrow_session(
        self, key: ServerKey, address: tuple[str, int], limit: int
    ) -> Iterator[aiohttp.ClientSession]:
        """Lend the session of the server, which opens at most ``limit`` connections."""
        pool = self._pool(key, address, max(1, limit))
        pool.in_use += 1
        try:
            yield pool.session
        finally:
            pool.in_use -= 1
            if pool.retired and pool.in_use == 0:
                self._close(pool)

    def _pool(self, key: ServerKey, address: tuple[str, int], limit: int) -> Pool:
        pool = self._by_server.get(key)
        if pool is not None and pool.address == address and pool.limit == limit:
            return pool
        if pool is not None:
            self._retire(key)
        pool = Pool(session=_session(limit), address=address, limit=limit)
        self._by_server[key] = pool
        return pool

    def _retire(self, key: ServerKey) -> None:
        pool = self._by_server.pop(key)
        pool.retired = True
        if pool.in_use == 0:
            self._close(pool)

    def _close(self, pool: Pool) -> None:
        task = asyncio.get_running_loop().create_task(pool.close_if_idle())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _session(limit: int) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=limit, keepalive_timeout=IDLE_TIMEOUT_SECONDS
        ),
        request_class=CheckedRequest,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type'),
        max_line_size=MAX_RESPONSE_HEADER_BYTES,
        max_field_size=MAX_RESPONSE_HEADER_BYTES,
        read_bufsize=READ_CHUNK_BYTES,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
    )
