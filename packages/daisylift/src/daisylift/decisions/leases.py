"""Permit leases: a node lends idle slots to a peer, in batches and for a short term.

The lender counts lent slots as used until they are returned, or until the term, the
longest request and a margin have passed by the lender's clock. The borrower measures
the term by its own clock, starting before it sent the request. So lender and borrower
never use a slot at the same time, even if messages are lost, delayed, duplicated or
reordered, or if one of the processes was frozen.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from daisylift.decisions.configuration import ServerKey
from daisylift.decisions.confirmations import Masks
from daisylift.decisions.permit import BorrowedSlots, LeaseKey
from daisylift.decisions.permit_ledger import PermitLedger
from daisylift.models import Claim, HandedOver

LEASE_TERM_SECONDS = 4.0
LOAN_MARGIN_SECONDS = 0.5
CLOCK_RATE_MARGIN = 0.01  # by which the rates of two clocks may differ
MAX_LOANS = 4096
MAX_PENDING_REQUESTS = 256


@dataclass(frozen=True, slots=True)
class LeaseAsk:
    """A borrower's request for slots of a service, or to renew a lease.

    In a renewal, ``held`` lists the slots that the borrower still has, as bits.
    """

    number: int
    lender: int
    service: str
    count: int = 0
    renew: LeaseKey | None = None
    held: Mapping[ServerKey, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lender's reply; the term starts when the borrower sent its request.

    ``ask`` is the number of that request.
    """

    ask: int
    lease: LeaseKey
    masks: Mapping[ServerKey, int]
    term_seconds: float
    longest_request_seconds: float


@dataclass(frozen=True, slots=True)
class LeaseReturn:
    """Slots that a borrower returns and will not use again under this lease."""

    lease: LeaseKey
    masks: Mapping[ServerKey, int]


@dataclass(slots=True)
class Loan:
    """Slots lent under one lease, counted as used until the time ``until``."""

    lease: LeaseKey
    masks: Masks
    until: float


def loan_seconds(term_seconds: float, longest_request_seconds: float) -> float:
    """Return how long a lender counts slots as used after it has lent them."""
    seconds = term_seconds + longest_request_seconds
    return seconds * (1 + CLOCK_RATE_MARGIN) + LOAN_MARGIN_SECONDS


class Lender:
    """Lends this node's own idle slots and tracks the loans."""

    def __init__(self, ledger: PermitLedger, incarnation: str) -> None:
        self.loans: dict[LeaseKey, Loan] = {}
        self._ledger = ledger
        self._incarnation = incarnation
        self._last_number = 0

    def grant(
        self,
        ask: LeaseAsk,
        now: float,
        spare: int,
        term_seconds: float = LEASE_TERM_SECONDS,
    ) -> LeaseGrant | None:
        """Lend at most ``spare`` slots, or renew; return the grant, or None."""
        self.expire(now)
        if self._ledger.ordinal is None or ask.lender != self._ledger.ordinal:
            return None
        if ask.renew is not None:
            return self._renew(ask, now, term_seconds)
        masks = self._choose(ask.service, min(ask.count, spare), now)
        if not masks or len(self.loans) >= MAX_LOANS:
            return None
        self._last_number += 1
        lease = LeaseKey(self._ledger.ordinal, self._incarnation, self._last_number)
        seconds = self._ledger.request_seconds(ask.service)
        until = now + loan_seconds(term_seconds, seconds)
        self.loans[lease] = Loan(lease, dict(masks), until)
        for server, mask in masks.items():
            self._ledger.lend(server, mask)
        return LeaseGrant(ask.number, lease, masks, term_seconds, seconds)

    def accept_return(self, returned: LeaseReturn) -> bool:
        """Free slots that a borrower returned; return whether the lease was active."""
        loan = self.loans.get(returned.lease)
        if loan is None:
            return False
        for server, mask in returned.masks.items():
            self._end_loan(loan, server, mask)
        return True

    def inherit(self, predecessor: Claim, now: float) -> None:
        """Count as lent the slots that a predecessor had lent out or in use."""
        for entry in predecessor.handed_over:
            lease = LeaseKey(predecessor.ordinal, predecessor.incarnation, entry.lease)
            loan = self.loans.setdefault(lease, Loan(lease, {}, now))
            server = ServerKey(entry.service, entry.server)
            mask = int(entry.slots, 16)
            loan.masks[server] = loan.masks.get(server, 0) | mask
            loan.until = max(loan.until, now + entry.seconds)
            self._ledger.inherit(server, mask, predecessor.confirmed_version)

    def slots_to_hand_over(self, now: float) -> tuple[HandedOver, ...]:
        """Return the slots that a successor has to count as lent if this node stops."""
        entries = [
            _handed_over(server, mask, 0, self._ledger.request_seconds(server.service))
            for server, mask in self._ledger.in_use()
        ]
        for loan in self.loans.values():
            seconds = max(0.0, loan.until - now)
            for server, mask in loan.masks.items():
                entries.append(_handed_over(server, mask, loan.lease.number, seconds))
        return tuple(entries)

    def expire(self, now: float) -> bool:
        """Free slots whose lease and requests have ended; return whether any were."""
        ended = [loan for loan in self.loans.values() if loan.until <= now]
        for loan in ended:
            for server, mask in list(loan.masks.items()):
                self._end_loan(loan, server, mask)
        return bool(ended)

    def _renew(
        self, ask: LeaseAsk, now: float, term_seconds: float
    ) -> LeaseGrant | None:
        loan = self.loans.get(ask.renew)
        if loan is None or not self._still_owns(loan):
            return None
        for server, mask in list(loan.masks.items()):
            self._end_loan(loan, server, mask & ~ask.held.get(server, 0))
        if ask.renew not in self.loans:
            return None
        seconds = self._ledger.request_seconds(ask.service)
        loan.until = max(loan.until, now + loan_seconds(term_seconds, seconds))
        masks = dict(loan.masks)
        return LeaseGrant(ask.number, loan.lease, masks, term_seconds, seconds)

    def _still_owns(self, loan: Loan) -> bool:
        """Return whether this node still owns all slots of the loan.

        Slots that it has lost must not be extended, as their new owners wait for this
        node's confirmation.
        """
        return all(
            self._ledger.still_owns(server, mask) for server, mask in loan.masks.items()
        )

    def _choose(self, service: str, count: int, now: float) -> Masks:
        """Choose slots one by one, each from the server with the most idle slots."""
        masks: Masks = {}
        idle = dict(self._ledger.idle_masks(service, now))
        for _ in range(count):
            server = max(idle, key=lambda s: idle[s].bit_count(), default=None)
            if server is None or not idle[server]:
                break
            slot = idle[server] & -idle[server]
            idle[server] &= ~slot
            masks[server] = masks.get(server, 0) | slot
        return masks

    def _end_loan(self, loan: Loan, server: ServerKey, mask: int) -> None:
        mask &= loan.masks.get(server, 0)
        if not mask:
            return
        self._ledger.end_loan(server, mask)
        loan.masks[server] &= ~mask
        if not loan.masks[server]:
            del loan.masks[server]
        if not loan.masks:
            del self.loans[loan.lease]


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    request: LeaseAsk
    requested_at: float


