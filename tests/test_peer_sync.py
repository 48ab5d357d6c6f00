"""Tests of configuration sync between peers while the store is unreachable."""

import asyncio

import pytest

from daisylift.models import Change, Policy, PutPolicy, SetServerDrain
from daisylift.schema import peer_pb2
from daisylift_node.config import KeyedListenSettings, PlatformSettings
from daisylift_node.connection.peers import PeerLink, new_incarnation
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import PlatformClient
from daisylift_node.version.configuration import ConfigurationFollower
from daisylift_node.version.peer_sync import ChangeHistory, PeerSync
from tests.fakes.fleet import free_ports
from tests.utils import policy_document

KEY = 'a-key-that-is-long-enough'
DEAD_PLATFORM = 'http://127.0.0.1:9'
WAIT_SECONDS = 10.0


class Node:
    """A node without a store."""

    def __init__(self, number: int, port: int) -> None:
        metrics = Metrics()
        settings = KeyedListenSettings(host='127.0.0.1', port=port, key=KEY)
        platform = PlatformClient(PlatformSettings(url=DEAD_PLATFORM), metrics)
        self.follower = ConfigurationFollower(platform, metrics)
        vm = f'vm-{number}'
        self.link = PeerLink(settings, vm, new_incarnation(), metrics)
        self.link.ordinal = number
        self.addresses = {}
        self.address = ('127.0.0.1', port)
        self.sync = PeerSync(
            settings, self.link, self.follower, lambda: self.addresses, metrics
        )


@pytest.fixture
async def nodes():
    ports = free_ports(3)
    made = [Node(number, port) for number, port in enumerate(ports)]
    for node in made:
        await node.link.start()
        await node.sync.start()
    yield made
    for node in made:
        await node.sync.stop()
        await node.link.stop()


def changes(count: int) -> list[Change]:
    policy = Policy.model_validate(policy_document())
    bodies = [PutPolicy(policy=policy)]
    bodies += [
        SetServerDrain(service='till', server='till-0', draining=number % 2 == 0)
        for number in range(count - 1)
    ]
    return [
        Change(version=number, operation_id=f'op-{number}', body=body)
        for number, body in enumerate(bodies, start=1)
    ]


async def wait_for_version(node: Node, version: int) -> None:
    reached = asyncio.Event()

    def check(_: object = None) -> None:
        if node.follower.current.version >= version:
            reached.set()

    node.follower.subscribe(check)
    check()
    await asyncio.wait_for(reached.wait(), WAIT_SECONDS)


async def test_node_that_is_behind_pulls_from_a_peer_while_the_store_is_down(nodes):
    ahead, behind, _ = nodes
    ahead.follower.apply(changes(20))
    ahead.link.send(behind.address, peer_pb2.Probe())
    await wait_for_version(behind, 20)
    assert behind.follower.current == ahead.follower.current


async def test_small_change_is_sent_with_the_announcement(nodes):
    one, two, three = nodes
    for node in nodes:
        node.follower.apply(changes(1))
    one.addresses = {1: two.address}
    two.addresses = {2: three.address}
    one.follower.apply(changes(2))
    await wait_for_version(three, 2)
    assert three.follower.current == one.follower.current


async def test_older_version_of_a_peer_never_replaces_a_newer_one(nodes):
    ahead, behind, _ = nodes
    ahead.follower.apply(changes(5))
    behind.follower.apply(changes(3))
    before = ahead.follower.current
    behind.link.send(ahead.address, peer_pb2.Probe())
    ahead.follower.apply(changes(3))
    assert ahead.follower.current is before


def test_history_returns_all_missing_changes_or_none():
    history = ChangeHistory(KEY)
    for change in changes(9)[4:]:
        history.add(change)
    assert len(history.after(6)) == 3
    assert len(history.after(4)) == 5
    assert history.after(3) == []
    assert history.after(9) == []
