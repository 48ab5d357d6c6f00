"""Tests of tenants at an entry VM: keys, their removal, homes, logs and metrics."""

import asyncio
import json
from functools import partial
from typing import Any

import pytest
from multidict import CIMultiDict

from daisylift.models.registered_server import RegisteredServer
from daisylift_node.connection.server_connection import ServerConnection
from daisylift_node.connection.server_pool import ServerPool
from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response
from tests.utils import LogCapture, wait_until

COMPLETE = http_response(b'whole', 'r-1')
TURNED_AWAY = http_response(
    b'', 'r-1', '503 Service Unavailable', extra=('Not-Executed: 1',)
)
RULE = make_rule('/x/', 'catalogue', timeout_ms=5000)
PUBLIC_RULE = {**make_rule('/p/', 'catalogue'), 'public': True}
TENANT = {'name': 'huka', 'keys': ['key-1', 'key-2']}
OTHER_TENANT = {'name': 'other', 'keys': ['key-3']}
KEY = {'Authorization': 'Bearer key-1', 'Deadline-Milliseconds': '5000'}


def names_and_values(request: bytes) -> list[tuple[str, str]]:
    lines = request.split(b'\r\n\r\n')[0].decode('latin-1').split('\r\n')[1:]
    pairs = (line.split(':', 1) for line in lines)
    return [(name.lower(), value.strip()) for name, value in pairs]


def is_in_force(harness: EntryHarness, version: int) -> bool:
    assert harness.application is not None
    routes = harness.application.view.routes
    return routes is not None and routes.state.version == version


def identity_of(request: bytes) -> list[tuple[str, str]]:
    headers = names_and_values(request)
    return [pair for pair in headers if pair[0] in ('tenant', 'authorization')]


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_the_server_is_told_the_tenant_and_not_the_key(method: str) -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, RULE, PUBLIC_RULE, tenants=[TENANT, OTHER_TENANT])
        await harness.register(i_1=make_registration(server))
        headers = [
            ('authORIZATION', 'bearer key-2'),
            ('TENANT', 'other'),
            ('tenant', 'third'),
            ('Connection', 'tenant'),
        ]
        assert harness.caller is not None
        assert harness.application is not None
        url = f'http://{harness.application.settings.listen.caller}/x/1'
        fields = CIMultiDict([('Host', 'a.example'), ('Request-Id', 'r-1'), *headers])
        async with harness.caller.request(
            method, url, headers=fields, data=b'x' if method == 'POST' else None
        ) as response:
            assert response.status == 200
        assert identity_of(server.requests[0]) == [('tenant', 'huka')]


@pytest.mark.parametrize(
    ('headers', 'reason'),
    [
        ({}, 'key_missing'),
        ({'Authorization': 'Basic key-1'}, 'key_malformed'),
        ({'Authorization': 'Bearer key-9'}, 'key_unknown'),
        ({'Tenant': 'huka'}, 'key_missing'),
    ],
)
async def test_a_request_without_a_key_of_a_tenant_gets_401(
    headers: dict[str, str], reason: str, logs: LogCapture
) -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, RULE, tenants=[TENANT])
        await harness.register(i_1=make_registration(server))
        reply = await harness.send(headers=headers)
        assert (reply.status, json.loads(reply.body)['error']) == (401, reason)
        assert reply.headers['WWW-Authenticate'] == 'Bearer'
        assert (await harness.send(path='/y/1', headers=headers)).status == 404
        assert not server.requests
    line = logs.first('refused')
    assert (line['request_id'], line['reason']) == ('r-1', reason)
    assert 'key-9' not in logs.stream.getvalue()


async def test_a_public_route_needs_no_key_but_no_unknown_one_either() -> None:
    scripts = [Script(COMPLETE), Script(COMPLETE)]
    async with ScriptedServer(scripts) as server, EntryHarness() as harness:
        await harness.configure(1, RULE, PUBLIC_RULE, tenants=[TENANT])
        await harness.register(i_1=make_registration(server))
        claimed = {'Tenant': 'huka'}
        assert (await harness.send(path='/p/1', headers=claimed)).status == 200
        assert (await harness.send(path='/p/1', headers=KEY)).status == 200
        unknown = {'Authorization': 'Bearer key-9'}
        assert (await harness.send(path='/p/1', headers=unknown)).status == 401
        assert identity_of(server.requests[0]) == []
        assert identity_of(server.requests[1]) == [('tenant', 'huka')]


