"""Opens ports, and waits for those that another process still holds."""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

from daisylift.decisions.port_retry import PortRetry
from daisylift_node.errors import StartError

ResultT = TypeVar('ResultT')


class PortOpener:
    """Opens the ports of a process that starts; all share one limit of time."""

    def __init__(
        self,
        retry: PortRetry,
        clock: Callable[[], float],
        flush_logs: Callable[[], Awaitable[None]],
    ) -> None:
        self._retry = retry
        self._clock = clock
        self._flush_logs = flush_logs

    async def open(
        self, host: str, port: int, listen: Callable[[], Awaitable[ResultT]]
    ) -> ResultT:
        """Return the result of ``listen``, called again while the port is held.

        Raises StartError with the address if it cannot be opened.
        """
        tries = 0
        while True:
            try:
                return await listen()
            except OSError as error:
                tries += 1
                delay = None
                if error.errno == errno.EADDRINUSE:
                    delay = self._retry.delay(tries, self._clock())
                if delay is None:
                    text = f'cannot listen on {host}:{port}: {error.strerror or error}'
                    raise StartError(text) from error
            logger.bind(
                address=f'{host}:{port}', tries=tries, seconds=round(delay, 3)
            ).warning('port held by another process, will be tried again')
            await self._flush_logs()
            await asyncio.sleep(delay)

    async def open_datagrams(
        self, host: str, port: int, protocol: asyncio.DatagramProtocol
    ) -> None:
        """Open a UDP port, as ``open`` does."""

        async def listen() -> None:
            # uvloop does not tell why it could not bind an address.
            bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                bound.setblocking(False)
                bound.bind((host, port))
                loop = asyncio.get_running_loop()
                await loop.create_datagram_endpoint(lambda: protocol, sock=bound)
            except BaseException:
                bound.close()
                raise

        await self.open(host, port, listen)
