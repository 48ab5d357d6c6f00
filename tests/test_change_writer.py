"""Tests of submitting changes: conflicts, refusals and repeated operation ids."""

import pytest
from aiohttp.test_utils import TestServer

from daisylift.decisions.configuration import ChangeProblem
from daisylift.models import Change, Policy, PutPolicy, SetServerDrain
from daisylift_node.config import PlatformSettings
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import PlatformClient
from daisylift_node.version.change_writer import (
    Accepted,
    ChangeWriter,
    Conflicted,
    NotConfirmed,
    Refused,
)
from daisylift_node.version.configuration import ConfigurationFollower
from tests.fakes.platform import FakePlatform
from tests.utils import policy_document


class Node:
    """The parts of a node that process changes."""

    def __init__(self, url: str) -> None:
        metrics = Metrics()
        settings = PlatformSettings(url=url, timeout_seconds=1.0)
        self.platform = PlatformClient(settings, metrics)
        self.follower = ConfigurationFollower(self.platform, metrics)
        self.writer = ChangeWriter(self.follower, metrics)


@pytest.fixture
async def platform():
    return FakePlatform()


@pytest.fixture
async def nodes(platform):
    server = TestServer(platform.application())
    await server.start_server()
    made = [Node(str(server.make_url('/'))) for _ in range(2)]
    for node in made:
        await node.platform.start()
    yield made
    for node in made:
        await node.platform.stop()
    await server.close()


def put_policy(base: int, operation_id: str, **fields) -> Change:
    policy = Policy.model_validate({**policy_document(), **fields})
    body = PutPolicy(policy=policy)
    return Change(version=base + 1, operation_id=operation_id, body=body)


def drain(base: int, operation_id: str, server: str = 'till-0', draining=True):
    body = SetServerDrain(service='till', server=server, draining=draining)
    return Change(version=base + 1, operation_id=operation_id, body=body)


async def test_one_of_two_concurrent_changes_is_accepted(nodes):
    one, other = nodes
    assert await one.writer.submit(put_policy(0, 'a')) == Accepted(1)
    assert await other.writer.submit(put_policy(0, 'b')) == Conflicted(1)
    assert other.follower.current.version == 1


async def test_repeat_gets_the_first_outcome_also_after_other_changes(nodes):
    one, other = nodes
    await one.writer.submit(put_policy(0, 'a'))
    await one.writer.submit(drain(1, 'b'))
    await one.writer.submit(drain(2, 'c', draining=False))
    assert await other.writer.submit(drain(1, 'b')) == Accepted(2)
    assert await one.writer.submit(drain(1, 'b')) == Accepted(2)
    assert other.follower.current.version == 3


async def test_change_is_read_back_after_a_lost_response(nodes, platform):
    one, _ = nodes
    platform.faults.lose_answers = 1
    assert await one.writer.submit(put_policy(0, 'a')) == Accepted(1)


async def test_repeat_to_another_node_after_a_lost_response(nodes, platform):
    one, other = nodes
    await one.writer.submit(put_policy(0, 'a'))
    original_get = one.platform.get

    async def unavailable_get(kind, name):
        platform.faults.down = True
        try:
            return await original_get(kind, name)
        finally:
            platform.faults.down = False

    one.platform.get = unavailable_get
    platform.faults.lose_answers = 1
    first = await one.writer.submit(drain(1, 'b'))
    assert isinstance(first, NotConfirmed)
    assert first.may_have_happened
    await other.writer.submit(drain(2, 'c', server='till-1'))
    assert await other.writer.submit(drain(1, 'b')) == Accepted(2)


async def test_operation_id_of_another_change_is_refused(nodes):
    one, other = nodes
    await one.writer.submit(put_policy(0, 'a'))
    outcome = await other.writer.submit(drain(1, 'a'))
    assert isinstance(outcome, Refused)
    assert outcome.problem is ChangeProblem.OPERATION_REUSED


@pytest.mark.parametrize(
    ('change', 'problem'),
    [
        (drain(1, 'b', server='nobody'), ChangeProblem.UNKNOWN_NAME),
        (
            put_policy(1, 'b', services=[{'name': 'till', 'servers': []}]),
            ChangeProblem.UNSERVABLE,
        ),
        (put_policy(1, 'b', roster=[]), ChangeProblem.UNSERVABLE),
    ],
)
async def test_invalid_change_changes_nothing(nodes, platform, change, problem):
    one, _ = nodes
    await one.writer.submit(put_policy(0, 'a'))
    revision = platform.revision
    outcome = await one.writer.submit(change)
    assert isinstance(outcome, Refused)
    assert outcome.problem is problem
    assert platform.revision == revision
    assert one.follower.current.version == 1


async def test_policy_that_moves_traffic_at_once_is_over_cap(nodes):
    one, _ = nodes
    await one.writer.submit(put_policy(0, 'a'))
    document = policy_document()['services'][0]
    document['servers'] = document['servers'][1:]
    outcome = await one.writer.submit(put_policy(1, 'b', services=[document]))
    assert isinstance(outcome, Refused)
    assert outcome.problem is ChangeProblem.OVER_CAP


async def test_policy_over_a_megabyte_is_refused_with_its_size(nodes, platform):
    one, _ = nodes
    document = policy_document()['services'][0]
    document['servers'] = [
        {**document['servers'][0], 'name': f'till-{number}', 'port': 1 + number}
        for number in range(9000)
    ]
    outcome = await one.writer.submit(put_policy(0, 'a', services=[document]))
    assert isinstance(outcome, Refused)
    assert outcome.problem is ChangeProblem.TOO_MANY
    assert not platform.events


async def test_store_down_changes_nothing_but_repeats_are_answered(nodes, platform):
    one, _ = nodes
    await one.writer.submit(put_policy(0, 'a'))
    platform.faults.down = True
    assert await one.writer.submit(put_policy(0, 'a')) == Accepted(1)
    outcome = await one.writer.submit(drain(1, 'b'))
    assert outcome == NotConfirmed('the change log can not be read', False)
