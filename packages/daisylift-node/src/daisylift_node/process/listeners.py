"""The TCP ports on which this node listens."""

from aiohttp import web
from grpclib.server import Server

from daisylift_node.config import ListenSettings
from daisylift_node.errors import StartError


class Listeners:
    """Opens the ports of this node and closes all of them on stop."""

    def __init__(self) -> None:
        self._runners: list[web.BaseRunner] = []
        self._operator_server: Server | None = None

    async def listen(self, runner: web.BaseRunner, address: ListenSettings) -> None:
        """Serve HTTP at the address; raise StartError if it can't be bound."""
        await runner.setup()
        self._runners.append(runner)
        try:
            await web.TCPSite(runner, address.host, address.port).start()
        except OSError as error:
            raise _start_error(address, error) from error

    async def listen_for_operators(
        self, server: Server, address: ListenSettings
    ) -> None:
        """Serve gRPC at the address; raise StartError if it can't be bound."""
        self._operator_server = server
        try:
            await server.start(address.host, address.port)
        except OSError as error:
            raise _start_error(address, error) from error

    async def stop(self) -> None:
        """Close all ports, the operators' port first."""
        if self._operator_server is not None:
            self._operator_server.close()
            await self._operator_server.wait_closed()
        for runner in self._runners:
            await runner.cleanup()


def _start_error(address: ListenSettings, error: OSError) -> StartError:
    endpoint = f'{address.host}:{address.port}'
    return StartError(f'cannot listen on {endpoint}: {error.strerror}')
