"""Tests that the relay passes requests and responses on unchanged (issue 3)."""

import gzip
import zlib

import aiohttp
import pytest
from yarl import URL

from tests.fakes.relay import running_relay
from tests.fakes.wire import refuse_before_running, respond_ok, send_raw


def raw_answer(raw):
    async def script(request):
        await request.respond(raw)

    return script


async def echo_body(request):
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(request.body)}\r\n\r\n'
    await request.respond(head.encode() + request.body)


@pytest.mark.parametrize(
    'target',
    [
        '/a%2Fb/%C3%A9?x=%26&x=2&y=a+b&x=1',
        '/a/../b//c/./d',
        '/plain',
        '/',
        '/semi;colon?only',
        "/q?a=b?c/d&e='",
        '/%41%7e~?%7E',
    ],
)
async def test_target_is_passed_byte_for_byte(target):
    async with running_relay(respond_ok) as (node, servers):
        raw = f'GET /v1/services/till{target} HTTP/1.1\r\nHost: a\r\n'
        await send_raw(node.port, f'{raw}Connection: close\r\n\r\n'.encode())
        assert servers[0].requests[0].line == f'GET {target} HTTP/1.1'


async def test_request_headers_pass_but_for_those_of_the_hop():
    async with running_relay(respond_ok) as (node, servers):
        await send_raw(
            node.port,
            b'GET /v1/services/till/x HTTP/1.1\r\nHost: napkins.example\r\n'
            b'X-Forwarded-For: 10.0.0.9\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n'
            b'Daisylift-Forwarded-By: vm-9\r\nX-Kept: yes\r\n\r\n',
        )
        fields = servers[0].requests[0].fields()
        assert fields['host'] == 'napkins.example'
        assert fields['x-forwarded-for'] == '10.0.0.9, 127.0.0.1'
        assert fields['x-kept'] == 'yes'
        assert not {'x-hop', 'daisylift-forwarded-by', 'user-agent'} & fields.keys()


async def test_answer_headers_pass_but_for_the_internal_ones():
    raw = (
        b'HTTP/1.1 201 Made\r\nContent-Length: 2\r\nSet-Cookie: a=1\r\n'
        b'Set-Cookie: b=2\r\nDaisylift-Load: 1/4\r\nDaisylift-Outcome: did-not-run\r\n'
        b'X-Hop: 1\r\nConnection: X-Hop\r\n\r\nok'
    )
    async with (
        running_relay(raw_answer(raw)) as (node, _),
        aiohttp.ClientSession() as session,
        session.post(f'{node.url}/x') as answer,
    ):
        assert answer.status == 201
        assert answer.headers.getall('Set-Cookie') == ['a=1', 'b=2']
        assert answer.headers['Daisylift-Outcome'] == 'answered'
        assert 'Daisylift-Load' not in answer.headers
        assert 'X-Hop' not in answer.headers
        assert await answer.read() == b'ok'


@pytest.mark.parametrize('size', [0, 1, 65_535, 65_536, 65_537, 1_000_000])
@pytest.mark.parametrize('chunked', [False, True])
async def test_bodies_of_any_size_pass_whole(size, chunked):
    body = bytes(index % 251 for index in range(size))

    async def parts():
        yield body

    async with (
        running_relay(echo_body) as (node, _),
        aiohttp.ClientSession() as session,
        session.post(f'{node.url}/x', data=parts() if chunked else body) as answer,
    ):
        assert await answer.read() == body


@pytest.mark.parametrize('coding', ['gzip', 'deflate'])
async def test_encoded_bodies_pass_unchanged(coding):
    body = (gzip if coding == 'gzip' else zlib).compress(b'napkins ' * 1000)
    coded = {'Content-Encoding': coding}

    async def echo_coded(request):
        length = f'Content-Length: {len(request.body)}'
        head = f'HTTP/1.1 200 OK\r\nContent-Encoding: {coding}\r\n{length}\r\n\r\n'
        await request.respond(head.encode() + request.body)

    async with (
        running_relay(echo_coded) as (node, servers),
        aiohttp.ClientSession(auto_decompress=False) as session,
        session.post(f'{node.url}/x', data=body, headers=coded) as answer,
    ):
        assert await answer.read() == body
        assert servers[0].requests[0].body == body


@pytest.mark.parametrize(
    ('method', 'raw', 'status'),
    [
        ('HEAD', b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n', 200),
        ('GET', b'HTTP/1.1 204 No\r\n\r\n', 204),
        ('GET', b'HTTP/1.1 304 Not\r\nETag: "a"\r\nContent-Length: 99\r\n\r\n', 304),
    ],
)
async def test_answers_without_a_body_keep_the_connection(method, raw, status):
    async with (
        running_relay(raw_answer(raw)) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        for _ in range(2):
            async with session.request(method, f'{node.url}/x') as answer:
                assert answer.status == status
                assert await answer.read() == b''
        assert [request.number for request in servers[0].requests] == [0, 1]


async def test_continue_is_sent_when_the_body_is_wanted():
    async with running_relay(echo_body) as (node, servers):
        raw = (
            b'POST /v1/services/till/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n'
            b'Expect: 100-continue\r\nConnection: close\r\n\r\nabc'
        )
        answer = await send_raw(node.port, raw)
        interim, final = answer.raw.split(b'\r\n\r\n', 2)[:2]
        assert interim == b'HTTP/1.1 100 Continue'
        assert final.startswith(b'HTTP/1.1 200 OK\r\n')
        assert 'expect' not in servers[0].requests[0].fields()


async def test_refused_request_gets_no_continue():
    async with running_relay(echo_body) as (node, _):
        raw = (
            b'POST /v1/services/nope/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n'
            b'Expect: 100-continue\r\nConnection: close\r\n\r\n'
        )
        assert (await send_raw(node.port, raw)).status == 404


async def test_connections_are_kept_and_reused():
    async with (
        running_relay(respond_ok) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        for _ in range(5):
            async with session.get(URL(f'{node.url}/x')) as answer:
                await answer.read()
        assert [request.number for request in servers[0].requests] == [0, 1, 2, 3, 4]


async def test_server_that_refuses_work_is_skipped_even_for_a_payment():
    async with (
        running_relay(refuse_before_running, respond_ok) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        for _ in range(4):
            async with session.post(f'{node.url}/pay', data=b'1') as answer:
                assert answer.status == 200
        assert len(servers[1].requests) == 4
