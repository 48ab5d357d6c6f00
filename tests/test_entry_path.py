"""Tests of the path of one request through an entry VM, with and without faults."""

import asyncio
import gzip
import zlib
from collections.abc import AsyncIterator

import aiohttp
import pytest

from daisylift_node.version.fleet_view import LAPSE_GRACE_SECONDS
from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response
from tests.utils import LogCapture, wait_until

COMPLETE = http_response(b'whole', 'r-1', extra=('Server-Load: 1,0,4', 'X-Kept: yes'))


async def test_an_answer_is_passed_on_unchanged() -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        reply = await harness.send(path='/x/1?q=%2F&r=a%20b')
        assert (reply.status, reply.body) == (200, b'whole')
        assert reply.headers['Response-Stamp'] == 's'
        assert reply.headers['X-Kept'] == 'yes'
        (seen,) = server.requests
        assert seen.startswith(b'GET /x/1?q=%2F&r=a%20b HTTP/1.1\r\n')
        assert b'Target-Instance: i-1' in seen
        assert b'Request-Id: r-1' in seen


async def test_the_server_gets_the_shorter_time_limit() -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue', timeout_ms=700))
        await harness.register(i_1=make_registration(server))
        await harness.send(headers={'Deadline-Milliseconds': '9000'})
        line = next(
            line
            for line in server.requests[0].split(b'\r\n')
            if line.lower().startswith(b'deadline')
        )
        assert 500 < int(line.partition(b':')[2]) <= 700


async def test_without_a_desired_state_requests_get_a_503() -> None:
    async with EntryHarness() as harness:
        reply = await harness.send()
        assert reply.status == 503
        assert (await harness.get('readiness', '/-/readiness')).status == 503


async def test_no_route_is_reported_immediately() -> None:
    async with EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        assert (await harness.send(path='/y/1')).status == 404


async def test_a_body_over_the_limit_is_refused() -> None:
    async with EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe'))
        reply = await harness.send('POST', data=b'x' * 200_000)
        assert reply.status == 413


async def test_a_chunked_body_arrives_complete() -> None:
    async def chunks():
        yield b'a' * 3000
        yield b'b' * 3000

    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe'))
        await harness.register(i_1=make_registration(server, 'till'))
        assert (await harness.send('POST', data=chunks())).status == 200
        assert server.requests[0].endswith(b'a' * 3000 + b'b' * 3000)


