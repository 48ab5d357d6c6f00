"""Pools the connections to backend servers, per incarnation; the newest is used first.

A connection is kept for the next request after its response has been read completely.
"""

import asyncio
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

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
MAX_IDLE_SECONDS = 4.0  # unless the server states another time
MAX_STATED_IDLE_SECONDS = 30.0
MIN_LONG_IDLE_SHARE = 2.0  # with fewer connections per VM, all are closed early
KEEP_ALIVE_MARGIN_SECONDS = 1.0  # close this long before the server's idle timeout
RECENTLY_USED_SECONDS = 1.0  # a connection idle for longer may be dead without notice


class OpenReason(StrEnum):
    """Why a request opened a connection to its server."""

    IN_USE = 'in_use'  # or there was none before
    IDLE = 'idle'  # the kept ones had been idle for too long
    CLOSED = 'closed'  # the server had closed the kept ones
    NOT_REPEATABLE = 'not_repeatable'  # the kept one might be dead without notice


@dataclass(slots=True)
class _KeptConnections:
    """The idle connections of a server, and why there are none."""

    idle: deque[ServerConnection] = field(default_factory=deque)
    missing: OpenReason = OpenReason.IN_USE
    has_long_idle: bool = True

    def is_over(self, connection: ServerConnection, now: float) -> bool:
        """Return whether the connection has been idle for too long."""
        return now - connection.idle_since >= self._max_idle_seconds(connection)

    def _max_idle_seconds(self, connection: ServerConnection) -> float:
        stated = connection.keep_alive_seconds
        if stated is None:
            return MAX_IDLE_SECONDS
        longest = MAX_STATED_IDLE_SECONDS if self.has_long_idle else MAX_IDLE_SECONDS
        return min(longest, stated - KEEP_ALIVE_MARGIN_SECONDS)


class ServerPool:
    """Sends requests to backend servers over kept or new connections.

    Connections are kept per server and start time, so a restarted server gets new ones.
    """

    def __init__(
        self,
        memory: ResponseMemory[ServerConnection] | None = None,
        connection_share: Callable[[str], float] = lambda service: math.inf,
    ) -> None:
        """Make a pool; ``connection_share`` returns this VM's part per server.

        That is how many connections a server of the service takes, divided by the VMs.
        """
        self._memory = memory
        self._connection_share = connection_share
        self._kept_by_key: dict[tuple[str, int], _KeptConnections] = {}
        self.opened_by_reason: Counter[OpenReason] = Counter()

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
        kept = self._kept_by_key[key]
        if connection is None:
            connection = await self._open(server)
            self.opened_by_reason[kept.missing] += 1
            kept.missing = OpenReason.IN_USE
        if not may_send():
            connection.close()
            raise WithdrawnError('given up before it was sent')
        response = await connection.exchange(request, repeatable)
        if not is_own_response(response):
            connection.reset()
            raise ExchangeLostError('the response belongs to another request')
        if connection.prepare_for_reuse():
            self._keep(key, connection, self._connection_share(server.service))
        else:
            connection.close()
        return response

    def _keep(
        self, key: tuple[str, int], connection: ServerConnection, share: float
    ) -> None:
        """Keep an idle connection, and at most ``share`` of them for a long time."""
        kept = self._kept_by_key.setdefault(key, _KeptConnections())
        kept.idle.append(connection)
        kept.has_long_idle = share >= MIN_LONG_IDLE_SHARE and len(kept.idle) <= share

    def remove_server(self, server: RegisteredServer) -> None:
        """Close the idle connections of a server that was removed."""
        kept = self._kept_by_key.pop((server.id, server.started_at_ms), None)
        for connection in kept.idle if kept else ():
            connection.close()

    async def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now = asyncio.get_running_loop().time()
        for kept in self._kept_by_key.values():
            while kept.idle and kept.is_over(kept.idle[0], now):
                kept.idle.popleft().close()
                kept.missing = OpenReason.IDLE

    def close(self) -> None:
        """Close all idle connections."""
        for kept in self._kept_by_key.values():
            for connection in kept.idle:
                connection.close()
        self._kept_by_key.clear()

    def _take_idle(
        self, key: tuple[str, int], repeatable: bool
    ) -> ServerConnection | None:
        """Return an idle connection; if there is none, record why."""
        kept = self._kept_by_key.setdefault(key, _KeptConnections())
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
                kept.missing = OpenReason.NOT_REPEATABLE
                return None
            if connection.is_open and not kept.is_over(connection, now):
                kept.missing = OpenReason.IN_USE
                return connection
            is_idle = connection.is_open
            kept.missing = OpenReason.IDLE if is_idle else OpenReason.CLOSED
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
        return connection
