"""How long a process waits for a port that another process still holds.

Answers the load of a restart in which the predecessor is still in its planned stop: it
holds its ports until the end of its grace period, and is killed then.
"""

from dataclasses import dataclass

FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 0.5
DELAY_FACTOR = 2.0
MARGIN_SECONDS = 2.0  # after the grace period, for the end of the other process


@dataclass(frozen=True, slots=True)
class PortRetry:
    """Tries until a start has taken the grace period of the other process."""

    started_at: float
    grace_seconds: float

    def delay(self, tries: int, now: float) -> float | None:
        """Return the seconds until the next try; None if no more is to be made.

        ``tries`` is how often the port was tried in vain.
        """
        remaining = self.started_at + self.grace_seconds + MARGIN_SECONDS - now
        if remaining <= 0.0:
            return None
        factor = DELAY_FACTOR ** min(tries - 1, 16)
        return min(FIRST_DELAY_SECONDS * factor, MAX_DELAY_SECONDS, remaining)
