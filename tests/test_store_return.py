"""Tests of entry VMs whose store comes back from an older copy of itself.

Revisions go back and are given out again, so two objects, or two copies of the store,
with the same revision are not the same. Operators and backend servers write again what
they wrote last.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest

from daisylift.decisions.store_return import HeldNames, is_superseded
from daisylift_node.platform import PlatformDocuments, StoreClient
from daisylift_node.process.entry_application import rewrite_seconds
from daisylift_node.version.documents import DocumentError, StoreError
from tests.entry_harness import (
    EntryHarness,
    make_desired_state,
    make_registration,
    make_rule,
)
from tests.fakes.platform import PAGE_ITEMS, FakePlatform
from tests.fakes.scripted_server import Script, ScriptedServer, http_response

APPLY_SECONDS = 1.5  # below the bound within which a confirmed change is in force
NO_SERVER = 503
SERVED = 200
HEARTBEAT_MS = 300.0  # short, so that tests see the end of the time to write again
REWRITE_SECONDS = rewrite_seconds(HEARTBEAT_MS / 1000.0)
RESPONSE = http_response(b'whole', 'r-1', extra=('Server-Load: 1,0,4',))
MEMBERS = 'daisylift-members'
MAX_CALLS_PER_SECOND = (
    12  # of one VM, just after a return: four kinds, three calls each
)


@pytest.fixture
async def store() -> AsyncIterator[FakePlatform]:
    store = FakePlatform()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def vms(store: FakePlatform) -> AsyncIterator[list[EntryHarness]]:
    async with AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(
                EntryHarness(
                    store=store,
                    name=f'entry-{number}',
                    owns_store=False,
                    heartbeat_ms=HEARTBEAT_MS,
                )
            )
            for number in (1, 2)
        ]


def write_state(store: FakePlatform, version: int, *prefixes: str) -> None:
    rules = [make_rule(prefix, 'catalogue') for prefix in prefixes]
    store.write('config', 'main', make_desired_state(version, *rules))


async def statuses(vms: list[EntryHarness], path: str) -> list[int]:
    return [(await vm.send(path=path)).status for vm in vms]


async def test_change_confirmed_after_a_return_takes_effect(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    write_state(store, 1, '/x/')
    copied = store.revision
    for version in (2, 3, 4):
        write_state(store, version, '/x/')
    await asyncio.sleep(0.3)
    store.restore(copied)
    write_state(store, 5, '/x/', '/y/')
    await asyncio.sleep(APPLY_SECONDS)
    assert await statuses(vms, '/y/1') == [NO_SERVER] * len(vms)


async def test_change_with_a_revision_given_out_again_takes_effect(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    write_state(store, 1, '/x/')
    copied = store.revision
    write_state(store, 2, '/x/')
    await asyncio.sleep(0.5)
    store.restore(copied)
    write_state(store, 3, '/x/', '/y/')
    await asyncio.sleep(APPLY_SECONDS)
    assert await statuses(vms, '/y/1') == [NO_SERVER] * len(vms)


async def test_change_missed_while_revisions_overtook_the_copy_takes_effect(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    """A watch from before the return is valid again, and skips what came before."""
    write_state(store, 1, '/x/')
    copied = store.revision
    write_state(store, 2, '/x/')
    await asyncio.sleep(0.5)
    store.faults.down = True
    await asyncio.sleep(0.3)
    store.restore(copied)
    write_state(store, 3, '/x/', '/y/')
    for number in range(10):
        store.write('servers', f'i-{number}', {})
    store.faults.down = False
    await asyncio.sleep(APPLY_SECONDS)
    assert await statuses(vms, '/y/1') == [NO_SERVER] * len(vms)


async def test_store_is_not_called_in_a_loop_after_a_return(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    write_state(store, 1, '/x/')
    copied = store.revision
    for version in (2, 3, 4):
        write_state(store, version, '/x/')
    await asyncio.sleep(0.3)
    store.calls.clear()
    store.restore(copied)
    await asyncio.sleep(1.0)
    assert store.calls.total() <= MAX_CALLS_PER_SECOND * len(vms)


async def test_copy_of_a_vm_that_is_cut_off_does_not_hide_a_change(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    """Its revision, from before the return, is above those of the store."""
    write_state(store, 1, '/x/')
    copied = store.revision
    for version in (2, 3, 4):
        write_state(store, version, '/x/')
    await asyncio.sleep(0.5)
    assert vms[0].application is not None
    await vms[0].application._tasks.stop()
    store.restore(copied)
    write_state(store, 5, '/x/', '/y/')
    await asyncio.sleep(APPLY_SECONDS)
    assert await statuses(vms, '/y/1') == [NO_SERVER] * len(vms)


async def test_two_vms_that_are_cut_off_do_not_keep_each_other_from_a_change(
    store: FakePlatform,
) -> None:
    """Each hears from the other, too, that nothing has changed."""
    async with AsyncExitStack() as stack:
        vms = [
            await stack.enter_async_context(
                EntryHarness(store=store, name=f'entry-{number}', owns_store=False)
            )
            for number in (1, 2, 3, 4)
        ]
        write_state(store, 1, '/x/', '/gone/')
        copied = store.revision
        for version in (2, 3, 4):
            write_state(store, version, '/x/')
        await asyncio.sleep(0.7)
        for vm in vms[:2]:
            assert vm.application is not None
            await vm.application._tasks.stop()
        store.restore(copied)
        write_state(store, 5, '/x/', '/y/')
        await asyncio.sleep(APPLY_SECONDS)
        assert await statuses(vms, '/y/1') == [NO_SERVER] * len(vms)


async def test_changes_take_effect_after_each_of_several_returns(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    rng = random.Random(29)
    version = 1
    write_state(store, version, '/x/')
    for _ in range(4):
        copied = store.revision
        for _ in range(rng.randint(1, 4)):
            version += 1
            write_state(store, version, '/x/')
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        store.restore(copied)
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        version += 1
        write_state(store, version, '/x/', f'/y{version}/')
    await asyncio.sleep(APPLY_SECONDS)
    assert await statuses(vms, f'/y{version}/1') == [NO_SERVER] * len(vms)


async def test_desired_state_does_not_go_back_with_the_store(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    write_state(store, 1, '/x/')
    copied = store.revision
    write_state(store, 2, '/x/', '/y/')
    await asyncio.sleep(0.5)
    store.restore(copied)
    await asyncio.sleep(0.5)
    assert await statuses(vms, '/y/1') == [NO_SERVER] * len(vms)
    write_state(store, 2, '/x/', '/y/')
    await asyncio.sleep(0.5)
    assert await statuses(vms, '/y/1') == [NO_SERVER] * len(vms)


async def test_server_that_left_is_not_used_again_after_a_return(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    """The copy has its registration from before it left."""
    async with ScriptedServer([Script(RESPONSE)] * 4) as server:
        write_state(store, 1, '/x/')
        store.write('servers', 'i-1', make_registration(server, sequence=1))
        copied = store.revision
        leaving = make_registration(server, sequence=2, state='draining')
        store.write('servers', 'i-1', leaving)
        await asyncio.sleep(0.5)
        store.restore(copied)
        await asyncio.sleep(0.5)
        assert await statuses(vms, '/x/1') == [NO_SERVER] * len(vms)
        store.write('servers', 'i-1', leaving | {'sequence': 3})
        await asyncio.sleep(REWRITE_SECONDS + 0.5)
        assert await statuses(vms, '/x/1') == [NO_SERVER] * len(vms)


async def test_server_that_was_removed_is_used_again_only_if_it_stays_registered(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    """A removed server that is gone leaves the store again without a heartbeat."""
    async with ScriptedServer([Script(RESPONSE)] * 4) as server:
        write_state(store, 1, '/x/')
        store.write('servers', 'i-1', make_registration(server, sequence=4))
        copied = store.revision
        await asyncio.sleep(0.5)
        store.remove('servers', 'i-1')
        await asyncio.sleep(2.3)
        store.restore(copied)
        await asyncio.sleep(0.5)
        assert await statuses(vms, '/x/1') == [NO_SERVER] * len(vms)
        await asyncio.sleep(REWRITE_SECONDS + 0.5)
        assert await statuses(vms, '/x/1') == [SERVED] * len(vms)


async def test_server_that_registered_after_the_copy_stays_in_use(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    async with ScriptedServer([Script(RESPONSE)] * 6) as server:
        write_state(store, 1, '/x/')
        copied = store.revision
        registration = make_registration(server, sequence=1)
        store.write('servers', 'i-1', registration)
        await asyncio.sleep(0.5)
        store.restore(copied)
        await asyncio.sleep(0.5)
        assert await statuses(vms, '/x/1') == [SERVED] * len(vms)
        store.write('servers', 'i-1', registration | {'sequence': 2})
        await asyncio.sleep(REWRITE_SECONDS + 1.0)
        assert await statuses(vms, '/x/1') == [SERVED] * len(vms)


async def test_shared_bounds_do_not_grow_while_vms_register_again(
    store: FakePlatform,
) -> None:
    """Bounds of the fleet are divided by the VMs that are registered."""
    counts = set()
    async with EntryHarness(store=store, owns_store=False) as first:
        await asyncio.sleep(0.3)
        copied = store.revision
        others = [
            EntryHarness(store=store, name=f'entry-{number}', owns_store=False)
            for number in (2, 3)
        ]
        async with others[0], others[1]:
            await asyncio.sleep(0.7)
            assert first.application is not None
            view = first.application.view
            assert view.node_count == 3
            store.restore(copied)
            for _ in range(40):
                await asyncio.sleep(0.05)
                counts.add(view.node_count)
            stored = {name for kind, name in store.objects if kind == MEMBERS}
    assert counts == {3}
    assert stored == {'entry-1', 'entry-2', 'entry-3'}


async def test_vm_that_left_the_store_with_the_return_is_dropped_in_the_end(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    assert vms[0].application is not None
    view = vms[0].application.view
    await asyncio.sleep(0.3)
    copied = store.revision
    store.write(MEMBERS, 'entry-9', store.objects[MEMBERS, 'entry-1']['specification'])
    await asyncio.sleep(0.5)
    assert view.node_count == 3
    store.restore(copied)
    await asyncio.sleep(0.5)
    assert view.node_count == 3
    await asyncio.sleep(REWRITE_SECONDS + 0.5)
    assert view.node_count == 2


async def test_vm_is_kept_for_the_whole_time_after_the_last_of_two_returns(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    assert vms[0].application is not None
    view = vms[0].application.view
    await asyncio.sleep(0.3)
    copied = store.revision
    store.write(MEMBERS, 'entry-9', store.objects[MEMBERS, 'entry-1']['specification'])
    await asyncio.sleep(0.5)
    for _ in range(2):
        store.restore(copied)
        await asyncio.sleep(0.7 * REWRITE_SECONDS)
    assert view.node_count == 3
    await asyncio.sleep(REWRITE_SECONDS + 1.0)
    assert view.node_count == 2


async def test_evacuation_stays_in_force_until_it_is_written_again(
    store: FakePlatform, vms: list[EntryHarness]
) -> None:
    async with ScriptedServer([Script(RESPONSE)] * 4) as server:
        write_state(store, 1, '/x/')
        store.write('servers', 'i-1', make_registration(server))
        copied = store.revision
        store.write('evacuations', 'arusha-a', {})
        await asyncio.sleep(0.5)
        store.restore(copied)
        await asyncio.sleep(0.5)
        assert await statuses(vms, '/x/1') == [NO_SERVER] * len(vms)
        store.write('evacuations', 'arusha-a', {})
        await asyncio.sleep(REWRITE_SECONDS + 0.5)
        assert await statuses(vms, '/x/1') == [NO_SERVER] * len(vms)
        store.remove('evacuations', 'arusha-a')
        await asyncio.sleep(0.5)
        assert await statuses(vms, '/x/1') == [SERVED] * len(vms)


async def test_lost_member_is_not_removed_by_a_revision_of_another_era(
    store: FakePlatform, vms: list[EntryHarness], monkeypatch: pytest.MonkeyPatch
) -> None:
    application = vms[0].application
    assert application is not None
    await asyncio.sleep(0.3)
    monkeypatch.setattr(
        application.peers, 'lost_members_to_remove', lambda: ['entry-2']
    )
    application.store.era += 1  # named by a response; the copy is of the era before
    await application._remove_lost()
    assert (MEMBERS, 'entry-2') in store.objects


async def test_pages_of_two_eras_are_not_joined(store: FakePlatform) -> None:
    for number in range(PAGE_ITEMS + 1):
        store.write('servers', f'i-{number:04}', {})
    client = StoreClient(f'http://127.0.0.1:{store.port}')
    await client.start()
    client_call = client._call
    calls = 0

    async def call(*arguments, **keywords):  # type: ignore[no-untyped-def]
        nonlocal calls
        calls += 1
        if calls == 2:
            store.restore(store.revision)
        return await client_call(*arguments, **keywords)

    client._call = call  # type: ignore[method-assign]
    with pytest.raises(StoreError, match='came back'):
        await client.list('servers')
    await client.stop()


def test_names_are_held_for_the_time_that_writers_have() -> None:
    held = HeldNames(6.0)
    held.hold('a', 10.0)
    held.hold('b', 12.0)
    held.release('b')
    assert 'a' in held
    assert 'b' not in held
    assert held.take_expired(15.9) == []
    assert held.take_expired(16.0) == ['a']
    assert list(held) == []


def test_registrations_are_ordered_by_the_counters_of_their_server() -> None:
    body = {
        'service': 'catalogue',
        'address': '127.0.0.1:80',
        'zone': 'arusha-a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'born': 100,
        'sequence': 7,
    }
    known = PlatformDocuments().server('i-1', body)
    assert is_superseded(known, known)
    assert is_superseded(replace(known, sequence=6), known)
    assert not is_superseded(replace(known, sequence=8), known)
    assert not is_superseded(replace(known, sequence=1, started_at_ms=101), known)
    assert is_superseded(replace(known, sequence=9, started_at_ms=99), known)
    for sequence in ('x', None, 1.5):
        with pytest.raises(DocumentError):
            PlatformDocuments().server('i-1', body | {'sequence': sequence})
