"""Decides how long after its end a watch of the store may still be answered.

Load pattern: the store is silent for a moment in which all VMs begin their next watch.
None of these watches is ever answered, so changes are missed until they are given up;
a store that is only slow answers all of them late. The margin is short, and long after
a watch that was not answered in time, until answers are prompt again.
"""

from dataclasses import dataclass

MIN_SECONDS = 0.4
MAX_SECONDS = 1.0
DELAY_FACTOR = 2.0


@dataclass(slots=True)
class WatchMargin:
    """The time in seconds that is added to the time for which a watch waits."""

    seconds: float = MIN_SECONDS

    def record_answer(self, delay_seconds: float) -> None:
        """Record an answer so many seconds after the end of the wait."""
        wanted = DELAY_FACTOR * delay_seconds
        self.seconds = min(MAX_SECONDS, max(MIN_SECONDS, wanted))

    def record_timeout(self) -> None:
        """Record that a watch was given up."""
        self.seconds = MAX_SECONDS