async def test_without_tenants_the_callers_headers_pass_as_before() -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, RULE)
        await harness.register(i_1=make_registration(server))
        headers = {'Authorization': 'Basic eA==', 'Tenant': 'x'}
        assert (await harness.send(headers=headers)).status == 200
        seen = identity_of(server.requests[0])
        assert seen == [('authorization', 'Basic eA=='), ('tenant', 'x')]


async def test_a_key_taken_away_binds_a_connected_caller_and_comes_back() -> None:
    """The caller's connection stays open; only the key in the request counts."""
    scripts = [Script(COMPLETE), Script(COMPLETE)]
    async with ScriptedServer(scripts) as server, EntryHarness() as harness:
        await harness.register(i_1=make_registration(server))
        statuses = []
        for version, keys in enumerate((['key-1'], ['key-2'], [], ['key-1']), 1):
            tenant = {'name': 'huka', 'keys': keys}
            await harness.configure(version, RULE, tenants=[tenant])
            await wait_until(partial(is_in_force, harness, version))
            statuses.append((await harness.send(headers=KEY)).status)
        assert statuses == [200, 401, 401, 200]
        assert len(server.requests) == 2


async def test_a_request_that_waits_ends_when_its_key_is_taken_away(
    logs: LogCapture,
) -> None:
    """One request runs, one waits for the only slot as the key is taken away."""
    slow = Script(COMPLETE, after_seconds=1.0)
    async with ScriptedServer([slow]) as server, EntryHarness() as harness:
        await harness.configure(1, RULE, tenants=[TENANT])
        await harness.register(i_1=make_registration(server, slots=1))
        running = asyncio.create_task(harness.send(headers=KEY))
        await wait_until(lambda: server.requests)
        waiting = asyncio.create_task(harness.send(headers=KEY))
        await asyncio.sleep(0.1)
        await harness.configure(2, RULE, tenants=[OTHER_TENANT])
        assert waiting.done()
        assert not running.done()
        assert (await waiting).status == 401
        assert (await running).status == 200
        assert len(server.requests) == 1
    line = logs.first('refused')
    assert (line['reason'], line['tenant']) == ('key_revoked', 'huka')


async def test_a_request_is_not_sent_again_after_its_key_is_taken_away() -> None:
    """A server turns the request away after the key was taken away."""
    turns_away = Script(TURNED_AWAY, after_seconds=0.4)
    async with (
        ScriptedServer([turns_away]) as first,
        ScriptedServer([turns_away]) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, RULE, tenants=[TENANT])
        await harness.register(
            i_1=make_registration(first), i_2=make_registration(second)
        )
        sent = asyncio.create_task(harness.send(headers=KEY))
        await wait_until(lambda: first.requests or second.requests)
        await harness.configure(2, RULE, tenants=[OTHER_TENANT])
        assert (await sent).status == 401
        assert len(first.requests + second.requests) == 1


async def test_a_key_that_moves_to_another_tenant_names_the_new_one() -> None:
    """The request waits while its key is given to another tenant."""
    scripts = [Script(COMPLETE, after_seconds=0.5), Script(COMPLETE)]
    async with ScriptedServer(scripts) as server, EntryHarness() as harness:
        await harness.configure(1, RULE, tenants=[TENANT])
        await harness.register(i_1=make_registration(server, slots=1))
        running = asyncio.create_task(harness.send(headers=KEY))
        await wait_until(lambda: server.requests)
        waiting = asyncio.create_task(harness.send(headers=KEY))
        await asyncio.sleep(0.1)
        moved = {'name': 'other', 'keys': ['key-1']}
        await harness.configure(2, RULE, tenants=[moved])
        assert [(await each).status for each in (running, waiting)] == [200, 200]
        assert identity_of(server.requests[1]) == [('tenant', 'other')]


