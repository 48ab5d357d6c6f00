"""When idempotency records expire, and which node sweeps which of them.

Wall clocks say when a record is old; but none is deleted before this process has
itself known its version for a least time, so that wrong clocks can only delete late,
or after that least time.
"""

from collections import deque
from dataclasses import dataclass

RETENTION_SECONDS = 24 * 3600.0
LEAST_RETENTION_SECONDS = 3600.0
SAMPLE_SECONDS = 60.0
MIN_PERIOD_SECONDS = 10.0
FLEET_SWEEPS_PER_SECOND = 10.0
FLEET_DELETES_PER_SECOND = 50.0
NAME_SPACE = 1 << 32
NAME_DIGITS = 8


class RevisionAges:
    """Remembers, by the process's own clock, when the store had which revision."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()
        self._old = 0

    def note(self, revision: int, now: float) -> None:
        """Take note of the revision that the store has now."""
        if not self._samples or now - self._samples[-1][0] >= SAMPLE_SECONDS:
            self._samples.append((now, revision))

    def old_revision(self, now: float) -> int:
        """Return a revision that is older than the least retention, or 0."""
        while self._samples and now - self._samples[0][0] >= LEAST_RETENTION_SECONDS:
            self._old = self._samples.popleft()[1]
        return self._old


@dataclass(frozen=True, slots=True)
class SweepShare:
    """The record names after ``start``, up to ``end``, that one node sweeps."""

    start: str
    end: str


def sweep_share(position: int, nodes: int) -> SweepShare:
    """Return the share of the node at a position among the nodes of the roster."""
    return SweepShare(_name(position, nodes), _name(position + 1, nodes))


def sweep_period_seconds(nodes: int) -> float:
    """Return how often a node sweeps, so that the fleet's reads stay bounded."""
    return max(MIN_PERIOD_SECONDS, nodes / FLEET_SWEEPS_PER_SECOND)


def max_deletes(nodes: int) -> int:
    """Return how many records a node may delete in one sweep."""
    each = FLEET_DELETES_PER_SECOND * sweep_period_seconds(nodes) / nodes
    return max(1, int(each))


def is_expired(
    version: int, written_at: float, old_revision: int, wall_now: float
) -> bool:
    """Say whether a record may be deleted."""
    return version <= old_revision and wall_now - written_at >= RETENTION_SECONDS


def _name(position: int, nodes: int) -> str:
    if position >= nodes:
        return 'g'
    return f'{position * NAME_SPACE // nodes:0{NAME_DIGITS}x}'
