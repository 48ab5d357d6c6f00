"""Tests of entry VMs whose store comes back from an older copy of itself.

Revisions go back and are given out again, so two objects, or two copies of the store,
with the same revision are not the same. Operators and backend servers write again what
they wrote last.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest

from tests.entry_harness import EntryHarness, make_desired_state, make_rule
from tests.fakes.platform import FakePlatform

APPLY_SECONDS = 1.5  # below the bound within which a confirmed change is in force
NOT_FOUND = 404
NO_SERVER = 503
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
                EntryHarness(store=store, name=f'entry-{number}', owns_store=False)
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
    for task in vms[0].application._tasks:
        task.cancel()
    store.restore(copied)
    write_state(store, 5, '/x/', '/y/')
    await asyncio.sleep(APPLY_SECONDS)
    assert await statuses(vms, '/y/1') == [NO_SERVER] * len(vms)
