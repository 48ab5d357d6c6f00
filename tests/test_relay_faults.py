"""Tests of the relay when servers and callers fail (issue 3)."""

import asyncio

import aiohttp
import pytest

from tests.fakes.relay import running_relay
from tests.fakes.wire import (
    abort_connection,
    refuse_before_running,
    respond_ok,
    send_raw,
    stay_silent,
    wait_until,
)

CLOSE = 'Connection: close\r\n\r\n'


async def answer_then_drop(request):
    if request.number == 0:
        await respond_ok(request)
    else:
        await abort_connection(request)


async def fetch(session, method, url, **options):
    async with session.request(method, url, **options) as answer:
        return answer.status, answer.headers['Daisylift-Outcome'], await answer.read()


@pytest.mark.parametrize('method', ['PUT', 'DELETE', 'POST'])
async def test_work_that_may_not_be_repeated_is_sent_once(method):
    async with (
        running_relay(answer_then_drop) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        await fetch(session, method, f'{node.url}/x')
        status, outcome, _ = await fetch(session, method, f'{node.url}/x')
        assert (status, outcome) == (502, 'unknown')
        assert len(servers[0].requests) == 2


async def test_idempotent_work_is_sent_once_more_at_most():
    async with (
        running_relay(abort_connection, abort_connection, abort_connection) as (
            node,
            servers,
        ),
        aiohttp.ClientSession() as session,
    ):
        status, outcome, _ = await fetch(session, 'GET', f'{node.url}/x')
        assert (status, outcome) == (502, 'unknown')
        assert sorted(len(server.requests) for server in servers) == [0, 1, 1]
        retries = 'daisylift_retries_total'
        assert node.counter_sum(retries, verdict='granted') == 1
        assert node.counter_sum(retries, verdict='tries-spent') == 1


async def test_retries_stay_within_the_budget():
    async with (
        running_relay(abort_connection, abort_connection, retry_budget=0.1) as (
            node,
            servers,
        ),
        aiohttp.ClientSession() as session,
    ):
        for number in range(20):
            await fetch(session, 'GET', f'{node.url}/{number}')
        sent = sum(len(server.requests) for server in servers)
        assert 20 < sent <= 20 + 1 + 20 * 0.1


async def test_payment_goes_on_where_nothing_can_have_run():
    async with (
        running_relay(respond_ok, respond_ok) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        await servers[0].stop()
        for _ in range(6):
            status, _, _ = await fetch(session, 'POST', f'{node.url}/pay')
            assert status == 200
        assert len(servers[1].requests) == 6


async def test_refusal_of_all_servers_is_did_not_run():
    async with (
        running_relay(refuse_before_running) as (node, _),
        aiohttp.ClientSession() as session,
        session.post(f'{node.url}/pay') as answer,
    ):
        assert answer.status == 503
        assert answer.headers['Daisylift-Outcome'] == 'did-not-run'
        assert answer.headers['Retry-After'] == '1'
        assert answer.content_type == 'application/problem+json'
        document = await answer.json(content_type=None)
        assert document['type'] == 'urn:daisylift:server-refused'


async def test_no_server_to_connect_to_is_did_not_run():
    async with (
        running_relay(respond_ok) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        await servers[0].stop()
        status, outcome, _ = await fetch(session, 'POST', f'{node.url}/pay')
        assert (status, outcome) == (502, 'did-not-run')
        assert node.counter_sum('daisylift_retries_total', reason='connect-failed') == 3


@pytest.mark.parametrize(
    'short',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n',
    ],
)
async def test_truncated_response_is_aborted(short):
    async def script(request):
        await request.respond(short)
        request.writer.close()

    async with running_relay(script) as (node, _):
        for version in ('1.1', '1.0'):
            target = f'/v1/services/till/{version}'
            raw = f'GET {target} HTTP/{version}\r\nHost: a\r\n{CLOSE}'
            answer = await send_raw(node.port, raw.encode())
            assert answer.was_reset or answer.status == 502
            assert b'0\r\n\r\n' not in answer.raw


async def test_late_response_is_sent_to_no_caller():
    async def slow_then_ok(request):
        if request.line.startswith('GET /slow'):
            await asyncio.sleep(0.2)
        await respond_ok(request)

    async with (
        running_relay(slow_then_ok) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        timeout = {'Daisylift-Timeout-Ms': '50'}
        first = await fetch(session, 'POST', f'{node.url}/warm')
        assert first[0] == 200
        slow = await fetch(session, 'GET', f'{node.url}/slow', headers=timeout)
        assert slow[:2] == (504, 'unknown')
        for name in ('a', 'b'):
            answer = await fetch(session, 'POST', f'{node.url}/{name}')
            assert answer[2] == f'POST /{name} HTTP/1.1'.encode()
        assert servers[0].requests[-1].number < 2
        assert node.permits.unknown_outcomes == [False, True, False, False]


async def test_caller_that_goes_away_cancels_its_work():
    async with running_relay(stay_silent) as (node, servers):
        _, writer = await asyncio.open_connection('127.0.0.1', node.port)
        writer.write(b'GET /v1/services/till/x HTTP/1.1\r\nHost: a\r\n\r\n')
        await wait_until(lambda: servers[0].requests)
        writer.transport.abort()
        await asyncio.wait_for(servers[0].closed.wait(), 5.0)
        await wait_until(lambda: node.permits.unknown_outcomes)
        assert node.permits.unknown_outcomes == [True]


@pytest.mark.parametrize('sent', [3, 100_000])
@pytest.mark.parametrize('chunked', [False, True])
@pytest.mark.parametrize('aborted', [False, True])
async def test_truncated_body_is_not_passed_as_complete(sent, chunked, aborted):
    body = b'x' * sent
    framing = f'Content-Length: {sent + 5}\r\n\r\n'.encode() + body
    if chunked:
        framing = b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%s' % (sent + 5, body)
    async with running_relay(respond_ok) as (node, servers):
        raw = b'POST /v1/services/till/x HTTP/1.1\r\nHost: a\r\n' + framing
        _, writer = await asyncio.open_connection('127.0.0.1', node.port)
        writer.write(raw)
        await writer.drain()
        await asyncio.sleep(0.02)
        if aborted:
            writer.transport.abort()
        else:
            writer.close()
        await asyncio.sleep(0.05)
        await wait_until(lambda: not servers[0].requests or servers[0].closed.is_set())
        assert all(not request.body for request in servers[0].requests)
        await wait_until(lambda: not any(node.permits.used.values()))


async def test_lapsed_permit_starts_no_request():
    async with (
        running_relay(respond_ok) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        node.permits.may_start = False
        status, outcome, _ = await fetch(session, 'POST', f'{node.url}/pay')
        assert (status, outcome) == (503, 'did-not-run')
        assert servers[0].requests == []
        assert node.permits.unknown_outcomes == [False, False, False]


async def test_server_that_answers_before_the_body_is_whole():
    async def too_large(request):
        await request.respond(b'HTTP/1.1 413 Big\r\nContent-Length: 0\r\n\r\n')

    async with (
        running_relay(too_large) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        first = await fetch(session, 'POST', f'{node.url}/x', data=b'y' * 300_000)
        second = await fetch(session, 'POST', f'{node.url}/x', data=b'y')
        assert (first[0], second[0]) == (413, 413)
        assert len(servers[0].requests) == 2


async def test_answer_that_outlasts_the_deadline_is_broken_off_and_not_repeated():
    async def stall(request):
        await request.respond(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc')
        await stay_silent(request)

    async with running_relay(stall, stall) as (node, servers):
        raw = 'GET /v1/services/till/x HTTP/1.1\r\nHost: a\r\nDaisylift-Timeout-Ms: 80'
        answer = await send_raw(node.port, f'{raw}\r\n{CLOSE}'.encode())
        assert answer.was_reset
        assert answer.raw.endswith(b'\r\n\r\nabc')
        assert node.counter_sum('daisylift_retries_total') == 0
        assert sum(len(server.requests) for server in servers) == 1
        assert node.permits.unknown_outcomes == [True]


async def test_poison_request_is_stopped_before_its_third_run():
    async with (
        running_relay(
            abort_connection, abort_connection, abort_connection, abort_connection
        ) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        endings = [
            await fetch(session, 'POST', f'{node.url}/crash', data=b'1')
            for _ in range(4)
        ]
        assert [ending[:2] for ending in endings] == [
            (502, 'unknown'),
            (502, 'unknown'),
            (422, 'did-not-run'),
            (422, 'did-not-run'),
        ]
        assert sum(len(server.requests) for server in servers) == 2
        other = await fetch(session, 'POST', f'{node.url}/crash', data=b'2')
        assert other[:2] == (502, 'unknown')
        assert len(node.notices) == 3


async def test_crash_reported_by_a_peer_is_counted():
    async with (
        running_relay(abort_connection, abort_connection, abort_connection) as (
            node,
            servers,
        ),
        aiohttp.ClientSession() as session,
    ):
        await fetch(session, 'POST', f'{node.url}/crash', data=b'1')
        digest, _ = node.notices[0]
        node.poison_requests.apply_notice(digest, 77)
        second = await fetch(session, 'POST', f'{node.url}/crash', data=b'1')
        assert second[:2] == (422, 'did-not-run')
        assert sum(len(server.requests) for server in servers) == 1


async def test_innocent_request_is_cleared_by_its_answer():
    async with (
        running_relay(respond_ok, abort_connection) as (node, _),
        aiohttp.ClientSession() as session,
    ):
        for _ in range(8):
            await fetch(session, 'GET', f'{node.url}/designs')
        status, outcome, _ = await fetch(session, 'GET', f'{node.url}/designs')
        assert (status, outcome) == (200, 'answered')
