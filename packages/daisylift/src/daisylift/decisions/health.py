"""Tracks the health of one backend server on a node, and limits the use of its permits.

Load reports may be late, missing or wrong, so they can only lower the limit. A server
gets at most as many requests as the node holds permits for it, fewer while it is cold
or its reports are missing, and none for a while after it failed repeatedly.
"""

import math
from dataclasses import dataclass

LATENCY_WEIGHT = 0.2  # of the newest sample in the moving average
LATENCY_HALF_LIFE_SECONDS = 10.0
FAILURES_TO_EJECT = 5
EJECTION_BASE_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
REPORT_GRACE_SECONDS = 6.0
REPORT_HALF_LIFE_SECONDS = 6.0
REPORT_FLOOR_SHARE = 0.25
DRAIN_MEMORY_SECONDS = 60.0
LOAD_HALF_LIFE_SECONDS = 0.5
MAX_REPORTED = 1_000_000


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a server reported; ``at`` is when this node received it."""

    in_flight: int
    slots: int
    at: float

    def utilisation(self, now: float) -> float:
        """Return the reported share of slots in use, discounted by the report's age."""
        age = max(0.0, now - self.at)
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
    return LoadReport(in_flight=in_flight, slots=slots, at=now)


@dataclass(slots=True)
class ServerHealth:
    """The latency, failures, load reports and drain state of one backend server.

    ``heard_at`` is when the server last reported. ``ramp_from`` is when it last started
    or came back, or None once it is warm.
    """

    cold_start_seconds: float
    heard_at: float
    ramp_from: float | None = None
    latency_seconds: float | None = None
    answered_at: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    report: LoadReport | None = None
    drained_at: float | None = None

    def succeeded(self, latency_seconds: float, now: float) -> None:
        """Record a response received ``latency_seconds`` after the request was sent."""
        self.answered_at = now
        self.failures = 0
        self.ejections = 0
        if self.latency_seconds is None:
            self.latency_seconds = latency_seconds
            return
        step = latency_seconds - self.latency_seconds
        self.latency_seconds += LATENCY_WEIGHT * step

    def failed(self, now: float, may_eject: bool) -> bool:
        """Record a failure; return whether it ejects the server."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or not may_eject:
            return False
        seconds = EJECTION_BASE_SECONDS * 2.0**self.ejections
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.ejections = min(self.ejections + 1, 16)
        self.ramp_from = self.ejected_until
        self.failures = FAILURES_TO_EJECT - 1
        return True

    def reported(self, report: LoadReport) -> None:
        """Record a load report."""
        self.heard_at = max(self.heard_at, report.at)
        if self.report is None or report.at >= self.report.at:
            self.report = report

    def drain_seen(self, now: float) -> None:
        """Record a sign that the server is draining."""
        self.drained_at = now

    def drain_denied(self, now: float) -> None:
        """Record that the server reports not to be draining; it starts cold again."""
        if self.drained_at is None:
            return
        self.drained_at = None
        self.ramp_from = now

    def expected_latency(self, usual_seconds: float, now: float) -> float:
        """Return the server's latency, decaying to the usual one as it gets older."""
        if self.latency_seconds is None:
            return usual_seconds
        age = max(0.0, now - self.answered_at)
        difference = self.latency_seconds - usual_seconds
        return usual_seconds + difference * 0.5 ** (age / LATENCY_HALF_LIFE_SECONDS)

    def unusable_until(self) -> float:
        """Return the time until which the server gets no new requests.

        The time is in the past if the server may be used.
        """
        drained_until = 0.0
        if self.drained_at is not None:
            drained_until = self.drained_at + DRAIN_MEMORY_SECONDS
        return max(drained_until, self.ejected_until)

    def usable_slots(self, held: int, now: float) -> int:
        """Return how many of the held permits may be in use at once.

        The result is at most ``held`` and, if any are held, at least 1, so that the
        server keeps being tried. While reports are missing, it only decreases.
        """
        if held <= 0:
            return 0
        share = min(self._warm_share(now), self._reported_share(now))
        return max(1, min(held, math.ceil(held * share - 1e-9)))

    def _warm_share(self, now: float) -> float:
        if self.ramp_from is None or self.cold_start_seconds <= 0.0:
            return 1.0
        elapsed = now - self.ramp_from
        if elapsed >= self.cold_start_seconds:
            self.ramp_from = None
            return 1.0
        return max(0.0, elapsed / self.cold_start_seconds)

    def _reported_share(self, now: float) -> float:
        missing = now - self.heard_at - REPORT_GRACE_SECONDS
        if missing <= 0.0:
            return 1.0
        return max(REPORT_FLOOR_SHARE, 0.5 ** (missing / REPORT_HALF_LIFE_SECONDS))


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 7
