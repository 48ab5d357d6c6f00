"""Tests that the HTTP client never repeats a request on its own (issue 3)."""

import asyncio

import aiohttp
import pytest

from daisylift_node.connection.send_once import SecondSendError, SendOnce


class DroppingServer:
    """Responds to the first request of a connection, and drops it at the second."""

    def __init__(self) -> None:
        self.received = 0

    async def serve(self, reader: asyncio.StreamReader, writer) -> None:
        for number in range(2):
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                break
            self.received += 1
            if number == 0:
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        writer.close()


@pytest.fixture
async def server():
    breaking = DroppingServer()
    listening = await asyncio.start_server(breaking.serve, '127.0.0.1', 0)
    breaking.port = listening.sockets[0].getsockname()[1]
    yield breaking
    listening.close()


@pytest.mark.parametrize('method', ['PUT', 'DELETE', 'GET'])
async def test_broken_connection_is_an_error_not_a_repeat(server, method):
    url = f'http://127.0.0.1:{server.port}/'
    async with aiohttp.ClientSession() as session:
        async with session.request(method, url, middlewares=(SendOnce(),)):
            pass
        with pytest.raises(SecondSendError):
            await session.request(method, url, middlewares=(SendOnce(),))
    assert server.received == 2
