"""A store that is silent for a moment swallows the watches that begin in it.

VMs waited for their answers for longer than changes may be late.
"""

import asyncio
from types import SimpleNamespace

from daisylift.decisions.watch_margin import MAX_SECONDS, MIN_SECONDS, WatchMargin
from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.utils import wait_until

SILENT_SECONDS = 0.4  # longer than the pause of a watch after a change
STABILITY_SECONDS = 3.0  # after which a VM is bound again
EVACUATION_SECONDS = 5.0


async def test_watches_swallowed_by_a_silent_store_do_not_outlast_the_stability() -> (
    None
):
    server = SimpleNamespace(port=9)
    async with EntryHarness() as entry:
        assert entry.application is not None
        view = entry.application.view
        store = entry.store
        await entry.configure(1, make_rule('/x/', 'catalogue'))
        await asyncio.sleep(SILENT_SECONDS)
        store.faults.silent = True
        await entry.configure(2, make_rule('/x/', 'catalogue'))
        store.write('servers', 'i-1', make_registration(server))
        store.write('evacuations', 'dar-a', {})
        await asyncio.sleep(SILENT_SECONDS)
        assert view.routes is not None
        assert view.routes.state.version == 2
        store.faults.silent = False
        await entry.configure(3, make_rule('/y/', 'catalogue'))
        store.write('servers', 'i-2', make_registration(server))
        store.write('evacuations', 'dar-b', {})
        await asyncio.sleep(STABILITY_SECONDS - 0.15)
        assert view.routes.state.version == 3
        assert set(view.servers.documents_by_name) == {'i-1', 'i-2'}
        assert view.evacuated_domains == {'dar-a', 'dar-b'}


async def test_a_watch_of_evacuations_that_is_swallowed_alone_does_not_delay_them() -> (
    None
):
    async with EntryHarness() as entry:
        assert entry.application is not None
        view = entry.application.view
        await entry.configure(1, make_rule('/x/', 'catalogue'))
        await asyncio.sleep(0.5)
        entry.store.write('evacuations', 'dar-a', {})
        await wait_until(lambda: view.evacuated_domains)
        store_calls = entry.store.calls
        before = store_calls['GET objects']
        entry.store.faults.silent = True
        await wait_until(lambda: store_calls['GET objects'] > before)
        entry.store.faults.silent = False
        entry.store.write('evacuations', 'dar-b', {})
        await asyncio.sleep(EVACUATION_SECONDS)
        assert view.evacuated_domains == {'dar-a', 'dar-b'}


def test_the_margin_of_watches_follows_the_delays_of_a_slow_store() -> None:
    margin = WatchMargin()
    margin.record_timeout()
    assert margin.seconds == MAX_SECONDS
    margin.record_answer(0.3)
    assert margin.seconds == 0.6
    margin.record_answer(0.01)
    assert margin.seconds == MIN_SECONDS
