"""Tests that a planned stop of an entry VM sends complete responses."""

import asyncio
import socket

import pytest

from daisylift.decisions import entry_stop
from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response
from tests.utils import wait_until

BODY = b'x' * 50_000  # below the size at which the transport pauses its writer
RESPONSE = http_response(BODY, 'r-1')
SMALL_BUFFER_BYTES = 4096
GRACE_SECONDS = 2.0
READ_AFTER_SECONDS = 0.6 * GRACE_SECONDS  # after idle connections are closed


async def test_a_stop_waits_for_unsent_response_bytes() -> None:
    """On a low-bandwidth link, the end of a response stays in the write buffer.

    The request has ended by then, so waiting for requests alone would cut it off.
    """
    async with (
        ScriptedServer([Script(RESPONSE)]) as server,
        EntryHarness(grace_seconds=GRACE_SECONDS) as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert harness.application is not None
        address = harness.application.settings.listen.caller
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            caller.setblocking(False)
            await loop.sock_connect(caller, (address.host, address.port))
            await asyncio.sleep(0.05)
            (connection,) = harness.application._caller_server.connections
            transport = connection.transport
            transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
            )
            await loop.sock_sendall(
                caller,
                b'GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\n'
                b'Connection: close\r\n\r\n',
            )
            stopping = asyncio.create_task(harness.application.stop())
            await asyncio.sleep(READ_AFTER_SECONDS)
            assert not stopping.done()
            answer = b''
            while chunk := await loop.sock_recv(caller, 65536):
                answer += chunk
            await stopping
    assert answer.endswith(BODY)


async def test_a_stop_closes_all_listeners_and_connections() -> None:
    """A lookup that arrived while the event loop closed left a task behind.

    Found by soak seed 7104.
    """
    async with EntryHarness() as harness:
        application = harness.application
        assert application is not None
        for listener, path in (('directory', '/-/resolve'), ('readiness', '/')):
            await harness.get(listener, path)
        await application.stop()
        listen = application.settings.listen
        for address in (listen.caller, listen.directory, listen.readiness):
            with pytest.raises(OSError):
                await asyncio.open_connection(address.host, address.port)
        await asyncio.sleep(0.05)
        for server in (application._caller_server, *application._side_servers):
            assert not server.connections


@pytest.mark.parametrize(('deadline_ms', 'status'), [(1500, 503), (300, 200)])
async def test_a_request_that_comes_late_in_a_stop_is_not_passed_on_and_cut_off(
    monkeypatch: pytest.MonkeyPatch, deadline_ms: int, status: int
) -> None:
    """Its body arrives late; the server is still at work when the process ends."""
    monkeypatch.setattr(entry_stop, 'MAX_LAST_PASS_SECONDS', 0.2)
    async with (
        ScriptedServer([Script(RESPONSE)]) as server,
        EntryHarness(grace_seconds=GRACE_SECONDS) as harness,
    ):
        rule = make_rule('/x/', 'catalogue', 'unsafe', timeout_ms=3000)
        await harness.configure(1, rule)
        await harness.register(i_1=make_registration(server))
        assert harness.application is not None
        address = harness.application.settings.listen.caller
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b'POST /x/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n')
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(harness.application.stop())
        await asyncio.sleep(0.4)
        head = f'Request-Id: r-1\r\nDeadline-Milliseconds: {deadline_ms}\r\n\r\npay'
        writer.write(head.encode())
        answer = await reader.read()
        await stopping
        assert answer.startswith(f'HTTP/1.1 {status} '.encode())
        assert len(server.requests) == (status == 200)
        assert (b'Retry-After' in answer) == (status == 503)
        writer.close()


async def test_a_peer_that_reads_its_copy_slowly_does_not_prolong_a_stop() -> None:
    """The process would be killed when its grace period is over."""
    async with EntryHarness(grace_seconds=GRACE_SECONDS) as harness:
        for number in range(200):
            document = {'padding': 'x' * 50_000}
            harness.store.write('servers', f'i-{number}', document)
        application = harness.application
        assert application is not None
        replica = application.view.replicas_by_kind['servers']
        await wait_until(lambda: len(replica.documents_by_name) == 200)
        vm = application.settings.vm
        port = application.settings.peer.port
        with socket.socket() as peer:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            peer.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(peer, (vm.host, port))
            await loop.sock_sendall(
                peer, b'GET /copies/servers HTTP/1.1\r\nHost: a\r\n\r\n'
            )
            await loop.sock_recv(peer, 10)
            async with asyncio.timeout(GRACE_SECONDS):
                await application.stop()
