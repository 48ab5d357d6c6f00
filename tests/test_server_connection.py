"""Tests that a response is complete and belongs to its request, or is rejected."""

import asyncio
import socket
import struct
import time
from dataclasses import replace

import pytest

from daisylift.decisions.response_memory import ResponseMemory
from daisylift_node.connection.server_connection import (
    ExchangeLostError,
    NotSentError,
    ServerConnection,
    ServerRequest,
    UnsendableError,
)
from daisylift_node.connection.server_pool import ServerPool
from tests.fakes.scripted_server import Script, ScriptedServer, http_response


def a_request(body: bytes = b'') -> ServerRequest:
    method = b'POST' if body else b'GET'
    headers = [(b'Host', b'a.example'), (b'Request-Id', b'r-1')]
    return ServerRequest(method, b'/x/1?q=%2F', headers, body)


COMPLETE = http_response(b'whole', 'r-1')


async def exchange_all(server: ScriptedServer, count: int = 1) -> list[bytes]:
    pool = ServerPool()
    bodies = []
    for _ in range(count):
        answer = await pool.exchange(server.registration(), a_request(), True)
        bodies.append(answer.body)
    pool.close()
    return bodies


async def test_a_connection_is_kept_for_the_next_request() -> None:
    async with ScriptedServer([Script(COMPLETE), Script(COMPLETE)]) as server:
        assert await exchange_all(server, 2) == [b'whole', b'whole']
        assert server.connections == 1
        assert server.requests[0].startswith(b'GET /x/1?q=%2F HTTP/1.1\r\n')


@pytest.mark.parametrize(
    'extra', [b'x', http_response(b'crossed', 'r-0'), b'HTTP/1.1 200 OK\r\n\r\n']
)
async def test_bytes_after_an_answer_end_the_connection(extra: bytes) -> None:
    async with ScriptedServer([Script(COMPLETE + extra), Script(COMPLETE)]) as server:
        assert await exchange_all(server, 2) == [b'whole', b'whole']
        assert server.connections == 2


async def test_late_bytes_end_the_idle_connection() -> None:
    script = Script(COMPLETE, late=http_response(b'crossed', 'r-0'), late_seconds=0.01)
    async with ScriptedServer([script, Script(COMPLETE)]) as server:
        pool = ServerPool()
        await pool.exchange(server.registration(), a_request(), True)
        await asyncio.sleep(0.1)
        answer = await pool.exchange(server.registration(), a_request(), True)
        assert answer.body == b'whole'
        assert server.connections == 2
        pool.close()


@pytest.mark.parametrize(
    'script',
    [
        Script(COMPLETE[:-2], close=True),
        Script(COMPLETE[:-2], reset=True),
        Script(COMPLETE[:20], close=True),
        Script(b'', close=True),
        Script(b'no answer at all\r\n\r\n', close=True),
        Script(b'HTTP/1.1 200 OK\r\n\r\npart', reset=True),
        Script(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab', close=True
        ),
    ],
)
async def test_a_broken_answer_is_lost(script: Script) -> None:
    async with ScriptedServer([script]) as server:
        with pytest.raises(ExchangeLostError):
            await exchange_all(server)


