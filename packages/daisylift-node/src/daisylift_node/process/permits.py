"""The permits of this node: which slots of which backend servers it may use."""

import asyncio
from collections import deque
from collections.abc import Callable

from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.decisions.permit import Permit
from daisylift.decisions.permits import DOUBT_GRACE_SECONDS, PermitLedger
from daisylift_node.process import clock

__all__ = ['Permit', 'PermitPool']

Clock = Callable[[], float]


class PermitPool:
    """Hands out permits, and wakes those who wait for a slot to be free."""

    def __init__(self, now: Clock = clock.now) -> None:
        self.ledger = PermitLedger()
        self.now = now
        self.waiting_by_service: dict[str, deque[asyncio.Future[None]]] = {}

    def set_ordinal(self, ordinal: int, epoch: int = 0) -> None:
        """Take on the share of an ordinal."""
        if self.ledger.ordinal != ordinal or self.ledger.epoch != epoch:
            self.ledger.set_ordinal(ordinal, epoch)
        self.wake_all()

    def set_configuration(self, configuration: Configuration) -> None:
        """Take on the share under a later configuration."""
        self.ledger.set_configuration(configuration, self.now())
        self.wake_all()

    def free_slots(self, server: ServerKey) -> int:
        """Return on how many slots of the server this node could start a request."""
        return self.ledger.free_slots(server, self.now())

    def take(self, server: ServerKey) -> Permit | None:
        """Return a permit for the server, or None when no slot is free."""
        return self.ledger.take(server, self.now())

    def may_start(self, permit: Permit) -> bool:
        """Say whether a request may still start; ask just before the first byte."""
        return permit.may_start(self.now())

    def release(
        self,
        permit: Permit,
        *,
        in_doubt: bool = False,
        seconds_left: float | None = None,
    ) -> None:
        """Give a permit back after its request has ended.

        ``in_doubt`` says that the request may still run at the backend server: the
        slot stays out of use until the request's deadline, ``seconds_left`` from now,
        and a grace are over. Without it the longest time of a request is assumed.
        """
        now = self.now()
        if not in_doubt:
            self.ledger.release(permit, now)
            self._wake(permit.server.service)
            return
        seconds = permit.longest_request_seconds
        if seconds_left is not None:
            seconds = max(0.0, seconds_left) + DOUBT_GRACE_SECONDS
        self.ledger.release(permit, now, doubtful_until=now + seconds)

    def mark_cold(self, server: ServerKey) -> None:
        """Let a server that starts cold get its slots one after another."""
        self.ledger.mark_cold(server, self.now())

    async def wait_freed(self, service: str, timeout_seconds: float) -> bool:
        """Wait until a slot of the service may have become free; False on timeout.

        Waiters wake in the order in which they came, one for each freed slot; a waiter
        that wakes must try to take, and pass the chance on when it does not use it.
        """
        waiting = self.waiting_by_service.setdefault(service, deque())
        future = asyncio.get_running_loop().create_future()
        waiting.append(future)
        try:
            async with asyncio.timeout(timeout_seconds):
                await future
            return True
        except (TimeoutError, asyncio.CancelledError) as error:
            if future in waiting:
                waiting.remove(future)
            elif not future.cancelled():
                self._wake(service)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False

    def waiters(self, service: str) -> int:
        """Return how many requests wait for a slot of the service."""
        return len(self.waiting_by_service.get(service, ()))

    async def tick(self) -> None:
        """Free the slots whose doubt is over, and let all waiters look again."""
        self.ledger.expire(self.now())
        self.wake_all()

    def wake_all(self) -> None:
        """Let every waiter look again; more than one slot may have become free."""
        for service, waiting in self.waiting_by_service.items():
            for _ in range(len(waiting)):
                self._wake(service)

    def _wake(self, service: str) -> None:
        waiting = self.waiting_by_service.get(service)
        while waiting:
            future = waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
