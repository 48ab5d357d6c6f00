"""Tests of replicas of the store.

They follow the store, never go back to an older revision, and renew their watches after
a fault.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

import pytest

from daisylift.decisions import copy_age
from daisylift.decisions.cold_start import ColdStartLimiter, ColdStartLimits
from daisylift.decisions.limit_shares import LimitShares
from daisylift.decisions.ranking import Location
from daisylift_node.platform import PlatformDocuments
from daisylift_node.process.entry_application import watch_seconds
from daisylift_node.version import replica as replica_module
from daisylift_node.version.documents import (
    DocumentChange,
    DocumentChanges,
    DocumentListing,
    HistoryGoneError,
    Position,
    StoredDocument,
    StoreError,
)
from daisylift_node.version.fleet_view import FleetView
from daisylift_node.version.replica import Replica


def make_document(name: str, revision: int, body: Any = None) -> StoredDocument:
    return StoredDocument(name, revision, body)


class MemoryStore:
    """A store of one kind with faults.

    Watches can silently stop delivering (``drops_changes``), fail, or find no history.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era = 0
        self.documents: dict[str, StoredDocument] = {}
        self.changes: list[tuple[int, DocumentChange]] = []
        self.history_from = 0
        self.failure: StoreError | None = None
        self.drops_changes = False
        self.lists = 0
        self.waits: list[float] = []
        self._changed = asyncio.Event()

    def on_return(self, callback: Callable[[], None]) -> None:
        """Do nothing: this store never comes back from a copy."""

    def write(self, name: str, body: Any = None) -> None:
        """Write an object."""
        self.revision += 1
        self.documents[name] = make_document(name, self.revision, body)
        self._record(DocumentChange(self.documents[name], deleted=False))

    def remove(self, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        document = self.documents.pop(name)
        self._record(DocumentChange(document, deleted=True))

    def discard_history(self) -> None:
        """Let watches from earlier revisions fail with HistoryGoneError."""
        self.history_from = self.revision

    async def list(self, kind: str) -> DocumentListing:
        self.lists += 1
        if self.failure is not None:
            raise self.failure
        return DocumentListing(self.revision, tuple(self.documents.values()))

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> DocumentChanges:
        self.waits.append(wait_seconds)
        if self.failure is not None:
            raise self.failure
        if revision < self.history_from:
            raise HistoryGoneError('gone')
        deadline = asyncio.get_running_loop().time() + wait_seconds
        while True:
            changes = [change for at, change in self.changes if at > revision]
            if changes and not self.drops_changes:
                return DocumentChanges(self.revision, tuple(changes))
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                return DocumentChanges(revision, ())
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    async def put(self, kind: str, name: str, body: Mapping[str, Any]) -> None:
        self.write(name, body)

    async def delete(self, kind: str, name: str, revision: int) -> None:
        self.remove(name)

    def _record(self, change: DocumentChange) -> None:
        self.changes.append((self.revision, change))
        self._changed.set()


class Followed:
    """A replica that follows a memory store while a test runs."""

    def __init__(self, store: MemoryStore) -> None:
        self.changed_names: list[str] = []
        self.interrupted: list[str] = []
        self.replica = Replica(
            'servers',
            store,
            self.changed_names.extend,
            on_interruption=self.interrupted.append,
        )

    async def __aenter__(self) -> 'Followed':
        self._task = asyncio.create_task(self.replica.follow())
        await asyncio.sleep(0.02)
        return self

    async def __aexit__(self, *exception: object) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> MemoryStore:
    monkeypatch.setattr(replica_module, 'BATCH_DELAY_SECONDS', 0.0)
    monkeypatch.setattr(replica_module, 'INITIAL_PAUSE_SECONDS', 0.01)
    monkeypatch.setattr(replica_module, 'REFRESH_PAUSE_SECONDS', 0.0)
    monkeypatch.setattr(replica_module, 'PROBE_WATCH_SECONDS', 0.05)
    return MemoryStore()


async def test_changes_and_deletions_are_followed(store: MemoryStore) -> None:
    store.write('i-1')
    async with Followed(store) as followed:
        store.write('i-2')
        store.write('i-1', 'changed')
        await asyncio.sleep(0.02)
        store.remove('i-2')
        await asyncio.sleep(0.02)
        assert set(followed.replica.documents_by_name) == {'i-1'}
        assert followed.replica.documents_by_name['i-1'].body == 'changed'
        assert followed.changed_names.count('i-2') == 2


async def test_object_that_changed_twice_in_a_batch_is_reported_once(
    store: MemoryStore,
) -> None:
    """Else a desired state seems to be followed by one that is not newer."""
    async with Followed(store) as followed:
        await asyncio.sleep(0.02)
        store.write('main', 'version 1')
        store.write('main', 'version 2')
        await asyncio.sleep(0.02)
        assert followed.changed_names == ['main']


async def test_lost_history_leads_to_a_new_listing_and_is_reported(
    store: MemoryStore,
) -> None:
    store.write('i-1')
    async with Followed(store) as followed:
        store.drops_changes = True
        store.remove('i-1')
        store.write('i-2')
        store.discard_history()
        await asyncio.sleep(0.02)
        store.drops_changes = False
        followed.replica.refresh()
        await asyncio.sleep(0.03)
        assert set(followed.replica.documents_by_name) == {'i-2'}
        assert 'servers' in followed.interrupted


async def test_refresh_replaces_a_watch_that_stopped_delivering(
    store: MemoryStore,
) -> None:
    async with Followed(store) as followed:
        store.drops_changes = True
        store.write('i-1')
        await asyncio.sleep(0.02)
        assert not followed.replica.documents_by_name
        store.drops_changes = False
        followed.replica.refresh()
        await asyncio.sleep(0.02)
        assert set(followed.replica.documents_by_name) == {'i-1'}


async def test_replica_survives_an_outage_and_catches_up(store: MemoryStore) -> None:
    store.write('i-1')
    async with Followed(store) as followed:
        store.failure = StoreError('down')
        followed.replica.refresh()
        await asyncio.sleep(0.03)
        assert set(followed.replica.documents_by_name) == {'i-1'}
        assert not followed.replica.is_connected
        store.failure = None
        store.write('i-2')
        await asyncio.sleep(0.1)
        assert set(followed.replica.documents_by_name) == {'i-1', 'i-2'}
        assert followed.replica.is_connected


async def test_listing_of_a_peer_is_applied_only_if_not_older(
    store: MemoryStore,
) -> None:
    store.write('i-1')
    async with Followed(store) as followed:
        replica = followed.replica
        revision = replica.revision
        assert not replica.apply_listing(DocumentListing(revision - 1, ()), 'peer')
        newer = DocumentListing(revision + 5, (make_document('i-9', revision + 5),))
        assert replica.apply_listing(newer, 'peer')
        assert set(replica.documents_by_name) == {'i-9'}
        assert followed.changed_names[-2:] != []


async def test_unreachable_store_is_probed_with_short_watches(
    store: MemoryStore,
) -> None:
    """A call lost during an outage must time out soon after the outage ends."""
    async with Followed(store) as followed:
        await asyncio.sleep(0.05)
        store.failure = StoreError('no answer')
        followed.replica.refresh()
        await asyncio.sleep(0.05)
        store.waits.clear()
        store.failure = None
        await asyncio.sleep(0.1)
        assert store.waits[0] == replica_module.PROBE_WATCH_SECONDS
        assert followed.interrupted


def test_watch_ends_within_the_stability_window() -> None:
    """A watch can miss changes, without an error, while the store drops its history.

    A VM counts as connected 3 s after that and must have all changes by then.
    """
    assert watch_seconds(3.0) < 3.0
    assert watch_seconds(4.0) < 4.0
    assert replica_module.DEFAULT_WATCH_SECONDS < 3.0


async def test_peers_get_changes_only_if_all_are_kept(store: MemoryStore) -> None:
    store.write('i-1')
    async with Followed(store) as followed:
        replica = followed.replica
        since = replica.position
        store.write('i-2')
        store.remove('i-1')
        await asyncio.sleep(0.02)
        changes = replica.changes_since(since)
        assert changes is not None
        assert [(c.document.name, c.deleted) for c in changes.changes] == [
            ('i-2', False),
            ('i-1', True),
        ]
        assert replica.changes_since(Position(0, since.revision - 1)) is None


async def test_changes_of_a_peer_are_applied_only_at_their_revision(
    store: MemoryStore,
) -> None:
    store.write('i-1')
    async with Followed(store) as followed:
        replica = followed.replica
        revision = replica.revision
        change = DocumentChange(make_document('i-2', revision + 3), deleted=False)
        assert not replica.apply_changes(
            DocumentChanges(revision + 3, (change,)), Position(0, revision - 1)
        )
        assert replica.apply_changes(
            DocumentChanges(revision + 3, (change,)), replica.position
        )
        assert replica.revision == revision + 3
        assert set(replica.documents_by_name) == {'i-1', 'i-2'}


async def test_vm_that_does_not_watch_calls_the_store_rarely(
    store: MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(replica_module, 'STANDBY_PAUSE_SECONDS', 10.0)
    monkeypatch.setattr(replica_module, 'ROLE_POLL_SECONDS', 0.02)
    watches = False
    replica = Replica(
        'servers', store, lambda names: None, 0.01, watches_store=lambda: watches
    )
    task = asyncio.create_task(replica.follow())
    await asyncio.sleep(0.15)
    assert len(store.waits) == 1
    watches = True
    await asyncio.sleep(0.15)
    assert len(store.waits) > 3
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_vm_that_does_not_watch_does_not_probe_a_failing_store(
    store: MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise hundreds of VMs would keep sending calls that the store rejects."""
    monkeypatch.setattr(replica_module, 'ROLE_POLL_SECONDS', 0.02)
    replica = Replica(
        'servers', store, lambda names: None, 0.01, watches_store=lambda: watches
    )
    watches = True
    task = asyncio.create_task(replica.follow())
    await asyncio.sleep(0.05)
    store.failure = StoreError('status 429')
    replica.refresh()
    await asyncio.sleep(0.05)
    watches = False
    store.waits.clear()
    await asyncio.sleep(1.5)
    assert len(store.waits) <= 2
    store.failure = None
    watches = True
    await asyncio.sleep(0.1)
    assert replica.is_connected
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_dependent_kind_retries_at_once_when_another_kind_reconnects(
    store: MemoryStore,
) -> None:
    replica = Replica(
        'evacuations', store, lambda names: None, is_store_reachable=lambda: False
    )
    task = asyncio.create_task(replica.follow())
    await asyncio.sleep(0.05)
    store.failure = StoreError('down')
    replica.refresh()
    await asyncio.sleep(0.3)
    calls = len(store.waits)
    assert calls < 8
    store.failure = None
    store.write('dar-a')
    replica.retry()
    await asyncio.sleep(0.05)
    assert set(replica.documents_by_name) == {'dar-a'}
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class CountedStore(MemoryStore):
    """Counts the calls of each kind."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: Counter[str] = Counter()

    async def list(self, kind: str) -> DocumentListing:
        self.calls[kind] += 1
        return await super().list(kind)

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> DocumentChanges:
        self.calls[kind] += 1
        return await super().watch(kind, revision, wait_seconds)


def make_view(store: MemoryStore) -> FleetView:
    cold_start_limiter = ColdStartLimiter(ColdStartLimits(1.5, 5.0), 'entry-1')
    clock = asyncio.get_running_loop().time
    place = Location('arusha-a', 'arusha')
    return FleetView(
        place,
        {},
        PlatformDocuments(),
        store,
        cold_start_limiter,
        LimitShares('entry-1'),
        clock,
        watch_seconds(3),
    )


async def run_view(view: FleetView, seconds: float) -> None:
    replicas = view.replicas_by_kind.values()
    tasks = [asyncio.create_task(replica.follow()) for replica in replicas]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_kind_that_fails_alone_retries_soon(store: MemoryStore) -> None:
    """The probing kind never lost the store, so it does not trigger a retry."""
    replica = Replica(
        'servers', store, lambda names: None, is_store_reachable=lambda: True
    )
    task = asyncio.create_task(replica.follow())
    await asyncio.sleep(0.05)
    store.failure = StoreError('reset')
    replica.refresh()
    await asyncio.sleep(0.1)
    store.failure = None
    store.write('i-1')
    await asyncio.sleep(0.3)
    assert set(replica.documents_by_name) == {'i-1'}
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_vm_without_changes_calls_the_store_rarely() -> None:
    """Calls to the store cost money, so only two kinds have short watches.

    These two detect an unresponsive store for the other kinds as well. A watch of
    evacuations that is lost alone must still end before these have to be in force.
    """
    store = CountedStore()
    await run_view(make_view(store), 5.5)
    assert store.calls['config'] == store.calls['servers'] == 4
    assert store.calls['evacuations'] == 3
    assert store.calls['daisylift-members'] == 2


@pytest.mark.parametrize(('has_changes', 'bound_seconds'), [(True, 0.9), (False, 1.5)])
async def test_one_kind_probes_a_store_that_rejects_calls(
    has_changes: bool, bound_seconds: float
) -> None:
    """Guards against other kinds that probe as well, or wait for their own retry.

    The probing kind pauses for at most 0.8 s. A store without changes then holds its
    probe for 0.3 s, and the watches that the others start after it for 0.3 s more.
    """
    store = CountedStore()
    view = make_view(store)
    task = asyncio.create_task(run_view(view, 7.0))
    await asyncio.sleep(0.1)
    store.failure = StoreError('status 429')
    store.calls.clear()
    for replica in view.replicas_by_kind.values():
        replica.refresh()
    await asyncio.sleep(5.0)
    assert sum(store.calls.values()) <= 26
    store.failure = None
    if has_changes:
        store.write('a')
    await asyncio.sleep(bound_seconds)
    assert all(each.is_connected for each in view.replicas_by_kind.values())
    await task


async def test_store_that_never_has_the_history_is_not_called_in_a_loop(
    store: MemoryStore,
) -> None:
    """Each listing is followed by a watch that is refused."""
    store.write('i-1')
    store.history_from = store.revision + 1
    async with Followed(store):
        await asyncio.sleep(0.5)
        assert store.lists <= 12


async def test_copy_is_confirmed_by_peers_at_its_position_in_its_era_only(
    store: MemoryStore,
) -> None:
    """A peer that is ahead, or in another era, says nothing about this copy."""
    replica = Replica('servers', store, lambda names: None)
    replica.confirm(Position(0, 0), 0.0)
    assert replica.age_seconds() == math.inf
    replica.apply_listing(DocumentListing(7, (), era=2), 'peer')
    replica.confirm(Position(2, 8), 0.0)
    replica.confirm(Position(1, 7), 0.0)
    assert replica.age_seconds() == math.inf
    replica.confirm(Position(2, 6), 0.5)
    assert replica.age_seconds() == pytest.approx(0.5, abs=0.1)


async def test_vm_calls_the_store_when_no_peer_confirms_its_copy(
    store: MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The watching VMs may have died without a word, just before a change."""
    monkeypatch.setattr(copy_age, 'MAX_AGE_SECONDS', 0.2)
    monkeypatch.setattr(copy_age, 'SPREAD_SECONDS', 0.0)
    replica = Replica(
        'servers', store, lambda names: None, 0.01, watches_store=lambda: False
    )
    task = asyncio.create_task(replica.follow())
    for _ in range(30):
        await asyncio.sleep(0.02)
        replica.confirm(replica.position, 0.0)
    assert len(store.waits) == 1
    store.write('i-1')
    await asyncio.sleep(0.35)
    assert set(replica.documents_by_name) == {'i-1'}
    assert len(store.waits) <= 4
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_replica_confirms_nothing_after_its_watch_was_cancelled(
    store: MemoryStore,
) -> None:
    """After a freeze, the watch in progress may be one that nobody answers."""
    async with Followed(store) as followed:
        await asyncio.sleep(0.05)
        assert followed.replica.age_seconds() == 0.0
        store.failure = StoreError('no answer')
        followed.replica.refresh()
        await asyncio.sleep(0.1)
        assert followed.replica.age_seconds() >= 0.1


async def test_replica_confirms_nothing_while_its_watch_has_missed_a_change(
    store: MemoryStore,
) -> None:
    """Its connection may be dead without an error; a peer had the change before."""
    async with Followed(store) as followed:
        await asyncio.sleep(0.1)
        store.drops_changes = True
        replica = followed.replica
        change = DocumentChange(make_document('i-1', 2), deleted=False)
        assert replica.apply_changes(DocumentChanges(2, (change,)), replica.position)
        await asyncio.sleep(0.1)
        assert replica.age_seconds() >= 0.1