@pytest.mark.parametrize('reset', [False, True])
async def test_an_answer_cut_off_anywhere_in_its_head_is_lost(reset: bool) -> None:
    head_bytes = COMPLETE.index(b'\r\n\r\n') + 4
    for length in range(head_bytes):
        script = Script(COMPLETE[:length], close=True, reset=reset, late_seconds=0.0)
        async with ScriptedServer([script]) as server:
            with pytest.raises(ExchangeLostError):
                await exchange_all(server)


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    script = Script(b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\nall of it', close=True)
    async with ScriptedServer([script]) as server:
        assert await exchange_all(server) == [b'all of it']


async def test_an_early_answer_to_a_long_body_ends_the_connection() -> None:
    early = http_response(b'no', 'r-1', '400 Bad Request')
    script = Script(early, before_body=True)
    async with ScriptedServer([script, Script(COMPLETE)]) as server:
        pool = ServerPool()
        long_request = a_request(b'x' * 8_000_000)
        answer = await pool.exchange(server.registration(), long_request, False)
        assert answer.status == 400
        answer = await pool.exchange(server.registration(), a_request(), True)
        assert answer.body == b'whole'
        assert server.connections == 2
        pool.close()


async def test_no_connection_means_not_sent() -> None:
    async with ScriptedServer([]) as server:
        registration = server.registration()
    with pytest.raises(NotSentError):
        await ServerPool().exchange(registration, a_request(), True)


async def test_a_request_that_can_not_be_written_is_told_from_a_lost_server() -> None:
    twice = ServerRequest(b'GET', b'/x', [(b'Host', b'a'), (b'Host', b'b')], b'')
    async with ScriptedServer([Script(COMPLETE)]) as server:
        pool = ServerPool()
        with pytest.raises(UnsendableError):
            await pool.exchange(server.registration(), twice, True)
        answer = await pool.exchange(server.registration(), a_request(), True)
        assert answer.body == b'whole'
        assert len(server.requests) == 1
        pool.close()


async def test_a_cancelled_request_closes_its_connection() -> None:
    async with ScriptedServer([Script(COMPLETE, after_seconds=5.0)]) as server:
        pool = ServerPool()
        task = asyncio.create_task(
            pool.exchange(server.registration(), a_request(), True)
        )
        await asyncio.sleep(0.05)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert pool._take_idle(('i-1', 1), True) is None


async def test_unrepeatable_request_avoids_connections_idle_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        'daisylift_node.connection.server_pool.RECENTLY_USED_SECONDS', 0.01
    )
    async with ScriptedServer([Script(COMPLETE)] * 2) as server:
        pool = ServerPool()
        await pool.exchange(server.registration(), a_request(), True)
        await asyncio.sleep(0.03)
        await pool.exchange(server.registration(), a_request(b'pay'), False)
        assert server.connections == 2
        pool.close()


async def test_an_aborted_request_resets_its_connection() -> None:
    """After a plain close, the kernel would still deliver bytes delayed by a link."""
    endings: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        try:
            endings.append('closed' if await reader.read() == b'' else 'bytes')
        except ConnectionResetError:
            endings.append('reset')
        writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    server = replace(
        ScriptedServer([]).registration(), port=listener.sockets[0].getsockname()[1]
    )
    pool = ServerPool()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await pool.exchange(server, a_request(), True)
    await asyncio.sleep(0.1)
    listener.close()
    assert endings == ['reset']


async def test_a_closed_connection_touches_no_descriptor() -> None:
    """Its file descriptor may already belong to another connection."""
    async with ScriptedServer([Script(b'', close=True)]) as server:
        loop = asyncio.get_running_loop()
        transport, connection = await loop.create_connection(
            ServerConnection, server.registration().host, server.port
        )
        transport.abort()
        await asyncio.sleep(0.05)
        with socket.socket() as other:
            other.connect((server.registration().host, server.port))
            connection.reset()
            connection.connection_lost(None)
            linger = other.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert linger == struct.pack('ii', 0, 0)


async def test_a_silent_server_is_noticed_while_it_runs_a_request() -> None:
    """Nothing is sent meanwhile, so only the kernel's probes can detect it."""
    async with ScriptedServer([Script(COMPLETE)]) as server:
        loop = asyncio.get_running_loop()
        transport, connection = await loop.create_connection(
            ServerConnection, server.registration().host, server.port
        )
        connected = transport.get_extra_info('socket')
        assert connected.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        seconds = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        seconds += connected.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL
        ) * connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        assert seconds <= 3
        exchange = asyncio.create_task(connection.exchange(a_request()))
        await asyncio.sleep(0)
        connection.connection_lost(TimeoutError('timed out'))
        with pytest.raises(ExchangeLostError) as lost:
            await exchange
        assert lost.value.is_silent


