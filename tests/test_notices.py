"""Tests that all nodes act on what one node observes (issue 3)."""

import pytest

from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift_node.connection.peers import Received
from daisylift_node.process import notices as module
from daisylift_node.process.health import HealthRegistry
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.notices import REPEAT_COUNT, Notices
from daisylift_node.process.poison_requests import PoisonRequestRegister
from tests.fakes.relay import relay_policy

KEY = ServerKey('till', 'till-0')
DIGEST = b'd' * 16


class LossyPeers:
    """Delivers messages to the other nodes, except for the first ``lost`` ones."""

    def __init__(self, network, number):
        self.network = network
        self.number = number
        self.handlers = {}

    def subscribe(self, name, handler):
        self.handlers[name] = handler

    def send(self, address, body):
        if self.network.lost > 0:
            self.network.lost -= 1
            return
        name = {'BreakNotice': 'break_notice', 'DrainNotice': 'drain_notice'}
        handlers = self.network.nodes[address[1]].peers.handlers
        handler = handlers[name[type(body).__name__]]
        handler(Received(sender=None, body=body, request_id=0))


class Node:
    """The parts of one node that send or receive notices."""

    def __init__(self, network, number):
        self.peers = LossyPeers(network, number)
        self.metrics = Metrics()
        self.notices = Notices(self.peers, lambda: network.others(number), self.metrics)
        self.health = HealthRegistry(self.notices.announce_drain, lambda: network.now)
        self.poison_requests = PoisonRequestRegister(
            lambda: network.now, self.notices.announce_poison_request
        )
        self.notices.listen(self.poison_requests, self.health)
        policy = relay_policy([1, 2])
        self.health.set_configuration(Configuration(1, policy), network.now)


class Network:
    """Three nodes connected by datagrams."""

    def __init__(self):
        self.now = 10.0
        self.lost = 0
        self.nodes = [Node(self, number) for number in range(3)]

    def others(self, number):
        return [('127.0.0.1', other) for other in range(3) if other != number]


@pytest.fixture
def network():
    return Network()


def test_request_that_crashed_two_servers_is_blocked_on_all_nodes(network):
    network.nodes[0].poison_requests.record_crash(DIGEST)
    network.nodes[1].poison_requests.record_crash(DIGEST)
    assert all(node.poison_requests.is_blocked(DIGEST) for node in network.nodes)


async def test_lost_notice_is_delivered_by_its_repeats(network):
    network.lost = 4
    network.nodes[0].poison_requests.record_crash(DIGEST)
    network.nodes[0].poison_requests.record_crash(DIGEST)
    assert not network.nodes[2].poison_requests.is_blocked(DIGEST)
    await network.nodes[0].notices.repeat()
    assert network.nodes[2].poison_requests.is_blocked(DIGEST)


async def test_repeats_end(network):
    network.nodes[0].poison_requests.record_crash(DIGEST)
    for _ in range(REPEAT_COUNT):
        await network.nodes[0].notices.repeat()
    network.lost = 100
    await network.nodes[0].notices.repeat()
    assert network.lost == 100


def test_response_at_one_node_clears_the_request_on_all(network):
    network.nodes[0].poison_requests.record_crash(DIGEST)
    network.nodes[0].poison_requests.record_response(DIGEST)
    network.nodes[1].poison_requests.record_crash(DIGEST)
    assert not any(node.poison_requests.is_blocked(DIGEST) for node in network.nodes)


def test_drain_seen_by_one_node_stops_new_work_on_all(network):
    network.nodes[0].health.record_response(
        KEY, 200, {'Daisylift-Draining': 'true'}, 0.01, network.now
    )
    healths = [node.health.by_server[KEY] for node in network.nodes]
    assert all(health.unusable_until() > network.now for health in healths)
    network.nodes[1].health.record_drain(KEY, False)
    assert all(health.unusable_until() <= network.now for health in healths)


def test_server_whose_vm_is_listed_as_leaving_gets_no_new_work_anywhere(network):
    network.nodes[2].health.apply_vm_list({'till-0': 'leaving', 'till-1': 'running'})
    for node in network.nodes:
        assert node.health.by_server[KEY].unusable_until() > network.now
        other = node.health.by_server[ServerKey('till', 'till-1')]
        assert other.unusable_until() <= network.now


def test_received_drain_notice_is_not_announced_again(network):
    network.nodes[0].health.record_drain(KEY, True)
    sent = network.nodes[0].metrics.notices.labels(kind='drain', direction='out')
    echoed = network.nodes[1].metrics.notices.labels(kind='drain', direction='out')
    assert (sent._value.get(), echoed._value.get()) == (1, 0)


def test_notice_of_an_unknown_server_or_a_bad_digest_is_ignored(network):
    network.nodes[0].notices.announce_drain(ServerKey('nope', 'nope'), True)
    network.nodes[0].notices.announce_poison_request(b'short', 1)
    assert not network.nodes[1].poison_requests.is_blocked(b'short')


def test_pending_notices_are_bounded(network, monkeypatch):
    monkeypatch.setattr(module, 'MAX_PENDING', 5)
    for number in range(20):
        network.nodes[0].poison_requests.record_crash(number.to_bytes(16, 'big'))
    dropped = network.nodes[0].metrics.notices.labels(kind='break', direction='dropped')
    assert dropped._value.get() == 15
