"""Time limits of requests that wait, which a planned stop may shorten."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from daisylift.decisions.entry_stop import EntryStopPlan


class WaitLimits:
    """Ends waits in time, also those that had begun before a planned stop."""

    def __init__(self) -> None:
        self.plan: EntryStopPlan | None = None
        self._deadlines_by_timeout: dict[asyncio.Timeout, float] = {}

    def begin_stop(self, plan: EntryStopPlan) -> None:
        """Apply the plan of a stop to all waits, present and future."""
        self.plan = plan
        for timeout, deadline_at in self._deadlines_by_timeout.items():
            ends_at = timeout.when()
            if ends_at is not None and not timeout.expired():
                timeout.reschedule(min(ends_at, plan.waits_until(deadline_at)))

    def ends_by_stop_at(self, deadline_at: float) -> float:
        """Return when the stop ends the wait of a request; infinity if it does not."""
        return self.plan.waits_until(deadline_at) if self.plan else math.inf

    @asynccontextmanager
    async def limit(self, until: float, deadline_at: float) -> AsyncIterator[None]:
        """Raise TimeoutError at ``until``, or when a stop ends the wait before.

        ``deadline_at`` is the request's. Times are those of the event loop.
        """
        ends_at = min(until, self.ends_by_stop_at(deadline_at))
        async with asyncio.timeout_at(ends_at) as timeout:
            self._deadlines_by_timeout[timeout] = deadline_at
            try:
                yield
            finally:
                del self._deadlines_by_timeout[timeout]
