"""What there is in the small world for slot shares: nodes, messages, requests."""

from dataclasses import dataclass, field

from daisylift.decisions.configuration import ServerKey
from daisylift.decisions.leases import (
    LEASE_TERM_SECONDS,
    Borrower,
    LeaseAsk,
    LeaseGrant,
    LeaseReturn,
    Lender,
    loan_seconds,
)
from daisylift.decisions.ordinals import Absences, FenceTimes, Take, Vacate
from daisylift.decisions.permit import Permit
from daisylift.decisions.permit_ledger import PermitLedger
from daisylift.models import Claim

PATIENCE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Confirmed:
    """A node's word on the version that its ordinal has confirmed."""

    ordinal: int
    version: int


Message = Confirmed | LeaseAsk | LeaseGrant | LeaseReturn


@dataclass(slots=True)
class Running:
    """A request at a backend server; it ends at its deadline if not before."""

    server: ServerKey
    slot: int
    deadline: float
    permit: Permit
    node: str


class TwoRequestsOnOneSlotError(AssertionError):
    """The promise is broken."""


@dataclass(slots=True)
class Node:
    """One process on a VM; all it knows is in here."""

    vm: str
    incarnation: str
    domain: str
    clock_rate: float
    clock_offset: float
    ledger: PermitLedger = field(default_factory=PermitLedger)
    claim: Claim | None = None
    claim_version: int = 0
    take: Take | None = None
    taken_at: float = 0.0
    frozen: bool = False
    permits: list[Permit] = field(default_factory=list)
    lender: Lender = field(init=False)
    borrower: Borrower = field(init=False)
    absences: Absences = field(init=False)
    plan: Take | Vacate | None = None

    def __post_init__(self) -> None:
        """Start with no more than the process has at its start."""
        self.lender = Lender(self.ledger, self.incarnation)
        self.borrower = Borrower(self.ledger, int(self.incarnation, 16) << 16)
        self.absences = Absences(self.vm)

    def fence(self) -> FenceTimes:
        """Return how long this node waits after a VM has gone."""
        longest = self.ledger.longest_request_seconds()
        return FenceTimes(loan_seconds(LEASE_TERM_SECONDS, longest), PATIENCE_SECONDS)