async def test_the_routes_time_limit_is_kept() -> None:
    slow = Script(COMPLETE, after_seconds=2.0)
    async with ScriptedServer([slow]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe', timeout_ms=300))
        await harness.register(i_1=make_registration(server, 'till'))
        started = asyncio.get_running_loop().time()
        reply = await harness.send('POST', data=b'pay')
        assert reply.status == 504
        assert asyncio.get_running_loop().time() - started < 0.6


async def test_a_leaving_server_and_an_evacuated_domain_get_nothing() -> None:
    async with (
        ScriptedServer([Script(COMPLETE)] * 9) as server,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert (await harness.send()).status == 200
        await harness.register(i_1=make_registration(server, state='draining'))
        assert (await harness.send()).status == 503
        await harness.register(i_1=make_registration(server))
        assert (await harness.send()).status == 200
        harness.store.write('evacuations', 'arusha-a', {})
        await asyncio.sleep(0.15)
        assert (await harness.send()).status == 503
        harness.store.remove('evacuations', 'arusha-a')
        await asyncio.sleep(0.15)
        assert (await harness.send()).status == 200


async def test_a_server_whose_registration_lapses_briefly_is_kept() -> None:
    """A short lapse may be only silence; a server whose lapse lasts is removed."""
    async with (
        ScriptedServer([Script(COMPLETE)] * 9) as server,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        registration = make_registration(server)
        await harness.register(i_1=registration)
        harness.store.remove('servers', 'i-1')
        await asyncio.sleep(0.5)
        assert (await harness.send()).status == 200
        await harness.register(i_1=registration)
        await asyncio.sleep(LAPSE_GRACE_SECONDS)
        assert (await harness.send()).status == 200
        harness.store.remove('servers', 'i-1')
        await asyncio.sleep(LAPSE_GRACE_SECONDS + 1.0)
        assert (await harness.send()).status == 503


async def test_an_invalid_registration_does_not_affect_the_others() -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        broken = make_registration(server, slots='many')
        await harness.register(i_0=broken, i_1=make_registration(server))
        assert (await harness.send()).status == 200
        assert b'Target-Instance: i-1' in server.requests[0]


async def test_an_older_desired_state_is_never_applied() -> None:
    async with EntryHarness() as harness:
        await harness.configure(5, make_rule('/x/', 'catalogue'))
        await harness.configure(4, make_rule('/y/', 'catalogue'))
        assert (await harness.send(path='/y/1')).status == 404
        assert (await harness.send(path='/x/1')).status == 503


async def test_a_request_is_dropped_at_the_server_when_its_caller_leaves() -> None:
    slow = Script(COMPLETE, after_seconds=1.0)
    async with ScriptedServer([slow]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        with pytest.raises(TimeoutError):
            await harness.send(timeout=aiohttp.ClientTimeout(total=0.2))
        await asyncio.sleep(0.2)
        assert harness.application is not None
        candidate = harness.application.view.placer('catalogue').candidates_by_id['i-1']
        assert candidate.stats.in_flight == 0


async def test_an_unsafe_request_finishes_when_its_caller_leaves() -> None:
    slow = Script(COMPLETE, after_seconds=0.4)
    async with ScriptedServer([slow]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe'))
        await harness.register(i_1=make_registration(server, 'till'))
        assert harness.application is not None
        candidate = harness.application.view.placer('till').candidates_by_id['i-1']
        with pytest.raises(TimeoutError):
            await harness.send(
                'POST', data=b'pay', timeout=aiohttp.ClientTimeout(total=0.2)
            )
        assert candidate.stats.in_flight == 1
        await asyncio.sleep(0.4)
        assert candidate.stats.in_flight == 0


async def test_many_chunked_bodies_are_taken_at_once() -> None:
    async def chunks():
        yield b'a' * 100

    async with (
        ScriptedServer([Script(COMPLETE)] * 8) as server,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe'))
        await harness.register(i_1=make_registration(server, 'till', slots=8))
        replies = await asyncio.gather(
            *(harness.send('POST', data=chunks()) for _ in range(8))
        )
        assert [reply.status for reply in replies] == [200] * 8


# The caller got 500 from the HTTP library, and the log had no line with the request id.
async def test_an_unexpected_error_before_a_send_is_a_refusal(
    logs: LogCapture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        assert harness.application is not None
        monkeypatch.setattr(harness.application.view, 'placer', raise_value_error)
        reply = await harness.send()
    assert reply.status == 503
    assert 'Retry-After' in reply.headers
    line = logs.first('request ended by an unexpected error')
    assert line['request_id'] == 'r-1'
    assert logs.first('refused')['reason'] == 'internal'


async def test_an_unexpected_error_during_a_send_is_a_failure(
    logs: LogCapture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert harness.application is not None
        monkeypatch.setattr(harness.application.pool, 'exchange', raise_value_error)
        reply = await harness.send()
    assert reply.status == 502
    assert logs.first('failed')['reason'] == 'internal'


# A figure that no float holds failed each later request that the server was ranked for.
async def test_a_load_that_no_server_can_have_is_ignored() -> None:
    for load in ('9' * 4000, '-5', '\u0661', '1_0', ''):
        answer = http_response(b'whole', 'r-1', extra=(f'Server-Load: {load},0,4',))
        async with (
            ScriptedServer([Script(answer)] * 3) as server,
            EntryHarness() as harness,
        ):
            await harness.configure(1, make_rule('/x/', 'catalogue'))
            await harness.register(i_1=make_registration(server))
            for _ in range(3):
                assert (await harness.send()).status == 200


# A key with bytes that are not UTF-8 could not be hashed, and its request got 500.
async def test_an_object_key_that_is_not_utf_8_is_passed_on() -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert harness.application is not None
        address = harness.application.settings.listen.caller
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(
            b'GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\n'
            b'Affinity-Key: \xb2\r\nConnection: close\r\n\r\n'
        )
        answer = await reader.read()
        writer.close()
    assert answer.startswith(b'HTTP/1.1 200'), answer
    assert b'\r\nAffinity-Key: \xb2\r\n' in server.requests[0]


def raise_value_error(*_: object) -> None:
    raise ValueError('broken')


# The failure of an order that its caller no longer waits for left no line.
async def test_an_order_lost_after_its_caller_left_is_logged(logs: LogCapture) -> None:
    lost = Script(b'', after_seconds=0.3, close=True)
    async with ScriptedServer([lost]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe'))
        await harness.register(i_1=make_registration(server, 'till'))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(harness.send('POST', data=b'1'), 0.1)
        line = 'response lost after its caller had left'
        await wait_until(lambda: logs.with_message(line))
    assert logs.first(line)['request_id'] == 'r-1'


# Bodies with a content coding that the HTTP library knows were decompressed on the way,
# so that an order ran with other bytes than its caller had sent (review/5).
@pytest.mark.parametrize('coding', ['gzip', 'deflate', 'br', 'zstd', 'unknown'])
@pytest.mark.parametrize('is_chunked', [False, True])
async def test_a_body_with_a_content_coding_is_passed_on_as_sent(
    coding: str, is_chunked: bool
) -> None:
    body = gzip.compress(b'{"amount": 90000}') if coding == 'gzip' else b'\x28\xb5coded'
    if coding == 'deflate':
        body = zlib.compress(b'{"amount": 90000}')

    async def chunks() -> AsyncIterator[bytes]:
        yield body[:5]
        yield body[5:]

    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe'))
        await harness.register(i_1=make_registration(server, 'till'))
        reply = await harness.send(
            'POST',
            data=chunks() if is_chunked else body,
            headers={'Content-Encoding': coding},
        )
    assert reply.status == 200
    (seen,) = server.requests
    assert seen.partition(b'\r\n\r\n')[2] == body
    assert f'Content-Encoding: {coding}\r\n'.encode() in seen


async def test_a_response_with_a_content_coding_is_passed_on_as_sent() -> None:
    body = gzip.compress(b'whole')
    answer = http_response(body, 'r-1', extra=('Content-Encoding: gzip',))
    async with ScriptedServer([Script(answer)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert harness.application is not None
        address = harness.application.settings.listen.caller
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(
            b'GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\n'
            b'Connection: close\r\n\r\n'
        )
        received = await reader.read()
        writer.close()
    assert received.endswith(b'\r\n\r\n' + body)
