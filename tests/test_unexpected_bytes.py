"""Tests that unexpected bytes are never taken for the next response (issue 5)."""

import asyncio

import pytest

from daisylift.decisions.configuration import ServerKey
from daisylift.models import BackendServer
from daisylift_node.connection.upstream import (
    DispatchCheck,
    StrayBytesError,
    UpstreamConnections,
)

OWN = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown'
UNEXPECTED = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray'
KEY = ServerKey('till', 'till-0')


class UnexpectedResponseServer:
    """Responds to each request, and sends an unexpected response after 20 ms."""

    def __init__(self) -> None:
        self.answered = 0
        self.unexpected_sent = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer) -> None:
        while True:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                writer.close()
                return
            self.answered += 1
            writer.write(OWN)
            await asyncio.sleep(0.02)
            writer.write(UNEXPECTED)
            self.unexpected_sent.set()


@pytest.fixture
async def server():
    stray_server = UnexpectedResponseServer()
    listening = await asyncio.start_server(stray_server.serve, '127.0.0.1', 0)
    stray_server.port = listening.sockets[0].getsockname()[1]
    yield stray_server
    listening.close()


async def get(connections, server):
    backend = BackendServer(
        name='till-0',
        host='127.0.0.1',
        port=server.port,
        failure_domain='arusha-1',
        slots=1,
        connections=1,
    )
    dispatch = DispatchCheck(lambda: True)
    with connections.borrow_session(KEY, backend, 1) as session:
        url = f'http://127.0.0.1:{server.port}/'
        async with session.get(url, middlewares=(dispatch,)) as answer:
            return await answer.read()


async def test_connection_with_an_unexpected_response_is_not_reused(server):
    connections = UpstreamConnections()
    assert await get(connections, server) == b'own'
    await server.unexpected_sent.wait()
    await asyncio.sleep(0.05)
    with pytest.raises(StrayBytesError):
        await get(connections, server)
    assert server.answered == 1
    assert await get(connections, server) == b'own'
    await connections.stop()
