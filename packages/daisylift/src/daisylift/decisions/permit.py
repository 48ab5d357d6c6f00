"""A permit for one request, and the slots that a node borrows from another."""

import math
from dataclasses import dataclass

from daisylift.decisions.configuration import ServerKey

DEFAULT_REQUEST_SECONDS = 5.0
DOUBT_GRACE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class LeaseKey:
    """Names a permit lease: who lent it, and the lender's number for it."""

    lender: int
    incarnation: str
    number: int


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to run one request at a backend server, on one of its slots.

    A request may start until ``valid_until``. It must have ended
    ``longest_request_seconds`` after its start, and so has to be given a deadline of
    at most ``timeout_seconds``.
    """

    server: ServerKey
    slot: int
    valid_until: float = math.inf
    longest_request_seconds: float = DEFAULT_REQUEST_SECONDS + DOUBT_GRACE_SECONDS
    lease: LeaseKey | None = None

    @property
    def timeout_seconds(self) -> float:
        """Return the most time that a request on this permit may be given."""
        return self.longest_request_seconds - DOUBT_GRACE_SECONDS

    def may_start(self, now: float, seconds_left: float = 0.0) -> bool:
        """Say whether a request with so much time left may start now.

        Ask just before the first byte. On a borrowed slot a request must not be given
        more time than the lender counts on.
        """
        if self.lease is not None and seconds_left > self.timeout_seconds:
            return False
        return now < self.valid_until


@dataclass(slots=True)
class BorrowedSlots:
    """Slots of one server under a permit lease, as the borrower sees them."""

    lease: LeaseKey
    server: ServerKey
    mask: int
    valid_until: float
    longest_request_seconds: float
    used: int = 0

    def free(self, now: float) -> int:
        """Return the slot indexes on which a request may start now, as bits."""
        if now >= self.valid_until:
            return 0
        return self.mask & ~self.used

    def take(self, slot: int) -> Permit:
        """Use a free slot and return the permit for it."""
        self.used |= 1 << slot
        return Permit(
            server=self.server,
            slot=slot,
            valid_until=self.valid_until,
            longest_request_seconds=self.longest_request_seconds,
            lease=self.lease,
        )
