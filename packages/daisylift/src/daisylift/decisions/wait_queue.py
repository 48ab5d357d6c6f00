"""Queues requests that wait for a free slot of a service on this node.

Load pattern: waves and bursts beyond what the slots can serve. A request is queued
only if it can still be answered after the expected wait, even if it misses its latency
target: a late response is worth more to the caller than a retry. Otherwise it is
refused at once, with the time at which a slot is expected. The queue is ordered by
priority. Within a priority, requests that can still meet their latency target go
first, earliest target first, followed by late requests, earliest deadline first.

Where requests belong to tenants, those of a tenant that was served more than its part
go after the others of their priority, also when it is decided who may wait, and leave a
full queue first. A tenant that was served far less often than all goes first.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from daisylift.decisions.tenant_shares import Standing, TenantShares

MAX_WAITING = 256  # per service and node; only bounds memory
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 2.0
MAX_WAKE_ATTEMPTS = 24  # waiters tried per free slot; bounds CPU time under load
RATE_WINDOW_SECONDS = 1.0
MIN_RATE_PER_SECOND = 0.1  # keeps the expected wait finite
MAX_LATE_SHARE = 0.5  # share of the time between target and deadline that may be used


@dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request. Times are monotonic clock readings in seconds.

    ``target_at`` is the latency target. ``wake`` is called when a slot may be free; it
    returns whether the request uses it. ``evict`` ends the wait of a tenant's request.
    """

    priority: int
    target_at: float
    deadline_at: float
    work_seconds: float
    wake: Callable[[], bool]
    tenant: str | None = None
    evict: Callable[[], None] | None = None

    @property
    def latest_start_at(self) -> float:
        """The time after which the request should no longer be given a slot."""
        spare = max(0.0, self.deadline_at - self.target_at)
        return self.target_at + MAX_LATE_SHARE * spare - self.work_seconds

    def sort_key(self, now: float) -> tuple[int, bool, float]:
        """Return the sort key of the queue; the smallest is served first."""
        late = now + self.work_seconds > self.target_at
        return (self.priority, late, self.deadline_at if late else self.target_at)


@dataclass(slots=True)
class WaitQueue:
    """The queue of one service on this node."""

    waiters: list[Waiter] = field(default_factory=list)
    shares: TenantShares = field(default_factory=TenantShares)
    _departures: list[float] = field(default_factory=list)

    def record_departure(self, now: float) -> None:
        """Count a request that left a server and so freed a slot."""
        self._departures.append(now)
        if self._departures[0] < now - 2.0 * RATE_WINDOW_SECONDS:
            self._discard_old_departures(now)

    def expected_wait(
        self,
        now: float,
        priority: int,
        max_per_second: float | None = None,
        tenant: str | None = None,
    ) -> float:
        """Return the expected seconds until one more waiter would get a slot.

        ``max_per_second`` is the rate at which the servers accept requests, None if
        only their slots bound it.
        """
        self._discard_old_departures(now)
        own = self._rank(priority, tenant, now)
        ahead = 1 + sum(
            self._rank(each.priority, each.tenant, now) <= own for each in self.waiters
        )
        per_second = max(len(self._departures) / RATE_WINDOW_SECONDS, 1.0)
        if max_per_second is not None:
            # Without waiters, departures show the demand and not what servers accept.
            accepted = min(per_second, max_per_second) if ahead > 1 else max_per_second
            per_second = max(accepted, MIN_RATE_PER_SECOND)
        return ahead / per_second

    def can_wait(
        self, waiter: Waiter, now: float, max_per_second: float | None = None
    ) -> bool:
        """Return whether the queue has space and the expected wait is short enough.

        ``max_per_second`` is as in ``expected_wait``.
        """
        if len(self.waiters) >= MAX_WAITING and self._victim(waiter, now) is None:
            return False
        wait = self.expected_wait(now, waiter.priority, max_per_second, waiter.tenant)
        return now + wait <= waiter.latest_start_at

    def add(self, waiter: Waiter, now: float = 0.0) -> None:
        """Add the waiter to the queue; one of lower rank leaves a full queue."""
        if len(self.waiters) >= MAX_WAITING:
            victim = self._victim(waiter, now)
            if victim is not None and victim.evict is not None:
                self.remove(victim)
                victim.evict()
        self.waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove the waiter if it is still queued."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def wake_next(self, now: float) -> None:
        """Wake waiters in order until one uses the free slot."""
        ordered = sorted(
            self.waiters,
            key=lambda each: (
                self._rank(each.priority, each.tenant, now),
                each.sort_key(now),
            ),
        )
        for waiter in ordered[:MAX_WAKE_ATTEMPTS]:
            if waiter.wake():
                self.remove(waiter)
                return

    def _rank(
        self, priority: int, tenant: str | None, now: float
    ) -> tuple[bool, int, Standing]:
        """Return what orders requests before their times do; the smallest is first."""
        standing = self.shares.standing(tenant, now)
        is_starved = standing is Standing.STARVED
        return (not is_starved, priority, max(standing, Standing.WITHIN))

    def _victim(self, waiter: Waiter, now: float) -> Waiter | None:
        """Return the waiter that leaves a full queue for this one, None if none does.

        Only requests of tenants leave, and only for one of a tenant.
        """
        if waiter.tenant is None:
            return None
        rank = self._rank(waiter.priority, waiter.tenant, now)
        worse = [
            (each_rank, each.sort_key(now), index)
            for index, each in enumerate(self.waiters)
            if each.evict is not None
            and (each_rank := self._rank(each.priority, each.tenant, now)) > rank
        ]
        return self.waiters[max(worse)[2]] if worse else None

    def _discard_old_departures(self, now: float) -> None:
        start = now - RATE_WINDOW_SECONDS
        self._departures = [each for each in self._departures if each >= start]


def retry_after_seconds(expected_wait: float, spread: float) -> float:
    """Return the seconds after which a refused caller should retry.

    ``spread`` is a random number from 0 to 1. It spreads retries over 0.5 to 1.5 times
    the expected wait, so that callers refused together don't come back together.
    """
    seconds = expected_wait * (0.5 + spread)
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
