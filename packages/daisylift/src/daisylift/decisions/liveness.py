"""Which entry VMs are alive, from heartbeat counters that they spread by gossip.

Load pattern: entry VMs die, freeze and restart in numbers, while lists in the store
say nothing of it. Each VM raises its own counter and passes on the counters that it
knows; a VM whose counter stands still is taken as lost. Counters and not times travel,
so clocks need not agree.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from heapq import nlargest

LOST_SECONDS = 2.0  # without progress; eight heartbeats of 250 ms
LARGE_FLEET_LOST_SECONDS = 5.0  # the same where heartbeats take several hops
LONG_LOST_SECONDS = 120.0  # longer than a restart or a cut of a rack usually lasts
FAR_LOST_SECONDS = 10.0  # in a large fleet, news from other failure domains is slower
MAX_NEWS = 24  # VMs told of in one datagram; keeps it below 400 bytes
START_GRACE_SECONDS = 2.0  # until a newly registered VM must have been heard of


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The progress of one entry VM. A restart raises the incarnation."""

    name: str
    incarnation: int
    counter: int
    ready: bool


@dataclass(slots=True)
class _Record:
    heartbeat: Heartbeat
    heard_at: float


@dataclass(slots=True)
class Liveness:
    """What one entry VM knows of the others' heartbeats."""

    name: str
    incarnation: int
    ready: bool = False
    lost_seconds: float = LOST_SECONDS
    _counter: int = 0
    _records_by_name: dict[str, _Record] = field(default_factory=dict)

    def beat(self) -> Heartbeat:
        """Raise the own counter and return the own heartbeat."""
        self._counter += 1
        return Heartbeat(self.name, self.incarnation, self._counter, self.ready)

    def hear(self, heartbeats: Iterable[Heartbeat], now: float) -> None:
        """Take over heartbeats that are newer than those known."""
        for heartbeat in heartbeats:
            if heartbeat.name == self.name:
                continue
            record = self._records_by_name.get(heartbeat.name)
            if record is None or _age_key(heartbeat) > _age_key(record.heartbeat):
                self._records_by_name[heartbeat.name] = _Record(heartbeat, now)

    def expect(self, name: str, incarnation: int, now: float) -> None:
        """Give a newly registered VM some time to be heard of."""
        grace = now - self.lost_seconds + START_GRACE_SECONDS
        heartbeat = Heartbeat(name, incarnation, 0, ready=True)
        record = self._records_by_name.get(name)
        if record is None or record.heartbeat.incarnation < incarnation:
            self._records_by_name[name] = _Record(heartbeat, grace)

    def is_alive(
        self, name: str, now: float, within_seconds: float | None = None
    ) -> bool:
        """Say whether the VM has made progress within the time."""
        if name == self.name:
            return True
        record = self._records_by_name.get(name)
        within = within_seconds or self.lost_seconds
        return record is not None and now - record.heard_at < within

    def is_long_lost(self, name: str, now: float) -> bool:
        """Say whether the VM has been silent for so long that it won't come back."""
        record = self._records_by_name.get(name)
        return record is not None and now - record.heard_at > LONG_LOST_SECONDS

    def is_ready(
        self, name: str, now: float, within_seconds: float | None = None
    ) -> bool:
        """Say whether the VM is alive and takes callers."""
        if name == self.name:
            return self.ready
        record = self._records_by_name.get(name)
        alive = self.is_alive(name, now, within_seconds)
        return alive and record is not None and record.heartbeat.ready

    def news(
        self, now: float, choice: random.Random, about: Collection[str]
    ) -> list[Heartbeat]:
        """Return the heartbeats to pass on: the own, and the newest of those named."""
        live = [
            record
            for name in about
            if (record := self._records_by_name.get(name)) is not None
            and now - record.heard_at < self.lost_seconds
            and record.heartbeat.counter
        ]
        if len(live) > MAX_NEWS:
            choice.shuffle(live)
            fresh = nlargest(2 * MAX_NEWS, live, key=lambda record: record.heard_at)
            live = choice.sample(fresh, MAX_NEWS)
        return [self.beat(), *(record.heartbeat for record in live)]


def _age_key(heartbeat: Heartbeat) -> tuple[int, int]:
    return (heartbeat.incarnation, heartbeat.counter)
