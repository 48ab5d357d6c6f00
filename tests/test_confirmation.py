"""Tests of confirming a version across the whole fleet, over real datagrams."""

import asyncio

import pytest

from daisylift.decisions.membership import MemberState
from daisylift.models import Claim
from daisylift_node.config import KeyedListenSettings
from daisylift_node.connection.peers import PeerLink, new_incarnation
from daisylift_node.process.members import Member
from daisylift_node.process.metrics import Metrics
from daisylift_node.version.confirmation import FleetConfirmation
from tests.fakes.fleet import free_ports

KEY = 'a-key-that-is-long-enough'
ROUNDS = 6
MAX_ROUNDS = 400
ROUND_SECONDS = 0.05


class FakeMembers:
    def __init__(self, own: Claim) -> None:
        self.own = own
        self.by_ordinal: dict[int, Member] = {}


class Node:
    """A node with a peer socket and a version that it has applied."""

    def __init__(self, ordinal: int, port: int) -> None:
        settings = KeyedListenSettings(host='127.0.0.1', port=port, key=KEY)
        incarnation = new_incarnation()
        self.link = PeerLink(settings, f'vm-{ordinal}', incarnation, Metrics())
        self.link.ordinal = ordinal
        self.applied_version = 0
        claim = Claim(
            ordinal=ordinal,
            vm=f'vm-{ordinal}',
            incarnation=incarnation,
            failure_domain='arusha-1',
            caller_host='127.0.0.1',
            caller_port=port,
            peer_host='127.0.0.1',
            peer_port=port,
        )
        self.members = FakeMembers(claim)
        self.confirmation = FleetConfirmation(
            self.members, self.link, lambda: self.applied_version
        )


@pytest.fixture
async def nodes():
    made = [Node(number, port) for number, port in enumerate(free_ports(11))]
    for node in made:
        node.members.by_ordinal = {
            other.members.own.ordinal: Member(other.members.own) for other in made
        }
        await node.link.start()
        await node.confirmation.start()
    yield made
    for node in made:
        await node.link.stop()


async def report(nodes: list[Node], expected: int | None = None) -> None:
    """Let nodes report for some rounds, or until all know the expected version."""
    for _ in range(ROUNDS if expected is None else MAX_ROUNDS):
        if expected is not None and fleet_versions(nodes) == {expected}:
            return
        for node in nodes:
            await node.confirmation.tick()
        await asyncio.sleep(ROUND_SECONDS)


def fleet_versions(nodes: list[Node]) -> set[int]:
    return {node.confirmation.fleet_version for node in nodes}


async def test_version_is_confirmed_once_the_last_node_has_applied_it(nodes):
    for node in nodes:
        node.applied_version = 7
    nodes[10].applied_version = 6
    await report(nodes, expected=6)
    assert fleet_versions(nodes) == {6}
    nodes[10].applied_version = 7
    await report(nodes, expected=7)
    assert fleet_versions(nodes) == {7}


async def test_silent_node_blocks_confirmation_until_it_is_gone(nodes):
    for node in nodes:
        node.applied_version = 7
    silent, responding = nodes[4], [node for node in nodes if node is not nodes[4]]
    await report(responding)
    assert fleet_versions(responding) == {0}
    for node in responding:
        claim = silent.members.own
        node.members.by_ordinal[4] = Member(claim, state=MemberState.GONE)
    await report(responding, expected=7)
    assert fleet_versions(responding) == {7}


async def test_nothing_is_sent_once_the_version_is_confirmed(nodes):
    for node in nodes:
        node.applied_version = 7
    await report(nodes, expected=7)
    sent = []
    for node in nodes:
        node.link.send = lambda *message: sent.append(message)
    await report(nodes)
    assert sent == []
