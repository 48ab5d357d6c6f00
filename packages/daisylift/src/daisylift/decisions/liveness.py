"""Determines which entry VMs are alive from heartbeat counters spread by gossip.

Load pattern: many entry VMs crash, freeze and restart, and the lists in the store do
not show it. Each VM increments its own counter and forwards the counters that it has
received. A VM whose counter does not advance is considered lost. Messages carry
counters instead of times, so clocks need not agree.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from heapq import nlargest

LOST_SECONDS = 2.0  # without a heartbeat; eight intervals of 250 ms
LARGE_FLEET_LOST_SECONDS = 5.0  # same for fleets where heartbeats take several hops
LONG_LOST_SECONDS = 120.0  # longer than a restart or a rack outage usually lasts
OTHER_DOMAIN_LOST_SECONDS = 10.0  # in large fleets; these heartbeats are slower
MAX_HEARTBEATS = 23  # in one datagram; keeps it below 400 bytes
START_GRACE_SECONDS = 2.0  # time for the first heartbeat of a newly registered VM


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The heartbeat of one entry VM. A restart increases the incarnation."""

    name: str
    incarnation: int
    counter: int
    ready: bool


@dataclass(slots=True)
class _Record:
    heartbeat: Heartbeat
    received_at: float
    has_been_ready: bool = False  # in this incarnation


@dataclass(slots=True)
class Liveness:
    """The latest heartbeats of all entry VMs, as received by one of them."""

    name: str
    incarnation: int
    ready: bool = False
    lost_seconds: float = LOST_SECONDS
    _counter: int = 0
    _records_by_name: dict[str, _Record] = field(default_factory=dict)

    def beat(self) -> Heartbeat:
        """Increment the local counter and return the local heartbeat."""
        self._counter += 1
        return Heartbeat(self.name, self.incarnation, self._counter, self.ready)

    def receive(self, heartbeats: Iterable[Heartbeat], now: float) -> None:
        """Store the heartbeats that are newer than the current ones."""
        for heartbeat in heartbeats:
            if heartbeat.name == self.name:
                continue
            record = self._records_by_name.get(heartbeat.name)
            if record is None or _recency_key(heartbeat) > _recency_key(
                record.heartbeat
            ):
                self._records_by_name[heartbeat.name] = _Record(
                    heartbeat,
                    now,
                    heartbeat.ready or _has_been_ready(record, heartbeat),
                )

    def expect(self, name: str, incarnation: int, now: float) -> None:
        """Give a newly registered VM a grace period for its first heartbeat."""
        grace = now - self.lost_seconds + START_GRACE_SECONDS
        heartbeat = Heartbeat(name, incarnation, 0, ready=True)
        record = self._records_by_name.get(name)
        if record is None or record.heartbeat.incarnation < incarnation:
            self._records_by_name[name] = _Record(heartbeat, grace)

    def is_alive(
        self, name: str, now: float, within_seconds: float | None = None
    ) -> bool:
        """Return whether a newer heartbeat of the VM arrived within the time."""
        if name == self.name:
            return True
        record = self._records_by_name.get(name)
        within = within_seconds or self.lost_seconds
        return record is not None and now - record.received_at < within

    def is_stopping(self, name: str) -> bool:
        """Return whether the VM was ready in this incarnation and no longer is."""
        record = self._records_by_name.get(name)
        return (
            record is not None and record.has_been_ready and not record.heartbeat.ready
        )

    def is_long_lost(self, name: str, now: float) -> bool:
        """Return whether the VM has been silent for too long to be expected back."""
        record = self._records_by_name.get(name)
        return record is not None and now - record.received_at > LONG_LOST_SECONDS

    def is_ready(
        self, name: str, now: float, within_seconds: float | None = None
    ) -> bool:
        """Return whether the VM is alive and accepts callers."""
        if name == self.name:
            return self.ready
        record = self._records_by_name.get(name)
        alive = self.is_alive(name, now, within_seconds)
        return alive and record is not None and record.heartbeat.ready

    def heartbeats_to_send(
        self, now: float, rng: random.Random, about: Collection[str]
    ) -> list[Heartbeat]:
        """Return the heartbeats to send: the local one, and recent ones of ``about``.

        If there are more than ``MAX_HEARTBEATS``, a random selection of the newest is
        sent.
        """
        live = [
            record
            for name in about
            if (record := self._records_by_name.get(name)) is not None
            and now - record.received_at < self.lost_seconds
            and record.heartbeat.counter
        ]
        if len(live) > MAX_HEARTBEATS:
            rng.shuffle(live)
            newest = nlargest(
                2 * MAX_HEARTBEATS, live, key=lambda record: record.received_at
            )
            live = rng.sample(newest, MAX_HEARTBEATS)
        return [self.beat(), *(record.heartbeat for record in live)]


def _has_been_ready(record: _Record | None, heartbeat: Heartbeat) -> bool:
    return (
        record is not None
        and record.has_been_ready
        and record.heartbeat.incarnation == heartbeat.incarnation
    )


def _recency_key(heartbeat: Heartbeat) -> tuple[int, int]:
    return (heartbeat.incarnation, heartbeat.counter)
