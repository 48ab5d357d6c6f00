"""Expiry of idempotency records, and their division among the nodes that sweep them.

A record's age is determined by wall clocks. In addition, a process deletes a record
only if, by its own clock, it knew the record's version ``MIN_RETENTION_SECONDS``
ago. Wrong wall clocks can therefore delay a deletion or cause an early one, but never
one before that time has passed.
"""

from collections import deque
from dataclasses import dataclass

RETENTION_SECONDS = 24 * 3600.0
MIN_RETENTION_SECONDS = 3600.0
SAMPLE_SECONDS = 60.0
MIN_PERIOD_SECONDS = 10.0
FLEET_SWEEPS_PER_SECOND = 10.0
FLEET_DELETES_PER_SECOND = 50.0
NAME_SPACE = 1 << 32
NAME_DIGITS = 8


class RevisionAges:
    """Records which revision the store had at which time of the process's own clock."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()
        self._old = 0
        self._era = 0

    def record(self, revision: int, now: float, era: int = 0) -> None:
        """Record the current revision of the store.

        In a new era of the store earlier samples say nothing: revisions are given out
        again.
        """
        if era != self._era:
            self._samples.clear()
            self._old, self._era = 0, era
        if not self._samples or now - self._samples[-1][0] >= SAMPLE_SECONDS:
            self._samples.append((now, revision))

    def old_revision(self, now: float) -> int:
        """Return the latest sample older than ``MIN_RETENTION_SECONDS``, or 0."""
        while self._samples and now - self._samples[0][0] >= MIN_RETENTION_SECONDS:
            self._old = self._samples.popleft()[1]
        return self._old


@dataclass(frozen=True, slots=True)
class SweepShare:
    """Range of record names that one node sweeps: after ``start``, up to ``end``."""

    start: str
    end: str


def sweep_share(position: int, nodes: int) -> SweepShare:
    """Return the share of the node at a position in the roster."""
    return SweepShare(_name(position, nodes), _name(position + 1, nodes))


def sweep_period_seconds(nodes: int) -> float:
    """Return the time between a node's sweeps, which bounds the fleet's reads."""
    return max(MIN_PERIOD_SECONDS, nodes / FLEET_SWEEPS_PER_SECOND)


def max_deletes(nodes: int) -> int:
    """Return the maximum number of records that a node deletes in one sweep."""
    each = FLEET_DELETES_PER_SECOND * sweep_period_seconds(nodes) / nodes
    return max(1, int(each))


def is_expired(
    version: int, written_at: float, old_revision: int, wall_now: float
) -> bool:
    """Return whether a record may be deleted."""
    return version <= old_revision and wall_now - written_at >= RETENTION_SECONDS


def _name(position: int, nodes: int) -> str:
    if position >= nodes:
        return 'g'  # sorts after every hexadecimal name
    return f'{position * NAME_SPACE // nodes:0{NAME_DIGITS}x}'
