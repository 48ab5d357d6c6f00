"""The permits of this node: which slots of which backend servers it may use."""

from collections.abc import Callable

from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.decisions.permit import Permit
from daisylift.decisions.permits import DOUBT_GRACE_SECONDS, PermitLedger
from daisylift_node.process import clock

__all__ = ['Permit', 'PermitPool']

Clock = Callable[[], float]
Listener = Callable[[], None]


class PermitPool:
    """Hands out permits, and tells its listeners when slots may be free again."""

    def __init__(self, now: Clock = clock.now) -> None:
        self.ledger = PermitLedger()
        self.now = now
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call the listener when slots may have become free, but for a release."""
        self._listeners.append(listener)

    def set_ordinal(self, ordinal: int, epoch: int = 0) -> None:
        """Take on the share of an ordinal."""
        if self.ledger.ordinal != ordinal or self.ledger.epoch != epoch:
            self.ledger.set_ordinal(ordinal, epoch)
        self._announce()

    def set_configuration(self, configuration: Configuration) -> None:
        """Take on the share under a later configuration."""
        self.ledger.set_configuration(configuration, self.now())
        self._announce()

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
            return
        seconds = permit.longest_request_seconds
        if seconds_left is not None:
            seconds = max(0.0, seconds_left) + DOUBT_GRACE_SECONDS
        self.ledger.release(permit, now, doubtful_until=now + seconds)

    def mark_cold(self, server: ServerKey) -> None:
        """Let a server that starts cold get its slots one after another."""
        self.ledger.mark_cold(server, self.now())

    async def tick(self) -> None:
        """Free the slots whose doubt is over, and tell those who wait."""
        if self.ledger.expire(self.now()):
            self._announce()

    def _announce(self) -> None:
        for listener in self._listeners:
            listener()
