"""The permits of this node: which slots of which backend servers it may use."""

import secrets
from collections.abc import Callable, Mapping

from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.decisions.leases import Borrower, Lender
from daisylift.decisions.permit import UNKNOWN_OUTCOME_GRACE_SECONDS, Permit
from daisylift.decisions.permit_ledger import PermitLedger
from daisylift.models import Claim
from daisylift_node.process import clock

__all__ = ['Permit', 'PermitPool']

ASK_NUMBER_BITS = 62

Clock = Callable[[], float]
Listener = Callable[[], None]


class PermitPool:
    """Hands out permits, and tells its listeners when slots may be free again."""

    def __init__(self, incarnation: str = '', now: Clock = clock.now) -> None:
        self.ledger = PermitLedger()
        self.lender = Lender(self.ledger, incarnation)
        self.borrower = Borrower(self.ledger, secrets.randbits(ASK_NUMBER_BITS))
        self.now = now
        self._is_held = False
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call the listener when slots may have become free, but for a release."""
        self._listeners.append(listener)

    def take_ordinal(self, claim: Claim, held_until: Mapping[str, float]) -> None:
        """Take on the share of a claimed ordinal.

        ``held_until`` gives, by service, how long a predecessor's requests may run.
        """
        self.ledger.set_ordinal(claim.ordinal, claim.epoch, held_until)
        self.announce()

    def drop_ordinal(self) -> None:
        """Stop using own slots, as another process may get the ordinal."""
        self.ledger.drop_ordinal()
        self.announce()

    def set_configuration(self, configuration: Configuration) -> None:
        """Take on the share under a later configuration."""
        self.ledger.set_configuration(configuration, self.now())
        self.announce()

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
            seconds = max(0.0, seconds_left) + UNKNOWN_OUTCOME_GRACE_SECONDS
        self.ledger.release(permit, now, uncertain_until=now + seconds)

    def mark_cold(self, server: ServerKey) -> None:
        """Let a server that starts cold get its slots one after another."""
        self.ledger.mark_cold(server, self.now())

    def confirmed(self, ordinal: int) -> int:
        """Return the version that an ordinal is known to have confirmed, or 0."""
        if ordinal == self.ledger.ordinal:
            return self.ledger.confirmed_version(self.now()) or 0
        return self.ledger.confirmations.confirmed(ordinal)

    async def tick(self) -> None:
        """Free the slots whose doubt or lease is over, and tell those who wait."""
        now = self.now()
        is_expired = self.ledger.expire(now)
        if self.lender.expire(now) or is_expired or self._ends_hold(now):
            self.announce()

    def _ends_hold(self, now: float) -> bool:
        """Say whether the wait for a predecessor has ended since the last call."""
        before, self._is_held = self._is_held, self.ledger.awaits_predecessor(now)
        return before and not self._is_held

    def announce(self) -> None:
        """Tell the listeners that slots may have become free."""
        for listener in self._listeners:
            listener()
