"""The connections to backend servers, by incarnation, with the newest used first."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from daisylift.decisions.buffered_bytes import BufferedBytes
from daisylift.models.registered_server import RegisteredServer
from daisylift_node.connection.server_connection import (
    ExchangeLostError,
    NotSentError,
    ServerAnswer,
    ServerConnection,
    ServerRequest,
)

CONNECT_TIMEOUT_SECONDS = 0.4  # ten round trips between regions
IDLE_SECONDS = 4.0  # kept without use, where the server names no shorter time
KEEP_ALIVE_MARGIN_SECONDS = 1.0  # before the time that the server names
FRESH_SECONDS = 1.0  # idle for longer, a connection may be dead without our knowing


@dataclass(slots=True)
class _ServerLink:
    idle: deque[ServerConnection] = field(default_factory=deque)


class ServerPool:
    """Sends requests to backend servers over kept or new connections."""

    def __init__(self, held_bytes: BufferedBytes | None = None) -> None:
        self._held_bytes = held_bytes
        self._links_by_key: dict[tuple[str, int], _ServerLink] = {}
        self.opened = 0

    async def exchange(
        self,
        server: RegisteredServer,
        request: ServerRequest,
        repeatable: bool,
        is_own: Callable[[ServerAnswer], bool] = lambda answer: True,
    ) -> ServerAnswer:
        """Send the request and return the complete answer.

        A request that may not be repeated goes only over a new connection or one that
        was used a moment ago. An answer that is not the request's own ends the
        connection, as the true one may still follow on it. Raises NotSentError,
        ExchangeLostError or UnsendableError.
        """
        key = (server.id, server.started_at_ms)
        connection = self._kept(key, repeatable)
        if connection is None:
            connection = await self._open(server)
        answer = await connection.exchange(request, repeatable)
        if not is_own(answer):
            connection.reset()
            raise ExchangeLostError('the answer belongs to another request')
        if connection.is_reusable():
            self._links_by_key.setdefault(key, _ServerLink()).idle.append(connection)
        else:
            connection.close()
        return answer

    def forget(self, server: RegisteredServer) -> None:
        """Close the idle connections of a server that is gone."""
        link = self._links_by_key.pop((server.id, server.started_at_ms), None)
        for connection in link.idle if link else ():
            connection.close()

    async def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
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
            raise NotSentError('connecting took too long') from error
        except OSError as error:
            raise NotSentError(f'no connection: {error}') from error
        self.opened += 1
        return connection


def _longest_idle(connection: ServerConnection) -> float:
    if connection.keep_alive_seconds is None:
        return IDLE_SECONDS
    return min(IDLE_SECONDS, connection.keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS)
