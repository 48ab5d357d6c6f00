"""Tests of usage caps at entry VMs: the refusal, the repeat, and tokens from peers."""

import asyncio
import contextlib

import pytest

from daisylift.decisions.usage_grants import Question, Reply
from daisylift.models.desired_state import Tenant
from daisylift_node.connection.gossip_codec import GossipError
from daisylift_node.connection.usage_codec import (
    MAX_PER_DATAGRAM,
    decode,
    encode_questions,
    encode_replies,
    tenant_hash,
)
from daisylift_node.request.steered_call import SteeredCall
from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response

RESPONSE = http_response(b'whole', 'r-1', extra=('Server-Load: 1,0,4',))
SETTLE_SECONDS = 1.0


def test_datagrams_are_read_as_written() -> None:
    questions = [Question('entry-2', 't', number, 3) for number in range(32)]
    data = encode_questions(questions)
    assert len(data) < 500
    decoded, replies = decode(data)
    assert not replies
    assert [each.ask_id for each in decoded] == list(range(MAX_PER_DATAGRAM))
    assert decoded[0].tenant_hash == tenant_hash('t')
    reply = Reply(7, 2, 0.25)
    assert decode(encode_replies([reply])) == ([], [reply])


@pytest.mark.parametrize('data', [b'', b'@', b'@\x01\x05', b'@\x09\x00', b'@\x02\x01a'])
def test_malformed_datagrams_are_refused(data: bytes) -> None:
    with pytest.raises(GossipError):
        decode(data)


def cap(harness: EntryHarness, per_second: float, burst: float = 0.0) -> None:
    """Let all requests at the VM belong to one tenant with a cap."""
    assert harness.application is not None
    application = harness.application
    tenant = Tenant('t', requests_per_second=per_second, burst=burst)
    application.view.routes.state.tenants_by_name['t'] = tenant
    admit = application.usage.admit

    async def admit_as_tenant(call: SteeredCall) -> float | None:
        call.tenant = tenant
        return await admit(call)

    application.usage.admit = admit_as_tenant


async def send_many(harness: EntryHarness, count: int) -> list[int]:
    replies = await asyncio.gather(*(harness.send() for _ in range(count)))
    for reply in replies:
        if reply.status == 429:
            assert 0.0 < float(reply.headers['Retry-After']) <= 5.0
    return [reply.status for reply in replies]


async def test_requests_over_the_cap_get_429_and_refused_ones_cost_nothing() -> None:
    async with (
        ScriptedServer([Script(RESPONSE)] * 99) as server,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        cap(harness, 2.0)
        await asyncio.sleep(3.0 + SETTLE_SECONDS)
        assert {reply for reply in await send_many(harness, 40)} <= {503, 429}
        application = harness.application
        assert application is not None
        before = application.usage.log_fields(a_call_of('t'))['own_tokens']
        assert before >= 1.0, 'requests without a server give their tokens back'
        await harness.register(i_1=make_registration(server, slots=40))
        statuses = await send_many(harness, 40)
        assert statuses.count(200) <= 2.0 * 5 * 1.1 + 20
        assert statuses.count(429) >= 8


def a_call_of(tenant: str) -> SteeredCall:
    call = object.__new__(SteeredCall)
    call.tenant = Tenant(tenant)
    return call


async def test_demand_at_one_vm_uses_the_tokens_of_its_peers() -> None:
    """Three VMs; all requests go to one; then one of the others is gone."""
    async with contextlib.AsyncExitStack() as stack:
        server = await stack.enter_async_context(
            ScriptedServer([Script(RESPONSE)] * 999)
        )
        first = await stack.enter_async_context(EntryHarness(name='entry-1'))
        others = [
            await stack.enter_async_context(
                EntryHarness(store=first.store, name=name, owns_store=False)
            )
            for name in ('entry-2', 'entry-3')
        ]
        await first.configure(1, make_rule('/x/', 'catalogue'))
        await first.register(i_1=make_registration(server, slots=400))
        for harness in (first, *others):
            cap(harness, 30.0)
        await asyncio.sleep(3.0 + SETTLE_SECONDS)
        served = await self_paced(first, 5.0)
        assert 0.9 * 30.0 * 5.0 <= served <= 30.0 * 5.0 * 1.1 + 20
        assert others[1].application is not None
        await others[1].application.stop()
        served = await self_paced(first, 5.0)
        assert 0.5 * 30.0 * 5.0 <= served <= 30.0 * 5.0 * 1.1 + 20


async def self_paced(harness: EntryHarness, seconds: float) -> int:
    """Send 60 requests a second; return how many were served."""
    tasks = []
    ends_at = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < ends_at:
        tasks.append(asyncio.create_task(harness.send()))
        await asyncio.sleep(1 / 60)
    return [reply.status for reply in await asyncio.gather(*tasks)].count(200)


async def test_a_new_vm_owns_nothing_at_first_and_one_that_starts_again_does() -> None:
    """Before, a VM that had registered within its first half second owned its part."""
    async with EntryHarness(name='entry-1') as first:
        await first.configure(1, make_rule('/x/', 'catalogue'))
        for expected_zero in (True, False):
            vm = EntryHarness(store=first.store, name='entry-2', owns_store=False)
            async with vm:
                cap(vm, 30.0)
                await asyncio.sleep(SETTLE_SECONDS)
                await vm.send()
                assert vm.application is not None
                fields = vm.application.usage.log_fields(a_call_of('t'))
                assert (fields['own_per_second'] == 0.0) is expected_zero
