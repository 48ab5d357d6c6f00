"""Tracks the health of one backend server on a node, and limits the use of its permits.

Load reports may be late, missing or wrong, so they can only lower the limit. A server
gets at most as many requests as the node holds permits for it, fewer while it is cold
or its reports are missing, and none for a while after it failed repeatedly.
"""

import math
from dataclasses import dataclass

LATENCY_WEIGHT = 0.2  # of the newest sample in the moving average
LATENCY_HALF_LIFE_SECONDS = 10.0
FAILURES_TO_EJECT = 5  # in a row
EJECTION_BASE_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
MAX_EJECTION_DOUBLINGS = 16
REPORT_GRACE_SECONDS = 6.0
REPORT_HALF_LIFE_SECONDS = 6.0
REPORT_FLOOR_SHARE = 0.25  # of the permits, however long reports are missing
DRAIN_EXPIRY_SECONDS = 60.0  # after the last sign that the server is draining
LOAD_HALF_LIFE_SECONDS = 0.5
MAX_REPORTED = 1_000_000  # requests or slots
MAX_COUNT_DIGITS = 7


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a server reported, and when this node received the report."""

    in_flight: int
    slots: int
    received_at: float

    def utilisation(self, now: float) -> float:
        """Return the reported share of slots in use, discounted by the report's age."""
        age = max(0.0, now - self.received_at)
        share = self.in_flight / self.slots
        return share * 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)


def parse_load(value: str, now: float) -> LoadReport | None:
    """Return the report in a load header, or None if it is invalid."""
    in_flight, slash, slots = value.partition('/')
    if not slash or not (_is_count(in_flight) and _is_count(slots)):
        return None
    return load_report(int(in_flight), int(slots), now)


def load_report(in_flight: int, slots: int, now: float) -> LoadReport | None:
    """Return the report, or None if its numbers are out of range."""
    if not (0 <= in_flight <= MAX_REPORTED and 1 <= slots <= MAX_REPORTED):
        return None
    return LoadReport(in_flight=in_flight, slots=slots, received_at=now)


@dataclass(slots=True)
class ServerHealth:
    """The latency, failures, load reports and drain state of one backend server.

    ``last_report_at`` is when the server last reported. ``ramp_start_at`` is when it
    last started or came back, or None once it is warm.
    """

    cold_start_seconds: float
    last_report_at: float
    ramp_start_at: float | None = None
    latency_seconds: float | None = None
    last_response_at: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    report: LoadReport | None = None
    drain_seen_at: float | None = None

    def record_success(self, latency_seconds: float, now: float) -> None:
        """Record a response received ``latency_seconds`` after the request was sent."""
        self.last_response_at = now
        self.failures = 0
        self.ejections = 0
        if self.latency_seconds is None:
            self.latency_seconds = latency_seconds
            return
        step = latency_seconds - self.latency_seconds
        self.latency_seconds += LATENCY_WEIGHT * step

    def record_failure(self, now: float, may_eject: bool) -> bool:
        """Record a failure; return whether it ejects the server."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or not may_eject:
            return False
        seconds = EJECTION_BASE_SECONDS * 2.0**self.ejections
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.ejections = min(self.ejections + 1, MAX_EJECTION_DOUBLINGS)
        self.ramp_start_at = self.ejected_until
        self.failures = FAILURES_TO_EJECT - 1
        return True

    def record_report(self, report: LoadReport) -> None:
        """Record a load report."""
        self.last_report_at = max(self.last_report_at, report.received_at)
        if self.report is None or report.received_at >= self.report.received_at:
            self.report = report

    def record_drain(self, now: float) -> None:
        """Record a sign that the server is draining."""
        self.drain_seen_at = now

    def record_drain_end(self, now: float) -> None:
        """Record that the server reports not to be draining; it starts cold again."""
        if self.drain_seen_at is None:
            return
        self.drain_seen_at = None
        self.ramp_start_at = now

    def expected_latency(self, usual_seconds: float, now: float) -> float:
        """Return the average latency; without responses it decays to the usual one."""
        if self.latency_seconds is None:
            return usual_seconds
        age = max(0.0, now - self.last_response_at)
        difference = self.latency_seconds - usual_seconds
        return usual_seconds + difference * 0.5 ** (age / LATENCY_HALF_LIFE_SECONDS)

    def unusable_until(self) -> float:
        """Return the time until which the server gets no new requests.

        The time is in the past if the server may be used.
        """
        draining_until = 0.0
        if self.drain_seen_at is not None:
            draining_until = self.drain_seen_at + DRAIN_EXPIRY_SECONDS
        return max(draining_until, self.ejected_until)

    def usable_slots(self, permits: int, now: float) -> int:
        """Return how many of the held permits may be in use at once.

        The result is at most ``permits`` and, if there are any, at least 1, so that
        the server keeps being tried. While reports are missing, it only decreases.
        """
        if permits <= 0:
            return 0
        share = min(self._warm_share(now), self._reported_share(now))
        return max(1, min(permits, math.ceil(permits * share - 1e-9)))

    def _warm_share(self, now: float) -> float:
        if self.ramp_start_at is None or self.cold_start_seconds <= 0.0:
            return 1.0
        elapsed = now - self.ramp_start_at
        if elapsed >= self.cold_start_seconds:
            self.ramp_start_at = None
            return 1.0
        return max(0.0, elapsed / self.cold_start_seconds)

    def _reported_share(self, now: float) -> float:
        missing = now - self.last_report_at - REPORT_GRACE_SECONDS
        if missing <= 0.0:
            return 1.0
        return max(REPORT_FLOOR_SHARE, 0.5 ** (missing / REPORT_HALF_LIFE_SECONDS))


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