class Borrower:
    """Requests slots from peers and uses them only within the term.

    Requests are numbered from ``first_number`` on. A restarted process must not reuse
    the numbers of its predecessor, whose grants may still be in transit.
    """

    def __init__(self, ledger: PermitLedger, first_number: int = 0) -> None:
        self._ledger = ledger
        self._last_number = first_number
        self._pending: dict[int, _PendingRequest] = {}

    def request(self, lender: int, service: str, count: int, now: float) -> LeaseAsk:
        """Return a request for new slots; the term starts at ``now``."""
        return self._add_pending(
            LeaseAsk(self._next_number(), lender, service, count), now
        )

    def request_renewal(self, lease: LeaseKey, now: float) -> LeaseAsk | None:
        """Return a request to renew a lease, or None if none of its slots are held."""
        held = {s.server: s.mask for s in self._ledger.borrowed() if s.lease == lease}
        if not held:
            return None
        service = next(iter(held)).service
        ask = LeaseAsk(
            self._next_number(), lease.lender, service, renew=lease, held=held
        )
        return self._add_pending(ask, now)

    def accept(self, grant: LeaseGrant, now: float) -> LeaseReturn | None:
        """Use the granted slots; return those that must be given back at once.

        A grant that this process did not request is ignored rather than returned: an
        earlier process on this VM may have used the slots, so the lender must count
        them as lent until the loan expires.
        """
        pending = self._pending.pop(grant.ask, None)
        existing = [s for s in self._ledger.borrowed() if s.lease == grant.lease]
        if pending is None:
            return None
        valid_until = pending.requested_at + grant.term_seconds
        if pending.request.renew is not None:
            _extend(existing, grant, valid_until)
            return None
        if existing or valid_until <= now:
            return None if existing else LeaseReturn(grant.lease, grant.masks)
        for server, mask in grant.masks.items():
            self._ledger.borrow(
                BorrowedSlots(
                    lease=grant.lease,
                    server=server,
                    mask=mask,
                    valid_until=valid_until,
                    longest_request_seconds=grant.longest_request_seconds,
                )
            )
        return None

    def drop_request(self, number: int) -> None:
        """Drop a pending request, so that a late grant for it is ignored."""
        self._pending.pop(number, None)

    def give_back(self, lease: LeaseKey, count: int | None = None) -> LeaseReturn:
        """Return idle slots of a lease to the lender: all, or at most ``count``."""
        masks: Masks = {}
        for slots in list(self._ledger.borrowed()):
            if slots.lease != lease:
                continue
            mask = slots.mask & ~slots.used
            if count is not None:
                mask = _lowest_bits(mask, count)
                count -= mask.bit_count()
            if mask:
                masks[slots.server] = mask
                self._ledger.give_back(slots, mask)
        return LeaseReturn(lease, masks)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _add_pending(self, ask: LeaseAsk, now: float) -> LeaseAsk:
        while len(self._pending) >= MAX_PENDING_REQUESTS:
            del self._pending[next(iter(self._pending))]
        self._pending[ask.number] = _PendingRequest(ask, now)
        return ask


def _handed_over(
    server: ServerKey, mask: int, lease: int, seconds: float
) -> HandedOver:
    return HandedOver(
        service=server.service,
        server=server.server,
        slots=f'{mask:x}',
        lease=lease,
        seconds=seconds * (1 + CLOCK_RATE_MARGIN),
    )


def _extend(
    existing: Sequence[BorrowedSlots], grant: LeaseGrant, valid_until: float
) -> None:
    for slots in existing:
        if slots.mask & ~grant.masks.get(slots.server, 0) == 0:
            slots.valid_until = max(slots.valid_until, valid_until)


def _lowest_bits(mask: int, count: int) -> int:
    chosen = 0
    for _ in range(count):
        chosen |= (mask & ~chosen) & -(mask & ~chosen)
    return chosen
