"""Tests of load polling, drain detection and headroom figures."""

import json

import aiohttp
import pytest

from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.decisions.polling import POLLERS_PER_SERVER, pollers
from daisylift_node.process.load import LoadPoller
from tests.fakes.relay import relay_policy, running_relay
from tests.fakes.wire import respond_ok, stay_silent

KEYS = [ServerKey('till', f'till-{number}') for number in range(3)]


def reports(document, status='200 OK'):
    body = (document if isinstance(document, str) else json.dumps(document)).encode()

    async def script(request):
        if 'GET /load' not in request.line:
            return await respond_ok(request)
        head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
        return await request.respond(head.encode() + body)

    return script


def poller_of(node, servers):
    poller = LoadPoller(
        connections=node.connections,
        health=node.health,
        metrics=node.metrics,
        clock=node.clock,
    )
    policy = relay_policy([server.port for server in servers])
    poller.set_configuration(Configuration(version=1, policy=policy))
    poller.set_ordinal(0)
    return poller


@pytest.mark.parametrize('size', [1, 2, 7, 930])
def test_few_nodes_poll_each_server_and_the_work_is_spread(size):
    ordinals = list(range(0, size * 3, 3))
    count = {ordinal: 0 for ordinal in ordinals}
    for number in range(size * 20):
        chosen = pollers(ServerKey('till', f's{number}'), ordinals)
        assert len(set(chosen)) == min(POLLERS_PER_SERVER, size)
        for ordinal in chosen:
            count[ordinal] += 1
    assert max(count.values()) <= 3 * 20 * POLLERS_PER_SERVER


def test_nobody_polls_without_a_roster():
    assert pollers(KEYS[0], []) == ()


async def test_poll_records_reports_and_totals_them():
    scripts = [
        reports({'in_flight': 1, 'slots': 4, 'draining': False}),
        reports({'in_flight': 2, 'slots': 4, 'draining': False}),
    ]
    async with running_relay(*scripts) as (node, servers):
        poller = poller_of(node, servers)
        before = poller.headroom('till')['arusha']
        assert (before.reporting, before.age_seconds) == (0, float('inf'))
        await poller.poll()
        after = poller.headroom('till')['arusha']
        assert (after.servers, after.reporting) == (2, 2)
        assert (after.slots, after.in_flight) == (8, 3)
        assert after.free_share == 0.625
        assert after.age_seconds < 5.0


@pytest.mark.parametrize(
    'script',
    [
        reports('no json'),
        reports('[1, 2]'),
        reports({'in_flight': '1', 'slots': 4}),
        reports({'in_flight': -1, 'slots': 4}),
        reports({'in_flight': True, 'slots': 4}),
        reports('x' * 100_000),
        reports({'in_flight': 0, 'slots': 4}, status='500 No'),
        stay_silent,
    ],
)
async def test_bad_report_counts_as_none(script):
    async with running_relay(script) as (node, servers):
        last_report_at = node.health.by_server[KEYS[0]].last_report_at
        await poller_of(node, servers).poll()
        assert node.health.by_server[KEYS[0]].report is None
        assert node.health.by_server[KEYS[0]].last_report_at == last_report_at


async def test_drain_reported_by_a_poll_stops_new_work_and_is_announced():
    draining = {'in_flight': 0, 'slots': 4, 'draining': True}
    async with running_relay(reports(draining), respond_ok) as (node, servers):
        poller = poller_of(node, servers)
        await poller.poll()
        await poller.poll()
        assert node.drains == [(KEYS[0], True)]
        async with aiohttp.ClientSession() as session:
            for _ in range(6):
                await (await session.get(f'{node.url}/x')).read()
        lines = [request.line for request in servers[0].requests]
        assert set(lines) == {'GET /load HTTP/1.1'}


async def test_drain_reported_by_a_response_stops_new_work():
    async def drains(request):
        await request.respond(
            b'HTTP/1.1 200 OK\r\nDaisylift-Draining: true\r\nContent-Length: 0\r\n\r\n'
        )

    async with (
        running_relay(drains, respond_ok) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        for _ in range(12):
            await (await session.get(f'{node.url}/x')).read()
        assert len(servers[0].requests) <= 1
        assert len(servers[1].requests) >= 11
        assert node.drains in ([], [(KEYS[0], True)])


async def test_end_of_a_drain_reported_by_a_poll_starts_the_server_cold():
    well = {'in_flight': 0, 'slots': 4, 'draining': False}
    async with running_relay(reports(well)) as (node, servers):
        health = node.health.by_server[KEYS[0]]
        health.record_drain(node.clock())
        await poller_of(node, servers).poll()
        assert node.drains == [(KEYS[0], False)]
        assert health.drain_seen_at is None
        assert health.usable_slots(10, node.clock()) == 1