async def test_an_unrepeatable_request_at_a_silent_server_is_not_aborted() -> None:
    """The server may only be cut off temporarily; its response can still arrive."""
    scripts = [Script(COMPLETE, after_seconds=0.1) for _ in range(4)]
    async with ScriptedServer(scripts) as server:
        loop = asyncio.get_running_loop()
        transport, connection = await loop.create_connection(
            ServerConnection, server.registration().host, server.port
        )
        connected = transport.get_extra_info('socket')

        def is_probed() -> bool:
            return bool(connected.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))

        for repeatable in (True, False, True):
            exchange = asyncio.create_task(
                connection.exchange(a_request(b'x'), repeatable)
            )
            await asyncio.sleep(0.01)
            assert is_probed() is repeatable
            await exchange
            assert connection.prepare_for_reuse()
        connection.close()


async def test_a_crossed_answer_ends_its_connection() -> None:
    """The right response may still follow, and the next request would receive it."""
    crossed = Script(http_response(b'crossed', 'r-0'), late=COMPLETE, late_seconds=0.0)
    async with ScriptedServer([crossed, Script(COMPLETE)]) as server:
        pool = ServerPool()
        for outcome in ('lost', 'whole'):
            try:
                answer = await pool.exchange(
                    server.registration(),
                    a_request(),
                    True,
                    lambda answer: (b'Request-Id', b'r-1') in answer.headers,
                )
            except ExchangeLostError:
                assert outcome == 'lost'
            else:
                assert (outcome, answer.body) == ('whole', b'whole')
        assert server.connections == 2
        pool.close()


HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n'
ENDLESS = {
    'head': (b'', b'X-More: aaaaaaaaaaaaaaaa\r\n' * 2000),
    'head without lines': (b'', b'a' * 65536),
    'interim heads': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    'body without length': (HEAD + b'\r\n', b'a' * 65536),
    'large chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + b'a' * 65536 + b'\r\n',
    ),
    'tiny chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\na\r\n' * 10000,
    ),
    'chunk extension': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n1',
        b';a=aaaaaaaa' * 5000,
    ),
    'trailers': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-More: aaaaaaaaaaaaaaaa\r\n' * 2000,
    ),
}
BUFFERED_LIMIT_BYTES = 4 * 1024 * 1024
MAX_SENT_BYTES = 256 * 1024 * 1024  # the reader must close before this
# CPU time in one turn of the loop, which delays other requests.
MAX_TURN_CPU_SECONDS = 0.5


@pytest.mark.parametrize('kind', sorted(ENDLESS))
async def test_bytes_without_end_are_broken_off(kind: str) -> None:
    """The server sends until the reader closes; other requests must not be delayed."""
    head, more = ENDLESS[kind]
    sent = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        try:
            while sent < MAX_SENT_BYTES:
                writer.write(more)
                sent += len(more)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    server = replace(ScriptedServer([]).registration(), port=port)
    held: ResponseMemory[ServerConnection] = ResponseMemory(BUFFERED_LIMIT_BYTES)
    pool = ServerPool(held)
    longest_turn_seconds = 0.0

    async def watch() -> None:
        nonlocal longest_turn_seconds
        while True:
            before = time.thread_time()
            await asyncio.sleep(0.001)
            longest_turn_seconds = max(
                longest_turn_seconds, time.thread_time() - before
            )

    watcher = asyncio.create_task(watch())
    async with asyncio.timeout(30.0):
        ends = await asyncio.gather(
            *(pool.exchange(server, a_request(), True) for _ in range(8)),
            return_exceptions=True,
        )
    watcher.cancel()
    listener.close()
    assert [type(end) for end in ends] == [ExchangeLostError] * 8
    assert sent < MAX_SENT_BYTES
    assert held.held == 0
    assert longest_turn_seconds < MAX_TURN_CPU_SECONDS
