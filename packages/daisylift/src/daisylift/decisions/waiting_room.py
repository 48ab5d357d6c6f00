"""Requests that wait for a free slot of a service on this node.

Load pattern: waves and bursts beyond what the slots can serve. A request is let in
only while the expected wait leaves it time to be answered, if need be late: a late
answer is worth more to its caller than coming back. Otherwise it is refused at once
with the time at which a slot is expected. Waiting requests go in the order of
priority; among equals, those that can still meet their latency target go first, the
most urgent of them foremost, and those that are late already share what is left.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

MAX_WAITING = 256  # of one service on one node; bounds memory, not policy
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 2.0
MAX_WOKEN = 24  # tried for one free slot; bounds processor time under load
RATE_WINDOW_SECONDS = 1.0
LATE_SHARE = 0.5  # of the time from target to limit may pass for a late answer


@dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request. Times are moments of the steady clock, in seconds."""

    priority: int
    target_at: float
    limit_at: float
    work_seconds: float
    wake: Callable[[], bool]

    @property
    def give_up_at(self) -> float:
        """The moment after which waiting on would only keep others from a slot."""
        spare = max(0.0, self.limit_at - self.target_at)
        return self.target_at + LATE_SHARE * spare - self.work_seconds

    def order(self, now: float) -> tuple[int, bool, float]:
        """Return the key by which waiting requests are served, smallest first."""
        late = now + self.work_seconds > self.target_at
        return (self.priority, late, self.limit_at if late else self.target_at)


@dataclass(slots=True)
class WaitingRoom:
    """The requests of one service that wait on this node."""

    waiters: list[Waiter] = field(default_factory=list)
    _departures: list[float] = field(default_factory=list)

    def note_departure(self, now: float) -> None:
        """Count a request that left a server, which is how slots become free."""
        self._departures.append(now)
        if self._departures[0] < now - 2.0 * RATE_WINDOW_SECONDS:
            self._forget(now)

    def expected_wait(self, now: float, priority: int) -> float:
        """Return the seconds until a slot is free for one more waiter."""
        self._forget(now)
        ahead = sum(each.priority <= priority for each in self.waiters) + 1
        per_second = max(len(self._departures) / RATE_WINDOW_SECONDS, 1.0)
        return ahead / per_second

    def may_wait(self, waiter: Waiter, now: float) -> bool:
        """Say whether the waiter can expect an answer in time if it waits."""
        if len(self.waiters) >= MAX_WAITING:
            return False
        return now + self.expected_wait(now, waiter.priority) <= waiter.give_up_at

    def add(self, waiter: Waiter) -> None:
        """Let the waiter wait."""
        self.waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Take the waiter out, if it still waits."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def wake_next(self, now: float) -> None:
        """Wake waiters in order until one makes use of the free slot."""
        ordered = sorted(self.waiters, key=lambda each: each.order(now))
        for waiter in ordered[:MAX_WOKEN]:
            if waiter.wake():
                self.remove(waiter)
                return

    def _forget(self, now: float) -> None:
        start = now - RATE_WINDOW_SECONDS
        self._departures = [each for each in self._departures if each >= start]


def retry_after_seconds(expected_wait: float, spread: float) -> float:
    """Return when a refused caller should return; ``spread`` is from 0 to 1.

    Returns are spread over half to three halves of the expected wait, so that those
    who were refused together don't come back together.
    """
    seconds = expected_wait * (0.5 + spread)
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
