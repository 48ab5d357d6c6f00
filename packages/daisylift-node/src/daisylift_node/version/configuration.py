"""Follows the configuration: versions only increase, and listeners get each of them."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from loguru import logger
from returns.result import Failure, Success

from daisylift.decisions.configuration import Configuration, apply_change
from daisylift.errors import PolicyError
from daisylift.models import Change
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import Conflict, HistoryGone, PlatformClient
from daisylift_node.version.change_log import KIND, ChangeLog

WATCH_SECONDS = 20.0
FOLLOWER_POLL_SECONDS = 1.0
FALLBACK_READ_SECONDS = 600.0
RETRY_SECONDS = 0.5
MAX_REWRITTEN_CHANGES = 256  # the store loses the changes of a few seconds at most

Listener = Callable[[Configuration], None]
ChangeListener = Callable[[Configuration, Change | None], None]


class ConfigurationFollower:
    """Holds the current configuration and keeps it up to date.

    Only some nodes, the watchers, watch the change log at the platform; ``is_watcher``
    returns whether this node is currently one of them.
    """

    def __init__(self, platform: PlatformClient, metrics: Metrics) -> None:
        self.current = Configuration()
        self.log = ChangeLog(platform)
        self._platform = platform
        self._metrics = metrics
        self._listeners: list[Listener] = []
        self._change_listeners: list[ChangeListener] = []
        self._task: asyncio.Task[None] | None = None
        self._read_at = float('-inf')
        self._era = 0
        self._must_read = False
        self._recent: deque[Change] = deque(maxlen=MAX_REWRITTEN_CHANGES)
        self.is_watcher: Callable[[], bool] = lambda: True

    def subscribe(self, listener: Listener) -> None:
        """Call the listener with each configuration that takes effect."""
        self._listeners.append(listener)

    def subscribe_changes(self, listener: ChangeListener) -> None:
        """Call the listener with each change and the configuration before it.

        The change is None if versions were skipped.
        """
        self._change_listeners.append(listener)

    async def start(self) -> None:
        """Read the change log once, then follow it in the background."""
        if await self.catch_up():
            self._era = self._platform.era
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def catch_up(self) -> bool:
        """Read and apply the changes after the current version.

        Return False if the change log could not be read.
        """
        result = await self.log.read_after(self.current.version)
        match result:
            case Success(changes):
                self.apply(changes)
                return True
            case Failure(failure):
                logger.warning(
                    'cannot read the change log, keeping the current configuration: {}',
                    failure,
                )
        return False

    def apply(self, changes: Iterable[Change]) -> None:
        """Apply the changes that are newer than the current version.

        Listeners are called for each version, because slot shares have to process
        every layout in order.
        """
        for change in changes:
            if change.version <= self.current.version:
                continue
            previous = self.current
            try:
                self.current = apply_change(previous, change)
            except PolicyError as error:
                logger.error(
                    'cannot apply change {}, keeping the version before it: {}',
                    change.version,
                    error,
                )
                break
            self._recent.append(change)
            for listener in self._change_listeners:
                _notify(listener, previous, change)
            self._announce()

    def _announce(self) -> None:
        self._metrics.configuration_version.set(self.current.version)
        logger.info('configuration version {} is in force', self.current.version)
        for listener in self._listeners:
            _notify(listener, self.current)

    async def _follow(self) -> None:
        revision = 0
        while True:
            try:
                revision = await self._follow_once(revision)
            except Exception:
                logger.exception(
                    'unexpected error while following the configuration; retrying'
                )
                await asyncio.sleep(RETRY_SECONDS)

    async def _follow_once(self, revision: int) -> int:
        """Wait for changes after the revision and return the revision reached."""
        if not self.is_watcher():
            await self._wait_as_follower()
            return revision
        if self._must_read or self._platform.era != self._era:
            if not await self._read_again():
                await asyncio.sleep(RETRY_SECONDS)
                return revision
            revision = self.log.revision
        batch = await self._platform.watch(KIND, revision, WATCH_SECONDS)
        match batch:
            case Success(found) if self._platform.era == self._era:
                if not found.events or await self.catch_up():
                    return found.revision
            case Failure(failure) if not isinstance(failure, HistoryGone):
                await asyncio.sleep(RETRY_SECONDS)
        self._must_read = True
        return revision

    async def _read_again(self) -> bool:
        """Read the log, which a watch does not replace after a failure.

        A list is answered at once, and its response names the store's era; a watch
        would wait at a revision that may be of the era before.
        """
        self._must_read = True
        if not await self.catch_up():
            return False
        era = self._platform.era
        if era != self._era and not await self._write_again():
            return False
        self._era, self._must_read = era, False
        return True

    async def _write_again(self) -> bool:
        """Append the recent changes that the store lost when it came back from a copy.

        Return False if the log could not be read or written.
        """
        recent = tuple(self._recent)
        if not recent:
            return await self.catch_up()
        result = await self.log.read_after(recent[0].version - 1)
        if isinstance(result, Failure):
            return False
        stored = {change.version for change in result.unwrap()}
        for change in recent:
            if change.version in stored:
                continue
            match await self.log.append(change):
                case Success():
                    logger.bind(version=change.version).warning(
                        'change written again: the store came back without it'
                    )
                case Failure(Conflict()):
                    logger.bind(version=change.version).error(
                        'change lost: the store came back without it and has another'
                    )
                case Failure():
                    return False
        return await self.catch_up()

    async def _wait_as_follower(self) -> None:
        """Wait for changes from peers.

        The change log is read only every 600 s, in case no peer sends a change.
        """
        now = asyncio.get_running_loop().time()
        if now - self._read_at >= FALLBACK_READ_SECONDS:
            self._read_at = now
            await self.catch_up()
        await asyncio.sleep(FOLLOWER_POLL_SECONDS)


def _notify(listener: Callable[..., None], *arguments: object) -> None:
    """Call a listener, logging an error so that the others are still called."""
    try:
        listener(*arguments)
    except Exception:
        logger.exception('a configuration listener failed; the others are still called')
