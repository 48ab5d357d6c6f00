"""Tests of the configuration follower (issue 4)."""

import pytest
from aiohttp import web
from returns.result import Failure

from daisylift.models import Change, Policy, PutPolicy
from daisylift_node.config import PlatformSettings
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import PlatformClient, Unavailable
from daisylift_node.version.configuration import ConfigurationFollower
from tests.fakes.fleet import free_ports
from tests.fakes.platform import FakePlatform
from tests.utils import policy_document, wait_until


def change(version: int) -> Change:
    body = PutPolicy(policy=Policy.model_validate(policy_document()))
    return Change(version=version, operation_id=f'op-{version}', body=body)


def make_follower(url: str = 'http://127.0.0.1:9') -> ConfigurationFollower:
    metrics = Metrics()
    client = PlatformClient(PlatformSettings(url=url), metrics)
    return ConfigurationFollower(client, metrics)


def fail(*_: object) -> None:
    raise ValueError('a part is broken')


def test_failing_subscriber_does_not_keep_versions_from_others():
    follower = make_follower()
    seen = []
    follower.subscribe(fail)
    follower.subscribe_changes(fail)
    follower.subscribe(lambda configuration: seen.append(configuration.version))
    follower.apply([change(1), change(2)])
    assert seen == [1, 2]


def test_versions_increase_one_by_one():
    follower = make_follower()
    follower.apply([change(1), change(3)])
    assert follower.current.version == 1
    follower.apply([change(2), change(1), change(3)])
    assert follower.current.version == 3
    follower.apply([change(2)])
    assert follower.current.version == 3


@pytest.fixture
async def following(monkeypatch):
    """Yield a platform and a follower of it that has not been started."""
    monkeypatch.setattr('daisylift_node.version.configuration.RETRY_SECONDS', 0.01)
    platform = FakePlatform()
    (port,) = free_ports(1)
    runner = web.AppRunner(platform.application(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    follower = make_follower(f'http://127.0.0.1:{port}')
    await follower._platform.start()
    yield platform, follower
    await follower.stop()
    await follower._platform.stop()
    await runner.cleanup()


async def test_follower_continues_after_a_malformed_response(following, monkeypatch):
    platform, follower = following
    watch = follower._platform.watch
    calls = []

    async def broken_once(*arguments):
        calls.append(arguments)
        if len(calls) == 1:
            raise KeyError('revision')
        return await watch(*arguments)

    monkeypatch.setattr(follower._platform, 'watch', broken_once)
    await follower.start()
    platform.write('changes', f'{1:012d}', change(1).model_dump(mode='json'))
    await wait_until(lambda: follower.current.version == 1)


async def test_change_is_read_again_when_the_first_read_failed(following, monkeypatch):
    platform, follower = following
    await follower.start()
    read_after = follower.log.read_after
    calls = []

    async def fails_once(version):
        calls.append(version)
        if len(calls) == 1:
            return Failure(Unavailable('down'))
        return await read_after(version)

    monkeypatch.setattr(follower.log, 'read_after', fails_once)
    platform.write('changes', f'{1:012d}', change(1).model_dump(mode='json'))
    await wait_until(lambda: follower.current.version == 1)
    assert calls == [0, 0]
