"""Tests of the platform client against the fake platform."""

import pytest
from aiohttp import web
from returns.result import Failure, Success

from daisylift_node.config import PlatformSettings
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import (
    Conflict,
    Missing,
    PlatformClient,
    Unavailable,
    Uncertain,
)
from tests.fakes.fleet import free_ports
from tests.fakes.platform import FakePlatform


@pytest.fixture
async def fake():
    return FakePlatform()


@pytest.fixture
async def client(fake):
    (port,) = free_ports(1)
    runner = web.AppRunner(fake.application(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    settings = PlatformSettings(url=f'http://127.0.0.1:{port}', timeout_seconds=5.0)
    client = PlatformClient(settings, Metrics())
    await client.start()
    yield client
    await client.stop()
    await runner.cleanup()


async def test_create_then_update_by_version(client):
    created = (await client.create('things', 'a', {'n': 1})).unwrap()
    updated = (await client.update('things', 'a', {'n': 2}, created.version)).unwrap()
    assert updated.version > created.version
    assert (await client.get('things', 'a')).unwrap().value == {'n': 2}


async def test_second_create_conflicts_with_the_first(client):
    await client.create('things', 'a', 'first')
    match await client.create('things', 'a', 'second'):
        case Failure(Conflict(current=current)):
            assert current.value == 'first'
        case other:
            pytest.fail(f'no conflict: {other}')


async def test_stale_update_changes_nothing(client):
    created = (await client.create('things', 'a', 1)).unwrap()
    await client.update('things', 'a', 2, created.version)
    stale = await client.update('things', 'a', 3, created.version)
    assert isinstance(stale.failure(), Conflict)
    assert (await client.get('things', 'a')).unwrap().value == 2


async def test_lost_response_is_uncertain_and_took_effect(client, fake):
    fake.faults.lose_answers = 1
    lost = await client.create('things', 'a', 1)
    assert isinstance(lost.failure(), Uncertain)
    assert isinstance(await client.get('things', 'a'), Success)


async def test_outage_is_unavailable(client, fake):
    fake.faults.down = True
    assert isinstance((await client.get('things', 'a')).failure(), Unavailable)


async def test_over_rate_is_unavailable(client, fake):
    fake.limits.writes_per_second = 1
    await client.create('things', 'a', 1)
    over = await client.create('things', 'b', 1)
    assert isinstance(over.failure(), Unavailable)


async def test_missing_object_and_delete(client):
    assert isinstance((await client.get('things', 'a')).failure(), Missing)
    created = (await client.create('things', 'a', 1)).unwrap()
    assert isinstance(await client.delete('things', 'a', created.version), Success)
    assert isinstance((await client.get('things', 'a')).failure(), Missing)


async def test_oversized_value_is_refused_before_sending(client, fake):
    before = dict(fake.calls)
    result = await client.create('things', 'a', 'x' * (1024 * 1024))
    assert isinstance(result.failure(), Unavailable)
    assert dict(fake.calls) == before


async def test_watch_returns_changes_after_a_revision(client):
    first = (await client.create('things', 'a', 1)).unwrap()
    await client.create('things', 'b', 2)
    batch = (await client.watch('things', first.version, 5.0)).unwrap()
    assert [event.object.name for event in batch.events] == ['b']


async def test_list_pages_by_name(client):
    for name in ('a', 'b', 'c'):
        await client.create('things', name, name)
    page = (await client.list('things', after='a', limit=1)).unwrap()
    assert [found.name for found in page.objects] == ['b']


# An entry of another form raised KeyError or TypeError instead.
@pytest.mark.parametrize(
    'vms',
    [
        7,
        None,
        [7],
        [{}],
        [{'id': 'a', 'failure_domain': 'b'}],
        [{'id': 7, 'failure_domain': 'b', 'state': 'running'}],
    ],
)
async def test_an_odd_vm_list_is_a_failure(fake, client, vms):
    fake.vms = vms
    assert isinstance((await client.list_vms()).failure(), Uncertain)
