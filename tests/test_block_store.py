"""Tests of loading client blocks and fetching their pages on other nodes."""

import asyncio
import ipaddress

import pytest
from aiohttp.test_utils import TestServer

from daisylift.decisions.configuration import ChangeProblem
from daisylift.models import Change, Policy, PutPolicy
from daisylift_node.config import PlatformSettings
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import PlatformClient
from daisylift_node.version.block_loader import BlockLoader
from daisylift_node.version.block_store import BlockStore
from daisylift_node.version.change_writer import (
    Accepted,
    ChangeWriter,
    NotConfirmed,
    Refused,
)
from daisylift_node.version.configuration import ConfigurationFollower
from tests.fakes.platform import FakePlatform
from tests.utils import policy_document

WAIT_SECONDS = 10.0


class Node:
    """A node that loads client blocks and follows the configuration."""

    def __init__(self, url: str) -> None:
        metrics = Metrics()
        self.platform = PlatformClient(PlatformSettings(url=url), metrics)
        self.follower = ConfigurationFollower(self.platform, metrics)
        self.tables: asyncio.Queue = asyncio.Queue()
        self.store = BlockStore(self.platform, self.tables.put_nowait)
        self.follower.subscribe(self.store.set_configuration)
        writer = ChangeWriter(self.follower, metrics)
        self.writer = writer
        self.loader = BlockLoader(self.store, writer)

    async def load(self, *blocks: tuple[str, str]):
        current = self.follower.current
        return await self.loader.load(
            current, blocks, current.version, f'op-{blocks}', '', replace_all=False
        )

    def home_of(self, address: str) -> str | None:
        block = self.store.table.find(ipaddress.ip_address(address))
        return self.follower.current.blocks.sites[block.home] if block else None


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
    policy = PutPolicy(policy=Policy.model_validate(policy_document()))
    await made[0].writer.submit(Change(version=1, operation_id='p', body=policy))
    yield made
    for node in made:
        await node.store.stop()
        await node.platform.stop()
    await server.close()


async def test_loaded_blocks_reach_another_node_as_pages(nodes, platform):
    one, other = nodes
    assert await one.load(('10.0.0.0/8', 'dar-1'), ('::-::9', 'arusha-1')) == Accepted(
        2
    )
    await asyncio.wait_for(one.tables.get(), WAIT_SECONDS)
    assert await one.load(('10.1.0.0/16', 'arusha-2')) == Accepted(3)
    await other.follower.catch_up()
    await asyncio.wait_for(other.tables.get(), WAIT_SECONDS)
    assert other.store.is_loaded
    assert other.home_of('10.0.0.1') == 'dar-1'
    assert other.home_of('10.1.0.1') == 'arusha-2'
    assert other.home_of('::1') == 'arusha-1'
    assert other.home_of('11.0.0.1') is None
    pages = [name for kind, name in platform.objects if kind == 'block-pages']
    assert len(pages) == 3


@pytest.mark.parametrize(
    ('block', 'problem'),
    [
        (('10.0.0.0/8', 'nowhere'), ChangeProblem.UNKNOWN_NAME),
        (('10.0.0.300/8', 'dar-1'), ChangeProblem.MALFORMED),
    ],
)
async def test_bad_blocks_are_refused(nodes, block, problem):
    outcome = await nodes[0].load(block)
    assert isinstance(outcome, Refused)
    assert outcome.problem is problem
    assert nodes[0].follower.current.version == 1


async def test_store_down_changes_nothing(nodes, platform):
    platform.faults.down = True
    outcome = await nodes[0].load(('10.0.0.0/8', 'dar-1'))
    assert outcome == NotConfirmed('a page of blocks was not stored', False)
