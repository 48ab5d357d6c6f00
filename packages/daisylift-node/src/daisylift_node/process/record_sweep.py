"""Deletes expired idempotency records with a bounded number of calls."""

from collections.abc import Callable

from loguru import logger
from returns.result import Failure, Success

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.record_expiry import (
    RevisionAges,
    is_expired,
    max_deletes,
    sweep_period_seconds,
    sweep_share,
)
from daisylift_node.process.idempotency import RECORD_KIND, written_at
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import PlatformClient, StoredObject

TICK_SECONDS = 10.0
PAGE_SIZE = 200

Clock = Callable[[], float]


class RecordSweeper:
    """Scans this node's share of the record names, one page at a time."""

    def __init__(
        self,
        platform: PlatformClient,
        metrics: Metrics,
        clock: Clock,
        wall_clock: Clock,
    ) -> None:
        self._platform = platform
        self._metrics = metrics
        self._clock = clock
        self._wall_clock = wall_clock
        self._ages = RevisionAges()
        self._ordinals: tuple[int, ...] = ()
        self._ordinal: int | None = None
        self._after = ''
        self._next_at = 0.0

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the roster, whose ordinals share the record names among them."""
        roster = configuration.policy.roster
        self._ordinals = tuple(sorted(entry.ordinal for entry in roster))

    def set_ordinal(self, ordinal: int) -> None:
        """Apply the ordinal, which determines this node's share."""
        self._ordinal = ordinal

    async def tick(self) -> None:
        """Sweep a page if one is due."""
        now = self._clock()
        if now < self._next_at or self._ordinal not in self._ordinals:
            return
        self._next_at = now + sweep_period_seconds(len(self._ordinals))
        await self.sweep()

    async def sweep(self) -> None:
        """Read the next page of the share and delete its expired records.

        Records beyond the number of deletes allowed per sweep are left for the next.
        """
        position = self._ordinals.index(self._ordinal)
        share = sweep_share(position, len(self._ordinals))
        after = max(self._after, share.start)
        listing = await self._platform.list(RECORD_KIND, after=after, limit=PAGE_SIZE)
        if isinstance(listing, Failure):
            return
        page = listing.unwrap()
        self._ages.record(page.revision, self._clock(), page.era)
        in_share = [record for record in page.objects if record.name <= share.end]
        expired = [record for record in in_share if self._is_expired(record)]
        chosen = expired[: max_deletes(len(self._ordinals))]
        for record in chosen:
            await self._delete(record)
        is_last = len(in_share) < PAGE_SIZE
        if len(chosen) < len(expired):
            self._after = chosen[-1].name
        else:
            self._after = share.start if is_last else in_share[-1].name

    def _is_expired(self, record: StoredObject) -> bool:
        old_revision = self._ages.old_revision(self._clock())
        return is_expired(
            version=record.version,
            written_at=written_at(record),
            old_revision=old_revision,
            wall_now=self._wall_clock(),
        )

    async def _delete(self, record: StoredObject) -> None:
        result = await self._platform.delete(RECORD_KIND, record.name, record.version)
        label = 'ok' if isinstance(result, Success) else 'failed'
        self._metrics.idempotency_writes.labels(write='sweep', result=label).inc()
        if label == 'failed':
            logger.debug(
                'expired idempotency record {} not deleted; a later sweep will retry',
                record.name,
            )