@pytest.mark.parametrize(
    ('route_homes', 'tenant_homes', 'served_in'),
    [
        ([], ['dar'], 'dar'),
        (['dar', 'arusha'], ['dar'], 'dar'),
        (['arusha'], [], 'arusha'),
        (['arusha'], ['dar'], None),
        ([], ['nowhere'], None),
    ],
)
async def test_the_homes_of_route_and_tenant_both_bind(
    route_homes: list[str],
    tenant_homes: list[str],
    served_in: str | None,
    logs: LogCapture,
) -> None:
    """Without a server in a common home, the request is refused at once."""
    async with (
        ScriptedServer([Script(COMPLETE)]) as near,
        ScriptedServer([Script(COMPLETE)]) as far,
        EntryHarness() as harness,
    ):
        rule = make_rule('/x/', 'catalogue', home_regions=route_homes)
        tenant: dict[str, Any] = {**TENANT, 'home_regions': tenant_homes}
        await harness.configure(1, rule, tenants=[tenant])
        await harness.register(
            i_1=make_registration(near), i_2=make_registration(far, zone='dar-a')
        )
        reply = await harness.send(headers=KEY)
        assert reply.status == (503 if served_in is None else 200)
        assert len(near.requests) == (served_in == 'arusha')
        assert len(far.requests) == (served_in == 'dar')
    if served_in is None:
        line = logs.first('refused')
        assert line['reason'] == 'no_server'
        assert line['seconds'] < 0.1


async def test_logs_and_metrics_name_tenants_and_no_key(logs: LogCapture) -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, RULE, tenants=[TENANT])
        await harness.register(i_1=make_registration(server))
        await harness.send(headers=KEY)
        await harness.send(headers={'Authorization': 'Bearer key-9'})
        assert harness.application is not None
        await harness.application.report_tenants()
        metrics = harness.application.metrics.exposition().decode()
    assert logs.first('answered')['tenant'] == 'huka'
    assert len(logs.first('refused')['key_digest']) == 8
    assert 'daisylift_tenant_requests{outcome="answered",tenant="huka"} 1.0' in metrics
    assert 'reason="key_unknown"' in metrics
    assert 'key-' not in logs.stream.getvalue() + metrics


@pytest.mark.parametrize(
    'head',
    [
        b'GET /x/1 HTTP/1.1\r\nAuthorization: Bearer key-1\x01\x00\r\n\r\n',
        b'GET /x/1 HTTP/1.1\r\nAuthorization : Bearer key-1\r\n\r\n',
        b'GET /x/1 HTTP/1.1\r\nBearer key-1\r\n\r\n',
        b'GET /x/1 HTTP/1.1\r\nAuthorization: Bearer key-1'
        + b'x' * 20_000
        + b'\r\n\r\n',
        b'Authorization: Bearer key-1\r\nGET /x/1 HTTP/1.1\r\n\r\n',
    ],
)
async def test_no_key_of_an_unreadable_request_is_logged(
    head: bytes, logs: LogCapture, caplog: pytest.LogCaptureFixture
) -> None:
    """Parsers put the line that they cannot read into their errors."""
    async with EntryHarness() as harness:
        await harness.configure(1, RULE, tenants=[TENANT])
        assert harness.application is not None
        address = harness.application.settings.listen.caller
        reader, writer = await asyncio.open_connection(str(address.host), address.port)
        writer.write(head)
        status = await asyncio.wait_for(reader.read(12), 5.0)
        writer.close()
    assert status[9:10] == b'4'
    assert 'key-1' not in logs.stream.getvalue() + caplog.text


async def test_a_request_is_not_written_once_its_key_is_taken_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The key is taken away while a connection to the server is opened."""
    open_at_once = ServerPool._open

    async def open_late(pool: ServerPool, server: RegisteredServer) -> ServerConnection:
        await asyncio.sleep(0.4)
        return await open_at_once(pool, server)

    monkeypatch.setattr(ServerPool, '_open', open_late)
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, RULE, tenants=[TENANT])
        await harness.register(i_1=make_registration(server))
        sent = asyncio.create_task(harness.send(headers=KEY))
        await asyncio.sleep(0.1)
        await harness.configure(2, RULE, tenants=[OTHER_TENANT])
        assert (await sent).status == 401
        assert server.requests == []
