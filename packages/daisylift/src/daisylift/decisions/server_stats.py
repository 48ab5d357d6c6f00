"""Tracks load, speed, failures and warm objects of one backend server on a node.

Load pattern: servers share their machines with others and report how much longer work
takes there at the moment, a figure that changes many times a second. A node sees it
rarely if the fleet is large, and a long run outlasts it. Its weight therefore fades
with its age and with the length of the run.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from daisylift.decisions.availability import Availability, Exclusion
from daisylift.decisions.server_limits import ServerLimit
from daisylift.decisions.server_pace import ServerPace

SLOWDOWN_DECAY_SECONDS = 0.25  # reported figures change several times a second
MAX_SLOWDOWN = 10.0
LOAD_REPORT_DECAY_SECONDS = 0.6  # half of the reported load of others is stale by then
SMOOTHING = 0.15  # weight of the newest sample in moving averages
FAILURE_SMOOTHING = 0.2  # five failures in a row bring the rate to two thirds
MAX_OBJECTS = 512  # recorded per server
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
SUSPENSION_SECONDS = 0.5  # after the first connection failure; doubles each time
MAX_SUSPENSION_SECONDS = 4.0
MAX_SUSPENSION_DOUBLINGS = 3
FAILURE_DECAY_SECONDS = 3.0  # the failure rate decays while a server is not used


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a backend server reported in a response.

    ``slowdown`` is how long work takes on its machine now, over the usual time; None if
    it did not say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def per_slot(self) -> float:
        """The number of requests per slot at the server."""
        return (self.running + self.waiting) / max(1, self.slots)


@dataclass(slots=True)
class ServerStats:
    """Statistics of one incarnation of a backend server on this node.

    ``slowness`` is the average ratio of actual to expected run times.
    ``_others_load`` is the number of other nodes' requests in the last load report.
    """

    slots: int
    cold_until: float = 0.0
    in_flight: int = 0
    slowness: float = 1.0
    suspended_until: float = 0.0
    responses: int = 0
    is_displaced: bool = False
    limit: ServerLimit = field(default_factory=ServerLimit)
    availability: Availability = field(default_factory=Availability)
    pace: ServerPace = field(default_factory=ServerPace)
    _slowdown: float = 1.0
    _slowdown_updated_at: float = -math.inf
    _others_load: float = 0.0
    _others_load_updated_at: float = -math.inf
    _failure_rate: float = 0.0
    _failure_rate_updated_at: float = 0.0
    _suspensions: int = 0
    _objects: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def occupancy(self, now: float, average_load: float = 0.0) -> float:
        """Return the estimated number of requests at the server, from all nodes.

        ``average_load`` is the current average of requests per slot over comparable
        servers. The older the server's own report, the more this average counts.
        """
        usual = max(0.0, average_load * self.slots - self.in_flight)
        if not self._others_load and not usual:
            return float(self.in_flight)
        age = now - self._others_load_updated_at
        weight = math.exp(-age / LOAD_REPORT_DECAY_SECONDS)
        return self.in_flight + weight * self._others_load + (1.0 - weight) * usual

    def load_age_seconds(self, now: float) -> float:
        """Return the age of the last load report, infinite if there was none."""
        return now - self._others_load_updated_at

    def slowdown(self, work_seconds: float, now: float) -> float:
        """Return the expected slowdown of a run that starts now, 1 being usual.

        It is the average over the run of the last reported figure, which fades to 1.
        """
        if not self.has_slowdown:
            return 1.0
        decay = SLOWDOWN_DECAY_SECONDS
        excess = (self._slowdown - 1.0) * math.exp(
            (self._slowdown_updated_at - now) / decay
        )
        length = work_seconds / decay
        return 1.0 + excess * -math.expm1(-length) / length if length else 1.0 + excess

    @property
    def has_slowdown(self) -> bool:
        """Return whether the last reported slowdown is not the usual one."""
        return self._slowdown != 1.0

    @property
    def is_unreachable(self) -> bool:
        """Return whether the server has not responded since it was unreachable."""
        return self._suspensions > 0

    def failure_rate(self, now: float) -> float:
        """Return the share of recent requests at the server that failed."""
        if not self._failure_rate:
            return 0.0
        age = now - self._failure_rate_updated_at
        return self._failure_rate * math.exp(-age / FAILURE_DECAY_SECONDS)

    def exclusion(self, now: float) -> Exclusion | None:
        """Return why no request may be sent to the server now, None if one may."""
        if self.is_displaced:
            return Exclusion.DISPLACED
        if (said := self.availability.exclusion(now)) is not None:
            return said
        return Exclusion.UNREACHABLE if now < self.suspended_until else None

    def is_excluded(self, now: float) -> bool:
        """Return whether no request may be sent to the server now."""
        return (
            now < self.suspended_until
            or self.is_displaced
            or self.availability.exclusion(now) is not None
        )

    def is_cold(self, now: float) -> bool:
        """Return whether the server has started or come back recently."""
        return now < self.cold_until

    def has_seen(self, object_key: str) -> bool:
        """Return whether this node has sent requests for the object to the server."""
        return object_key in self._objects

    def record_start(self, object_key: str | None) -> None:
        """Count a request that is being sent and record its object."""
        self.in_flight += 1
        if object_key is None:
            return
        self._objects[object_key] = None
        self._objects.move_to_end(object_key)
        while len(self._objects) > MAX_OBJECTS:
            self._objects.popitem(last=False)

    def record_end(self) -> None:
        """Count the end of a request, whatever its outcome."""
        self.in_flight -= 1

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record the load that the server reported in a response."""
        self._others_load = max(0.0, report.running + report.waiting - self.in_flight)
        self._others_load_updated_at = now
        self.slots = max(1, report.slots)
        if report.slowdown is not None:
            self._slowdown = min(report.slowdown, MAX_SLOWDOWN)
            self._slowdown_updated_at = now

    def mark_displaced(self) -> None:
        """Exclude the server permanently: another server now has its address.

        A server that registers at another address, or restarts, gets a new record.
        """
        self.is_displaced = True

    def record_response(self, seconds: float, expected_seconds: float) -> None:
        """Update the server's speed from the duration of a request, in seconds."""
        self.responses += 1
        self._suspensions = 0
        self.suspended_until = 0.0
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, seconds / expected_seconds))
        self.slowness += SMOOTHING * (ratio - self.slowness)

    def record_success(self, now: float) -> None:
        """Lower the failure rate."""
        rate = self.failure_rate(now)
        self._failure_rate = rate * (1.0 - FAILURE_SMOOTHING)
        self._failure_rate_updated_at = now

    def record_failure(self, now: float) -> None:
        """Raise the failure rate."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_SMOOTHING * (1.0 - rate)
        self._failure_rate_updated_at = now

    def mark_unreachable(self, now: float) -> None:
        """Suspend the server, for longer each time until it responds again."""
        self.record_failure(now)
        seconds = SUSPENSION_SECONDS * 2**self._suspensions
        self._suspensions = min(self._suspensions + 1, MAX_SUSPENSION_DOUBLINGS)
        self.suspended_until = now + min(seconds, MAX_SUSPENSION_SECONDS)
