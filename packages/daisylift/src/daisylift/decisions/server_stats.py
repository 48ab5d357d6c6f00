"""What a node has seen of one backend server: load, speed, failures, warm objects."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

LOAD_REPORT_DECAY_SECONDS = 0.6  # half of what a report says of others is then stale
SMOOTHING = 0.15  # weight of the newest sample in moving averages
FAILURE_SMOOTHING = 0.2  # five failures in a row bring the rate to two thirds
MAX_OBJECTS = 512  # remembered for each server
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
SUSPENSION_SECONDS = 0.5  # after the first failure to connect; doubles each time
MAX_SUSPENSION_SECONDS = 4.0
FAILURE_MEMORY_SECONDS = 3.0  # the failure rate decays while a server is not used


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server said of its load in an answer."""

    running: int
    waiting: int
    slots: int

    @property
    def per_slot(self) -> float:
        """The requests that the server has for each slot."""
        return (self.running + self.waiting) / max(1, self.slots)


@dataclass(slots=True)
class ServerStats:
    """The record of one incarnation of a backend server on this node."""

    slots: int
    cold_until: float = 0.0
    in_flight: int = 0
    slowness: float = 1.0
    suspended_until: float = 0.0
    answers: int = 0
    is_displaced: bool = False
    _others: float = 0.0
    _others_at: float = -math.inf
    _failure_rate: float = 0.0
    _failure_at: float = 0.0
    _suspensions: int = 0
    _objects: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def occupancy(self, now: float, usual_busy: float = 0.0) -> float:
        """Return the requests at the server, of this node and, estimated, of others.

        ``usual_busy`` is how many requests such servers have for each slot at the
        moment; the older the server's own report, the more this counts instead.
        """
        usual = max(0.0, usual_busy * self.slots - self.in_flight)
        if not self._others and not usual:
            return float(self.in_flight)
        age = now - self._others_at
        weight = math.exp(-age / LOAD_REPORT_DECAY_SECONDS)
        return self.in_flight + weight * self._others + (1.0 - weight) * usual

    def failure_rate(self, now: float) -> float:
        """Return the share of recent requests that failed at the server."""
        if not self._failure_rate:
            return 0.0
        age = now - self._failure_at
        return self._failure_rate * math.exp(-age / FAILURE_MEMORY_SECONDS)

    def is_suspended(self, now: float) -> bool:
        """Say whether the server is displaced, or could not be reached a moment ago."""
        return self.is_displaced or now < self.suspended_until

    def is_cold(self, now: float) -> bool:
        """Say whether the server has started or come back only recently."""
        return now < self.cold_until

    def has_seen(self, object_key: str) -> bool:
        """Say whether this node has sent requests on the object to the server."""
        return object_key in self._objects

    def started(self, object_key: str | None) -> None:
        """Count a request that is sent now."""
        self.in_flight += 1
        if object_key is None:
            return
        self._objects[object_key] = None
        self._objects.move_to_end(object_key)
        while len(self._objects) > MAX_OBJECTS:
            self._objects.popitem(last=False)

    def ended(self) -> None:
        """Count the end of a request, whatever its outcome."""
        self.in_flight -= 1

    def reported(self, report: LoadReport, now: float) -> None:
        """Take over the load that the server told in an answer."""
        self._others = max(0.0, report.running + report.waiting - self.in_flight)
        self._others_at = now
        self.slots = max(1, report.slots)

    def displaced(self) -> None:
        """Rule the server out: another one has its address now.

        A server that registers at another address, or starts anew, has a new record.
        """
        self.is_displaced = True

    def answered(self, took: float, expected: float) -> None:
        """Learn the server's speed from a request that it answered, in seconds."""
        self.answers += 1
        self._suspensions = 0
        self.suspended_until = 0.0
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, took / expected))
        self.slowness += SMOOTHING * (ratio - self.slowness)

    def succeeded(self, now: float) -> None:
        """Lower the failure rate."""
        rate = self.failure_rate(now)
        self._failure_rate = rate * (1.0 - FAILURE_SMOOTHING)
        self._failure_at = now

    def failed(self, now: float) -> None:
        """Raise the failure rate."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_SMOOTHING * (1.0 - rate)
        self._failure_at = now

    def unreachable(self, now: float) -> None:
        """Suspend the server; longer each time until it answers again."""
        self.failed(now)
        seconds = SUSPENSION_SECONDS * 2**self._suspensions
        self._suspensions = min(self._suspensions + 1, 3)
        self.suspended_until = now + min(seconds, MAX_SUSPENSION_SECONDS)
