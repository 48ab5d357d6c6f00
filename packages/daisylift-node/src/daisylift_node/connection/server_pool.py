"""Pools the connections to backend servers, per incarnation; the newest is used first.

A connection is kept for the next request after its response has been read completely.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from daisylift.decisions.held_bytes import HeldBytes
from daisylift.models.registered_server import RegisteredServer
from daisylift_node.connection.server_connection import (
    ExchangeLostError,
    NotSentError,
    ServerConnection,
    ServerRequest,
    ServerResponse,
)

CONNECT_TIMEOUT_SECONDS = 0.4  # ten round trips between regions
IDLE_SECONDS = 4.0  # maximum idle time, unless the server states a shorter one
KEEP_ALIVE_MARGIN_SECONDS = 1.0  # close this long before the server's idle timeout
FRESH_SECONDS = 1.0  # a connection idle for longer may be dead without notice


@dataclass(slots=True)
class _ServerLink:
    idle: deque[ServerConnection] = field(default_factory=deque)


class ServerPool:
    """Sends requests to backend servers over kept or new connections."""

    def __init__(self, held_bytes: HeldBytes | None = None) -> None:
        self._held_bytes = held_bytes
        self._links_by_key: dict[tuple[str, int], _ServerLink] = {}
        self.opened = 0

    async def exchange(
        self,
        server: RegisteredServer,
        request: ServerRequest,
        repeatable: bool,
        is_own: Callable[[ServerResponse], bool] = lambda answer: True,
    ) -> ServerResponse:
        """Send the request and return the complete response.

        A request that may not be repeated is sent only over a new connection or one
        used within the last FRESH_SECONDS. A response that belongs to another request
        closes the connection, because the right response may still follow on it.
        Raise NotSentError, ExchangeLostError or UnsendableError.
        """
        key = (server.id, server.started_at_ms)
        connection = self._kept(key, repeatable)
        if connection is None:
            connection = await self._open(server)
        answer = await connection.exchange(request, repeatable)
        if not is_own(answer):
            connection.reset()
            raise ExchangeLostError('the response belongs to another request')
        if connection.is_reusable():
            self._links_by_key.setdefault(key, _ServerLink()).idle.append(connection)
        else:
            connection.close()
        return answer

    def forget(self, server: RegisteredServer) -> None:
        """Close the idle connections of a server that was removed."""
        link = self._links_by_key.pop((server.id, server.started_at_ms), None)
        for connection in link.idle if link else ():
            connection.close()

    async def close_idle(self) -> None:
        """Close connections that have been idle for more than IDLE_SECONDS."""
        now = asyncio.get_running_loop().time()
        for link in self._links_by_key.values():
            while link.idle and now - link.idle[0].idle_since > IDLE_SECONDS:
                link.idle.popleft().close()

    def close(self) -> None:
        """Close all idle connections."""
        for link in self._links_by_key.values():
            for connection in link.idle:
                connection.close()
        self._links_by_key.clear()

    def _kept(self, key: tuple[str, int], repeatable: bool) -> ServerConnection | None:
        link = self._links_by_key.get(key)
        if link is None:
            return None
        now = asyncio.get_running_loop().time()
        while link.idle:
            connection = link.idle.pop()
            idle = now - connection.idle_since
            if not repeatable and connection.is_open and idle > FRESH_SECONDS:
                link.idle.append(connection)
                return None
            if connection.is_open and idle < _longest_idle(connection):
                return connection
            connection.close()
        return None

    async def _open(self, server: RegisteredServer) -> ServerConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(self._held_bytes),
                    server.host,
                    server.port,
                )
        except TimeoutError as error:
            raise NotSentError('connecting timed out') from error
        except OSError as error:
            raise NotSentError(f'connecting failed: {error}') from error
        self.opened += 1
        return connection


def _longest_idle(connection: ServerConnection) -> float:
    if connection.keep_alive_seconds is None:
        return IDLE_SECONDS
    return min(IDLE_SECONDS, connection.keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS)
