"""Computes request deadlines from the caller's timeout, bounded by the service."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

MAX_TIMEOUT_DIGITS = 9
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class InvalidTimeout:
    """A timeout header that is not an integer number of milliseconds."""

    value: str


@dataclass(frozen=True, slots=True)
class Deadline:
    """The time, in monotonic seconds, after which a response is of no use."""

    at: float

    def remaining_seconds(self, now: float) -> float:
        """Return the remaining seconds, at least 0."""
        return max(0.0, self.at - now)

    def has_passed(self, now: float) -> bool:
        """Return whether no time remains."""
        return now >= self.at

    def to_header(self, now: float) -> str:
        """Return the remaining time as a header value in ms, rounded down."""
        return str(int(self.remaining_seconds(now) * MS_PER_SECOND))

    def capped(self, seconds: float, now: float) -> 'Deadline':
        """Return the earlier of this deadline and one ``seconds`` from now."""
        return Deadline(min(self.at, now + seconds))


def parse_deadline(
    value: str | None, limit_seconds: float, now: float
) -> Result[Deadline, InvalidTimeout]:
    """Return the deadline of a request from its header, bounded by the service."""
    if value is None:
        return Success(Deadline(now + limit_seconds))
    digits = value.strip()
    if not (
        digits.isascii() and digits.isdigit() and len(digits) <= MAX_TIMEOUT_DIGITS
    ):
        return Failure(InvalidTimeout(value))
    return Success(Deadline(now + min(int(digits) / MS_PER_SECOND, limit_seconds)))
