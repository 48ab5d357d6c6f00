"""Tests of complete nodes whose platform comes back from an older copy of its store.

What the nodes wrote since is gone: changes that operators were told are in force,
claims of ordinals, and records of requests with a key.
"""

import asyncio

import pytest_asyncio

from daisylift_node.process.ordinals import CLAIM_KIND
from daisylift_node.version.change_log import KIND as CHANGE_KIND
from tests.fakes.local import LocalFleet, wait_until
from tests.utils import policy_document

DOMAINS = ['arusha-1', 'arusha-2']
PAY = '/v1/services/till/pay'


@pytest_asyncio.fixture
async def fleet():
    async with LocalFleet(policy_document(), DOMAINS) as fleet:
        yield fleet


def stored_names(fleet, kind):
    return {stored['metadata']['name'] for stored in fleet.stored(kind)}


async def break_watches(fleet):
    """Let the waiting calls of the nodes end, as when the store is away."""
    fleet.platform.faults.reset = True
    fleet.platform.changed.set()
    await asyncio.sleep(0.1)
    fleet.platform.faults.reset = False


def first_server(fleet):
    service = next(each for each in fleet.policy['services'] if each['name'] == 'till')
    return service['servers'][0]['name']


async def test_confirmed_change_is_written_again_after_a_return(fleet):
    copied = fleet.platform.revision
    outcome = await fleet.set_server_drain('till', first_server(fleet), True)
    assert outcome == 'accepted'
    names = stored_names(fleet, CHANGE_KIND)
    fleet.platform.restore(copied)
    assert stored_names(fleet, CHANGE_KIND) < names
    await break_watches(fleet)
    await wait_until(lambda: stored_names(fleet, CHANGE_KIND) == names)


async def test_changes_are_followed_after_a_return(fleet):
    copied = fleet.platform.revision
    await fleet.set_server_drain('till', first_server(fleet), True)
    fleet.platform.restore(copied)
    await break_watches(fleet)
    assert await fleet.set_server_drain('till', first_server(fleet), False) == (
        'accepted'
    )


async def test_claims_of_ordinals_are_written_again_after_a_return(fleet):
    claims = {each['metadata']['name']: each for each in fleet.stored(CLAIM_KIND)}
    assert len(claims) == len(DOMAINS)
    first_claim = min(each['metadata']['revision'] for each in claims.values())
    fleet.platform.restore(first_claim - 1)
    assert not fleet.stored(CLAIM_KIND)
    await break_watches(fleet)
    await wait_until(lambda: stored_names(fleet, CLAIM_KIND) == set(claims))
    for stored in fleet.stored(CLAIM_KIND):
        before = claims[stored['metadata']['name']]
        assert stored['specification'] == before['specification']


async def test_ordinal_that_another_vm_took_after_a_return_is_given_up(fleet):
    (stored,) = [
        each for each in fleet.stored(CLAIM_KIND) if each['metadata']['name'] == '0'
    ]
    (holder,) = [node for node in fleet.nodes if node.ordinals.own.ordinal == 0]
    taken = stored['specification'] | {'vm': 'vm-9', 'epoch': 98}
    fleet.platform.restore(fleet.platform.revision)
    fleet.platform.write(CLAIM_KIND, '0', taken)
    await break_watches(fleet)
    await wait_until(
        lambda: holder.ordinals.own is None or holder.ordinals.own.ordinal != 0
    )


async def test_payment_with_a_key_does_not_run_again_after_a_return(fleet):
    copied = fleet.platform.revision
    headers = {'Idempotency-Key': 'order-1001'}
    first = await fleet.send(0, PAY, headers=headers)
    assert first.status == 200
    fleet.platform.restore(copied)
    await break_watches(fleet)
    await fleet.send(1, PAY, headers=headers)
    assert fleet.executions().total() == 1
