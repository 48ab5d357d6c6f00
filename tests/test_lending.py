"""Tests of lending and confirmed versions between nodes, over real datagrams."""

import asyncio
import contextlib

from daisylift.decisions.configuration import ServerKey
from daisylift.models import Claim
from daisylift_node.connection.peers import PeerLink
from daisylift_node.process.confirmation_exchange import ConfirmationExchange
from daisylift_node.process.lending import Lending
from daisylift_node.process.members import Member
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.permits import PermitPool
from tests.shares_harness_policy import DOMAINS, make_configurations, make_policy
from tests.test_peers import running_link, wait_until

ALL_SLOTS = 48


class FakeMembers:
    """Members by ordinal, all known from the start."""

    def __init__(self) -> None:
        self.by_ordinal: dict[int, Member] = {}


class Node:
    """The parts of one node that handle slot shares."""

    def __init__(self, ordinal: int, link: PeerLink, members: FakeMembers) -> None:
        self.time = 100.0 * ordinal
        self.waiting = 0
        self.ordinal = ordinal
        self.permits = PermitPool(link.incarnation, now=lambda: self.time)
        metrics = Metrics()
        link.ordinal = ordinal
        self.lending = Lending(
            permits=self.permits,
            peers=link,
            members=members,
            waiting=lambda _: self.waiting,
            failure_domain=DOMAINS[ordinal],
            metrics=metrics,
        )
        self.confirmation_exchange = ConfirmationExchange(
            self.permits, link, members, metrics
        )

    def follow(self, configuration) -> None:
        self.permits.set_configuration(configuration)
        self.lending.set_configuration(configuration)

    def held(self) -> int:
        return self.permits.ledger.usage('till', self.time)[1]

    def use_all(self) -> list:
        servers = [ServerKey('till', f'till-{n}') for n in range(12)]
        return [
            permit
            for server in servers
            for _ in range(self.permits.free_slots(server))
            if (permit := self.permits.take(server))
        ]


def make_claim(ordinal, link, address):
    return Claim(
        ordinal=ordinal,
        vm=link.vm,
        incarnation=link.incarnation,
        failure_domain=DOMAINS[ordinal],
        caller_host='127.0.0.1',
        caller_port=1,
        peer_host=address[0],
        peer_port=address[1],
    )


@contextlib.asynccontextmanager
async def running_nodes(count, configuration):
    members = FakeMembers()
    nodes = []
    async with contextlib.AsyncExitStack() as stack:
        for ordinal in range(count):
            link, address = await stack.enter_async_context(
                running_link(f'vm-{ordinal}')
            )
            claim = make_claim(ordinal, link, address)
            members.by_ordinal[ordinal] = Member(claim)
            node = Node(ordinal, link, members)
            node.follow(configuration)
            node.permits.take_ordinal(claim, {})
            nodes.append(node)
        yield nodes


async def test_a_busy_node_borrows_from_an_idle_one_and_returns_slots():
    (configuration,) = make_configurations(make_policy(2))
    async with running_nodes(2, configuration) as (busy, idle):
        permits = busy.use_all()
        busy.waiting = 10
        for _ in range(24):
            idle.time += 0.25
            await idle.lending.tick()
            busy.time += 0.25
            await busy.lending.tick()
            await asyncio.sleep(0.001)
        borrowed = busy.held() - ALL_SLOTS // 2
        assert borrowed > 0
        assert idle.held() == ALL_SLOTS // 2 - borrowed
        for permit in permits:
            busy.permits.release(permit)
        busy.waiting = 0
        for _ in range(40):
            busy.time += 0.25
            await busy.lending.tick()
        await wait_until(lambda: idle.held() == ALL_SLOTS // 2)
        assert busy.held() == ALL_SLOTS // 2


async def test_a_slot_that_moves_is_used_after_the_loser_confirmed():
    first, second = make_configurations(make_policy(2), make_policy(3))
    async with running_nodes(3, first) as nodes:
        running = nodes[0].use_all()
        for node in nodes:
            node.follow(second)
            await node.confirmation_exchange.tick()
        await nodes[2].confirmation_exchange.tick()
        assert 0 in nodes[2].permits.ledger.awaited()
        before = nodes[2].held()
        for permit in running:
            nodes[0].permits.release(permit)
        for _ in range(2):
            await nodes[2].confirmation_exchange.tick()
        assert nodes[2].permits.ledger.awaited() == set()
        assert nodes[2].held() > before
        assert sum(node.held() for node in nodes) == ALL_SLOTS
        assert nodes[2].permits.confirmed(0) == 2
