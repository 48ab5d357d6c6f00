"""Pools the connections to backend servers, per incarnation; the newest is used first.

A connection is kept for the next request after its response has been read completely.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from daisylift.decisions.response_memory import ResponseMemory
from daisylift.models.registered_server import RegisteredServer
from daisylift_node.connection.server_connection import (
    ExchangeLostError,
    NotSentError,
    ServerConnection,
    ServerRequest,
    ServerResponse,
    WithdrawnError,
)

CONNECT_TIMEOUT_SECONDS = 0.4  # ten round trips between regions
MAX_IDLE_SECONDS = 4.0  # maximum idle time, unless the server states a shorter one
KEEP_ALIVE_MARGIN_SECONDS = 1.0  # close this long before the server's idle timeout
RECENTLY_USED_SECONDS = 1.0  # a connection idle for longer may be dead without notice


@dataclass(slots=True)
class _KeptConnections:
    idle: deque[ServerConnection] = field(default_factory=deque)


class ServerPool:
    """Sends requests to backend servers over kept or new connections.

    Connections are kept per server and start time, so a restarted server gets new ones.
    """

    def __init__(self, memory: ResponseMemory[ServerConnection] | None = None) -> None:
        self._memory = memory
        self._kept_by_key: dict[tuple[str, int], _KeptConnections] = {}
        self.opened = 0

    async def exchange(
        self,
        server: RegisteredServer,
        request: ServerRequest,
        repeatable: bool,
        is_own_response: Callable[[ServerResponse], bool] = lambda response: True,
        may_send: Callable[[], bool] = lambda: True,
    ) -> ServerResponse:
        """Send the request and return the complete response.

        A request that may not be repeated is sent only over a new connection or one
        used within the last RECENTLY_USED_SECONDS. A response that belongs to another
        request closes the connection, because the right response may still follow on
        it. ``may_send`` is asked once there is a connection. Raise NotSentError
        (WithdrawnError if it may not be sent), ExchangeLostError or UnsendableError.
        """
        key = (server.id, server.started_at_ms)
        connection = self._take_idle(key, repeatable)
        if connection is None:
            connection = await self._open(server)
        if not may_send():
            connection.close()
            raise WithdrawnError('given up before it was sent')
        response = await connection.exchange(request, repeatable)
        if not is_own_response(response):
            connection.reset()
            raise ExchangeLostError('the response belongs to another request')
        if connection.prepare_for_reuse():
            self._kept_by_key.setdefault(key, _KeptConnections()).idle.append(
                connection
            )
        else:
            connection.close()
        return response

    def remove_server(self, server: RegisteredServer) -> None:
        """Close the idle connections of a server that was removed."""
        kept = self._kept_by_key.pop((server.id, server.started_at_ms), None)
        for connection in kept.idle if kept else ():
            connection.close()

    async def close_idle(self) -> None:
        """Close connections that have been idle for more than MAX_IDLE_SECONDS."""
        now = asyncio.get_running_loop().time()
        for kept in self._kept_by_key.values():
            while kept.idle and now - kept.idle[0].idle_since > MAX_IDLE_SECONDS:
                kept.idle.popleft().close()

    def close(self) -> None:
        """Close all idle connections."""
        for kept in self._kept_by_key.values():
            for connection in kept.idle:
                connection.close()
        self._kept_by_key.clear()

    def _take_idle(
        self, key: tuple[str, int], repeatable: bool
    ) -> ServerConnection | None:
        kept = self._kept_by_key.get(key)
        if kept is None:
            return None
        now = asyncio.get_running_loop().time()
        while kept.idle:
            connection = kept.idle.pop()
            idle_seconds = now - connection.idle_since
            if (
                not repeatable
                and connection.is_open
                and idle_seconds > RECENTLY_USED_SECONDS
            ):
                kept.idle.append(connection)
                return None
            if connection.is_open and idle_seconds < _max_idle_seconds(connection):
                return connection
            connection.close()
        return None

    async def _open(self, server: RegisteredServer) -> ServerConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(self._memory),
                    server.host,
                    server.port,
                )
        except TimeoutError as error:
            raise NotSentError('connecting timed out') from error
        except (OSError, OverflowError, ValueError) as error:
            # Hosts and ports that cannot be used raise other errors than OSError.
            raise NotSentError(f'connecting failed: {error}') from error
        self.opened += 1
        return connection


def _max_idle_seconds(connection: ServerConnection) -> float:
    if connection.keep_alive_seconds is None:
        return MAX_IDLE_SECONDS
    return min(
        MAX_IDLE_SECONDS, connection.keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
    )
