"""Permits for single requests, and slots that a node borrows from a peer."""

import math
from dataclasses import dataclass

from daisylift.decisions.configuration import ServerKey

DEFAULT_REQUEST_SECONDS = 5.0
UNKNOWN_OUTCOME_GRACE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class LeaseKey:
    """Identifies a permit lease by its lender and the lender's number for it."""

    lender: int
    incarnation: str
    number: int


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to run one request on one slot of a backend server.

    The request may start until ``valid_until``. It must end within
    ``longest_request_seconds`` of its start, so its timeout must not be more than
    ``timeout_seconds``.
    """

    server: ServerKey
    slot: int
    valid_until: float = math.inf
    longest_request_seconds: float = (
        DEFAULT_REQUEST_SECONDS + UNKNOWN_OUTCOME_GRACE_SECONDS
    )
    lease: LeaseKey | None = None

    @property
    def timeout_seconds(self) -> float:
        """Return the longest timeout that a request on this permit may have."""
        return self.longest_request_seconds - UNKNOWN_OUTCOME_GRACE_SECONDS

    def may_start(self, now: float, remaining_seconds: float = 0.0) -> bool:
        """Return whether a request with that much time remaining may start now.

        Call this just before the first byte is sent. On a borrowed slot, the request
        must not have more time than the lender allows for.
        """
        if self.lease is not None and remaining_seconds > self.timeout_seconds:
            return False
        return now < self.valid_until


@dataclass(slots=True)
class BorrowedSlots:
    """Slots of one server under a permit lease, on the borrower's side."""

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
        """Mark a free slot as used and return a permit for it."""
        self.used |= 1 << slot
        return Permit(
            server=self.server,
            slot=slot,
            valid_until=self.valid_until,
            longest_request_seconds=self.longest_request_seconds,
            lease=self.lease,
        )
