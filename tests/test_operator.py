"""Tests that the operators' port refuses calls without the right key."""

import pytest
from grpclib.server import Server

from daisylift.schema import operator_pb2 as pb
from daisylift_admin.client import NodeAddress, OperatorClient
from daisylift_admin.errors import AdminError
from daisylift_node.process.operator import OperatorService
from tests.fakes.fleet import free_ports

KEY = 'the-key-of-the-operators'
PARTS = ('follower', 'members', 'writer', 'permits', 'shifts', 'blocks')


@pytest.fixture
async def address():
    service = OperatorService(vm='vm-0', key=KEY, **dict.fromkeys(PARTS))
    server = Server([service])
    (port,) = free_ports(1)
    await server.start('127.0.0.1', port)
    yield NodeAddress('127.0.0.1', port)
    server.close()
    await server.wait_closed()


@pytest.mark.parametrize('key', ['x', 'wrong', KEY + 'x', KEY[:-1]])
async def test_wrong_key_is_refused_before_anything_is_read(address, key):
    async with OperatorClient(address, key) as client:
        for call in (client.get_status, client.get_policy):
            with pytest.raises(AdminError, match='key is missing or wrong'):
                await call()
        with pytest.raises(AdminError, match='key is missing or wrong'):
            await client.put_policy(pb.PutPolicyRequest())
