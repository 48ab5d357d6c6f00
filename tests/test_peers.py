"""Tests of the peer link over loopback."""

import asyncio
import contextlib
import io
import socket

import pytest
from loguru import logger
from returns.result import Failure, Success

from daisylift.schema import peer_pb2 as pb
from daisylift_node.config import KeyedListenSettings
from daisylift_node.connection.peers import PeerLink, TimedOut, new_incarnation
from daisylift_node.errors import StartError
from daisylift_node.process.metrics import Metrics
from tests.utils import wait_until

KEY = 'a-key-for-the-tests'
WAIT_SECONDS = 10.0
NO_WAIT_SECONDS = 0.05


def free_udp_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
        one.bind(('127.0.0.1', 0))
        return one.getsockname()[1]


@contextlib.asynccontextmanager
async def running_link(vm: str, key: str = KEY, port: int | None = None):
    settings = KeyedListenSettings(
        host='127.0.0.1', port=port or free_udp_port(), key=key
    )
    link = PeerLink(settings, vm, new_incarnation(), Metrics())
    await link.start()
    try:
        yield link, (settings.host, settings.port)
    finally:
        await link.stop()


def drops(link: PeerLink, reason: str) -> float:
    return link._drops.labels(reason=reason)._value.get()


async def test_request_gets_its_reply_and_knows_the_sender():
    async with running_link('vm-0') as (asker, _), running_link('vm-1') as (one, to):
        asker.ordinal = 4
        asker.configuration_version = 12
        seen = []
        one.listen(seen.append)
        one.subscribe('probe', lambda received: pb.ProbeAnswer())
        result = await asker.request(to, pb.Probe(), WAIT_SECONDS)
        assert result == Success(pb.ProbeAnswer())
        assert (seen[0].vm, seen[0].ordinal) == ('vm-0', 4)
        assert seen[0].configuration_version == 12
        assert seen[0].incarnation == asker.incarnation


async def test_reply_may_come_later():
    async with running_link('vm-0') as (asker, _), running_link('vm-1') as (one, to):
        loop = asyncio.get_running_loop()

        def answer_later(received):
            loop.call_soon(one.reply, received, pb.ProbeAnswer())

        one.subscribe('probe', answer_later)
        result = await asker.request(to, pb.Probe(), WAIT_SECONDS)
        assert result == Success(pb.ProbeAnswer())


async def test_request_without_reply_times_out():
    async with running_link('vm-0') as (asker, _):
        nobody = '127.0.0.1', free_udp_port()
        result = await asker.request(nobody, pb.Probe(), NO_WAIT_SECONDS)
        assert result == Failure(TimedOut())
        assert not asker._pending_by_id


async def test_invalid_datagrams_are_counted_and_the_link_continues():
    async with (
        running_link('vm-0') as (friend, _),
        running_link('vm-9', key='not-the-shared-key') as (stranger, _),
        running_link('vm-1') as (one, to),
    ):
        one.subscribe('probe', lambda received: pb.ProbeAnswer())
        stranger.send(to, pb.Probe())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as raw:
            raw.sendto(b'\xff' * 100, to)
            raw.sendto(b'\x01' * 1300, to)
        await wait_until(lambda: drops(one, 'wrong-key') == 1)
        await wait_until(lambda: drops(one, 'garbage') == 1)
        await wait_until(lambda: drops(one, 'oversized') == 1)
        result = await friend.request(to, pb.Probe(), WAIT_SECONDS)
        assert result == Success(pb.ProbeAnswer())


async def test_failing_handler_does_not_end_the_link():
    async with running_link('vm-0') as (asker, _), running_link('vm-1') as (one, to):

        def fail(received):
            raise RuntimeError('planted')

        one.subscribe('probe', fail)
        asker.send(to, pb.Probe())
        await wait_until(lambda: drops(one, 'handler-failed') == 1)
        asker.send(to, pb.ProbeAnswer())
        await wait_until(lambda: drops(one, 'no-handler') == 1)


async def test_replayed_datagram_is_dropped():
    async with running_link('vm-0') as (asker, _), running_link('vm-1') as (one, to):
        calls = []
        one.subscribe('probe', calls.append)
        data = asker._codec.encode(asker._envelope(pb.Probe()))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as raw:
            raw.sendto(data, to)
            raw.sendto(data, to)
        await wait_until(lambda: drops(one, 'replayed') == 1)
        assert len(calls) == 1


async def test_taken_port_is_a_start_error():
    async with running_link('vm-0') as (_, address):
        with pytest.raises(StartError, match='can not listen'):
            async with running_link('vm-1', port=address[1]):
                pass


async def test_secret_is_in_no_log_line_or_repr():
    log = io.StringIO()
    sink = logger.add(log, level='TRACE', diagnose=True, backtrace=True)
    try:
        async with (
            running_link('vm-0') as (asker, _),
            running_link('vm-1') as (one, to),
        ):

            def fail(received):
                raise RuntimeError('planted')

            one.subscribe('probe', fail)
            asker.send(to, pb.Probe())
            await wait_until(lambda: drops(one, 'handler-failed') == 1)
            shown = f'{asker!r} {asker._settings!r} {asker._codec!r}'
    finally:
        logger.remove(sink)
    assert 'planted' in log.getvalue()
    assert KEY not in log.getvalue()
    assert KEY not in shown


def test_incarnations_rise_and_have_sixteen_digits():
    first = new_incarnation()
    assert len(first) == 16
    assert first < '7' * 16
