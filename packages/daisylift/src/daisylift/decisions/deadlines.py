"""Deadlines: taken from the caller, bounded by the service, spent down."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

MAX_DIGITS = 9
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class BadTimeout:
    """A timeout header that is not a whole number of milliseconds."""

    value: str


@dataclass(frozen=True, slots=True)
class Deadline:
    """The moment, in monotonic seconds, after which an answer is of no use."""

    at: float

    def left(self, now: float) -> float:
        """Return the seconds left, never below zero."""
        return max(0.0, self.at - now)

    def has_passed(self, now: float) -> bool:
        """Say whether no time is left."""
        return now >= self.at

    def header(self, now: float) -> str:
        """Return the time left in whole milliseconds, rounded down."""
        return str(int(self.left(now) * MS_PER_SECOND))

    def earlier(self, seconds: float, now: float) -> 'Deadline':
        """Return the earlier of this deadline and one in so many seconds."""
        return Deadline(min(self.at, now + seconds))


def take_deadline(
    value: str | None, limit_seconds: float, now: float
) -> Result[Deadline, BadTimeout]:
    """Return the deadline of a request from its header, bounded by the service."""
    if value is None:
        return Success(Deadline(now + limit_seconds))
    digits = value.strip()
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_DIGITS):
        return Failure(BadTimeout(value))
    return Success(Deadline(now + min(int(digits) / MS_PER_SECOND, limit_seconds)))
