"""A local replica of the store's objects of one kind, kept up to date by watching.

While this VM cannot reach the store, the replica is updated from peers at a later
position. Positions are assigned by the store, so the replicas of different VMs can be
compared. A VM that does not watch the store calls it only when peers no longer confirm
that its copy is complete. The position of a replica never goes back; its revision does
when the store comes back from an older copy, which begins a new era.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress

from loguru import logger

from daisylift.decisions.copy_age import CopyAge
from daisylift_node.version.documents import (
    DocumentChange,
    DocumentChanges,
    DocumentListing,
    DocumentStore,
    HistoryGoneError,
    Position,
    StoredDocument,
    StoreError,
)

ROLE_POLL_SECONDS = 0.25  # longest delay until a VM takes over a lost VM's watch
MIN_POLL_SECONDS = 0.02
STANDBY_PAUSE_SECONDS = 3.0  # after a failed call of a VM that relies on its peers
STANDBY_DEPENDENT_PAUSE_SECONDS = 10.0  # the same, if another kind probes the store
MAX_RECENT_CHANGES = 1000  # kept to send peers changes instead of a full listing
REFRESH_PAUSE_SECONDS = 0.5  # between refreshes, so that kinds don't refresh in a loop
# A watch can stop delivering changes without an error; this bounds how long that lasts.
DEFAULT_WATCH_SECONDS = 2.4
MIN_WATCH_SECONDS = 0.5
# Length of a watch after a failure or a time without calls; short, so that the answer
# soon shows that the store serves this VM.
PROBE_WATCH_SECONDS = 0.3
INITIAL_PAUSE_SECONDS = 0.1  # after a failed call
MAX_PAUSE_SECONDS = 0.8  # between probes of an unreachable store
MIN_PAUSE_FRACTION = 0.6  # pauses are randomised from this fraction to full length
DEPENDENT_PAUSE_SECONDS = 2.0  # after a failed call, if another kind probes the store
# After a change, so that the next watch returns further changes in one response.
BATCH_DELAY_SECONDS = 0.2

Listener = Callable[[Iterable[str]], None]


class Replica:
    """The objects of one kind, by name.

    The listener is called with the names of the objects that changed or were deleted,
    and with none at the first listing of an era in which nothing did.
    If ``is_store_reachable`` is given, another kind probes the store while it is
    unreachable; the function returns whether the store responds to that kind.
    ``lead_seconds`` returns by how much the watches are shortened, because peers hear
    of changes from this VM.
    """

    def __init__(
        self,
        kind: str,
        store: DocumentStore,
        listener: Listener,
        watch_seconds: float = DEFAULT_WATCH_SECONDS,
        on_interruption: Callable[[str], None] = lambda kind: None,
        watches_store: Callable[[], bool] = lambda: True,
        is_store_reachable: Callable[[], bool] | None = None,
        on_reconnect: Callable[[str], None] = lambda kind: None,
        lead_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.kind = kind
        self.documents_by_name: dict[str, StoredDocument] = {}
        self.position = Position()
        self.last_change = Position()
        self.is_loaded = False
        self.is_connected = False
        self._store = store
        self._watch_seconds = watch_seconds
        self._listener = listener
        self._on_interruption = on_interruption
        self._watches_store = watches_store
        self._is_store_reachable = is_store_reachable
        self._on_reconnect = on_reconnect
        self._lead_seconds = lead_seconds
        self._age = CopyAge()
        self._is_following = False
        self._retry_now = asyncio.Event()
        self._recent_changes: deque[tuple[int, DocumentChange]] = deque(
            maxlen=MAX_RECENT_CHANGES
        )
        self._history_start = 0
        self._watch: asyncio.Task[DocumentChanges] | None = None
        self._refreshed_at = 0.0
        self._answered_at = 0.0
        self._was_lost = False

    @property
    def revision(self) -> int:
        """The revision of the store that the replica is at."""
        return self.position.revision

    def age_seconds(self) -> float:
        """Return how long ago this copy was known to be complete.

        While a watch waits at a store that has just answered, the copy is complete.
        """
        now = asyncio.get_running_loop().time()
        if self._watch is not None and self._is_following:
            self._age.confirm(0.0, now)
        return self._age.seconds(now)

    def confirm(self, position: Position, age_seconds: float) -> None:
        """Record that no change after the position existed ``age_seconds`` ago."""
        if self.is_loaded and (
            position.era == self.position.era and position <= self.position
        ):
            self._age.confirm(age_seconds, asyncio.get_running_loop().time())

    def refresh(self) -> None:
        """Cancel the watch in progress, so that a new one is started.

        Has no effect within 0.5 s of the previous refresh.

        A fault that breaks the watch of one kind may have stopped the watches of the
        other kinds without an error. When the store responds to one kind again, it
        responds to the others as well.
        """
        now = asyncio.get_running_loop().time()
        if self._watch is None or now - self._refreshed_at < REFRESH_PAUSE_SECONDS:
            return
        self._refreshed_at = now
        self._is_following = False
        self._watch.cancel()

    def retry(self) -> None:
        """Call the store now, because it responds to another kind again."""
        self._retry_now.set()
        self.refresh()

    def store_returned(self) -> None:
        """List all objects now, because the store is back from an older copy.

        A watch in progress is cancelled: it may wait at a revision of the era before.
        """
        self._retry_now.set()
        self._is_following = False
        if self._watch is not None:
            self._watch.cancel()

    def stood_still(self, suspended_seconds: float) -> None:
        """Confirm nothing until the store answers, because this VM has stood still.

        ``suspended_seconds`` are those that the event loop's time does not count.
        """
        self._is_following = False
        self._age.add(suspended_seconds)
        if self._watch is not None:
            self._watch.cancel()

    async def follow(self) -> None:
        """Keep the replica up to date until cancelled."""
        pause = INITIAL_PAUSE_SECONDS
        relist = True
        lost_history = False
        while True:
            try:
                if relist or self._store.era > self.position.era:
                    self.apply_listing(await self._store.list(self.kind), 'store')
                    self._record_answer()
                    relist = False
                await self._watch_once()
            except HistoryGoneError as error:
                logger.bind(
                    kind=self.kind,
                    at=self.revision,
                    reason=str(error),
                    seconds_since_answer=round(self._seconds_since_answer(), 1),
                ).warning(
                    'change history no longer available, listing all objects again'
                )
                relist = True
                self._on_interruption(self.kind)
                if lost_history:
                    await self._pause(pause * random.uniform(MIN_PAUSE_FRACTION, 1.0))
                    pause = min(2.0 * pause, MAX_PAUSE_SECONDS)
                lost_history = True
                continue
            except StoreError as error:
                self._record_connection(False, str(error))
                relist = relist or not self.is_loaded
                self._on_interruption(self.kind)
                if self.is_loaded and not self._watches_store():
                    await self._pause_standby()
                    await self._wait_while_others_watch()
                    continue
                await self._pause(pause * random.uniform(MIN_PAUSE_FRACTION, 1.0))
                pause = min(2.0 * pause, MAX_PAUSE_SECONDS)
                if (
                    self._is_store_reachable is not None
                    and not self._is_store_reachable()
                ):
                    pause = DEPENDENT_PAUSE_SECONDS
                continue
            pause = INITIAL_PAUSE_SECONDS
            lost_history = False
            await self._wait_while_others_watch()

    def apply_listing(self, listing: DocumentListing, source: str) -> bool:
        """Replace the objects with those of a listing.

        Return False, with nothing changed, if the listing is older than the replica.
        """
        if self.is_loaded and listing.position < self.position:
            logger.bind(
                kind=self.kind,
                at=self.revision,
                era=self.position.era,
                listed=listing.revision,
                listed_era=listing.era,
                source=source,
            ).warning('listing ignored: it is older than the local copy')
            return False
        is_change = _has_other_revision
        if listing.era != self.position.era:
            is_change = _has_other_body
        before = self.documents_by_name
        after = {document.name: document for document in listing.documents}
        names = [
            name
            for name in before.keys() | after.keys()
            if is_change(before.get(name), after.get(name))
        ]
        previous = self.position
        self.documents_by_name = after
        self.position = listing.position
        self._recent_changes.clear()
        self._history_start = listing.revision
        revisions = [each.revision for each in listing.documents]
        if previous.era == listing.era:
            revisions.append(self.last_change.revision)
        self.last_change = Position(listing.era, max(revisions, default=0))
        self.is_loaded = True
        logger.bind(
            kind=self.kind,
            at=self.revision,
            previous=previous.revision,
            era=listing.era,
            source=source,
            changes=len(names),
        ).info('objects listed')
        if names or previous.era != listing.era:
            self._listener(names)
        return True

    def listing(self) -> DocumentListing:
        """Return all objects, for peers."""
        return DocumentListing(
            self.revision, tuple(self.documents_by_name.values()), self.position.era
        )

    def changes_since(self, since: Position) -> DocumentChanges | None:
        """Return the changes after the position, or None if some are no longer kept."""
        if since.era != self.position.era:
            return None
        revision = since.revision
        oldest = self._recent_changes[0][0] if self._recent_changes else self.revision
        is_full = len(self._recent_changes) == MAX_RECENT_CHANGES
        if revision < self._history_start or (is_full and revision < oldest):
            return None
        changes = tuple(change for at, change in self._recent_changes if at > revision)
        return DocumentChanges(self.revision, changes, self.position.era)

    def apply_changes(self, batch: DocumentChanges, since: Position) -> bool:
        """Apply the changes after the position ``since``.

        Return False, with nothing changed, unless the replica is at that position and
        the changes are of the same era.
        """
        if (
            not self.is_loaded
            or self.position != since
            or batch.era != since.era
            or batch.position < self.position
        ):
            return False
        names: dict[str, None] = {}  # an object may have changed more than once
        for change in batch.changes:
            name = change.document.name
            names[name] = None
            self._recent_changes.append((batch.revision, change))
            if change.deleted:
                self.documents_by_name.pop(name, None)
            else:
                self.documents_by_name[name] = change.document
        self.position = batch.position
        if names and self._watch is not None:
            self._is_following = False  # the change is a peer's: the watch missed it
        if names:
            self.last_change = batch.position
            self._listener(names)
        return True

    async def _pause(self, seconds: float) -> None:
        """Wait before the next attempt; ``retry`` ends the wait early."""
        self._retry_now.clear()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._retry_now.wait(), seconds)

    async def _pause_standby(self) -> None:
        """Wait after a failed call that was made because peers confirm nothing.

        ``retry``, or the role of a VM that watches, ends the wait early.
        """
        seconds = STANDBY_PAUSE_SECONDS
        if self._is_store_reachable is not None and not self._is_store_reachable():
            seconds = STANDBY_DEPENDENT_PAUSE_SECONDS
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds * random.uniform(MIN_PAUSE_FRACTION, 1.0)
        self._retry_now.clear()
        while loop.time() < ends_at and not self._watches_store():
            await self._pause(min(ROLE_POLL_SECONDS, ends_at - loop.time()))
            if self._retry_now.is_set():
                return

    async def _wait_while_others_watch(self) -> None:
        """Wait while peers watch the store and confirm that this copy is complete."""
        self._age.draw_limit()
        loop = asyncio.get_running_loop()
        while not self._watches_store():
            self._is_following = False
            remaining_seconds = self._age.remaining_seconds(loop.time())
            if remaining_seconds == 0.0:
                logger.bind(
                    kind=self.kind, at=self.revision, age=round(self.age_seconds(), 2)
                ).info('no peer confirms the copy of the store: calling the store')
                return
            await asyncio.sleep(
                min(ROLE_POLL_SECONDS, max(MIN_POLL_SECONDS, remaining_seconds))
            )

    async def _watch_once(self) -> None:
        since = self.position
        seconds = self._next_watch_seconds()
        call = self._store.watch(self.kind, since.revision, seconds)
        self._watch = asyncio.ensure_future(call)
        try:
            batch = await self._watch
        except asyncio.CancelledError:
            if _is_cancelling():
                raise
            return
        finally:
            self._watch = None
        is_applied = self.apply_changes(batch, since)
        if is_applied or batch.position <= self.position:
            self._record_answer()
        if is_applied and batch.changes:
            await asyncio.sleep(BATCH_DELAY_SECONDS)

    def _next_watch_seconds(self) -> float:
        if not self._is_following:
            return PROBE_WATCH_SECONDS
        if lead_seconds := self._lead_seconds():
            return max(MIN_WATCH_SECONDS, self._watch_seconds - lead_seconds)
        return self._watch_seconds

    def _record_answer(self) -> None:
        """Record that the store has just answered and the copy is complete."""
        self._record_connection(True, '')
        self._is_following = True
        self._age.confirm(0.0, asyncio.get_running_loop().time())

    def _seconds_since_answer(self) -> float:
        return asyncio.get_running_loop().time() - self._answered_at

    def _record_connection(self, connected: bool, reason: str) -> None:
        if connected:
            self._answered_at = asyncio.get_running_loop().time()
        else:
            self._is_following = False
        if connected == self.is_connected:
            return
        self.is_connected = connected
        log = logger.bind(kind=self.kind, at=self.revision)
        if connected:
            log.info('store reachable')
            if self._was_lost:
                self._on_reconnect(self.kind)
        else:
            self._was_lost = True
            log.bind(reason=reason).warning('store unreachable')


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _has_other_revision(
    before: StoredDocument | None, after: StoredDocument | None
) -> bool:
    if before is None or after is None:
        return True
    return before.revision != after.revision


def _has_other_body(
    before: StoredDocument | None, after: StoredDocument | None
) -> bool:
    if before is None or after is None:
        return True
    return before.body != after.body
