"""The permits of this node: the slots of backend servers that it may use."""

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
    """Issues permits, and notifies listeners when slots may have become free."""

    def __init__(self, incarnation: str = '', now: Clock = clock.now) -> None:
        self.ledger = PermitLedger()
        self.lender = Lender(self.ledger, incarnation)
        self.borrower = Borrower(self.ledger, secrets.randbits(ASK_NUMBER_BITS))
        self.now = now
        self._is_held = False
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call the listener when slots may have become free, except by a release."""
        self._listeners.append(listener)

    def take_ordinal(self, claim: Claim, held_until: Mapping[str, float]) -> None:
        """Start to use the share of a claimed ordinal.

        ``held_until`` gives, by service, the time until which requests of the
        ordinal's previous holder may run.
        """
        self.ledger.set_ordinal(claim.ordinal, claim.epoch, held_until)
        self.notify_listeners()

    def drop_ordinal(self) -> None:
        """Stop using the node's own slots, as another process may get the ordinal."""
        self.ledger.drop_ordinal()
        self.notify_listeners()

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a later configuration to this node's share of the slots."""
        self.ledger.set_configuration(configuration, self.now())
        self.notify_listeners()

    def free_slots(self, server: ServerKey) -> int:
        """Return the number of the server's slots on which a request can start now."""
        return self.ledger.free_slots(server, self.now())

    def take(self, server: ServerKey) -> Permit | None:
        """Return a permit for a slot of the server, or None if no slot is free."""
        return self.ledger.take(server, self.now())

    def may_start(self, permit: Permit) -> bool:
        """Return whether a request may still start; call just before the first byte."""
        return permit.may_start(self.now())

    def release(
        self,
        permit: Permit,
        *,
        outcome_unknown: bool = False,
        remaining_seconds: float | None = None,
    ) -> None:
        """Release a permit after its request has ended.

        With ``outcome_unknown``, the request may still run at the backend server. Its
        slot then stays out of use until the request's deadline, ``remaining_seconds``
        from now, plus UNKNOWN_OUTCOME_GRACE_SECONDS. Without ``remaining_seconds``, it
        stays out of use for the longest duration of a request.
        """
        now = self.now()
        if not outcome_unknown:
            self.ledger.release(permit, now)
            return
        seconds = permit.longest_request_seconds
        if remaining_seconds is not None:
            seconds = max(0.0, remaining_seconds) + UNKNOWN_OUTCOME_GRACE_SECONDS
        self.ledger.release(permit, now, uncertain_until=now + seconds)

    def mark_cold(self, server: ServerKey) -> None:
        """Bring the slots of a server that starts cold into use one after another."""
        self.ledger.mark_cold(server, self.now())

    def confirmed(self, ordinal: int) -> int:
        """Return the latest version known to be confirmed by an ordinal, or 0."""
        if ordinal == self.ledger.ordinal:
            return self.ledger.confirmed_version(self.now()) or 0
        return self.ledger.confirmations.confirmed(ordinal)

    async def tick(self) -> None:
        """Free slots whose uncertainty or lease has expired, and notify listeners."""
        now = self.now()
        is_expired = self.ledger.expire(now)
        if self.lender.expire(now) or is_expired or self._hold_has_ended(now):
            self.notify_listeners()

    def _hold_has_ended(self, now: float) -> bool:
        """Return whether the wait for a predecessor has ended since the last call."""
        before, self._is_held = self._is_held, self.ledger.awaits_predecessor(now)
        return before and not self._is_held

    def notify_listeners(self) -> None:
        """Notify the listeners that slots may have become free."""
        for listener in self._listeners:
            listener()
