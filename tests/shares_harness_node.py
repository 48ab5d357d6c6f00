"""Nodes, messages and requests of the simulation for slot shares."""

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

VACANCY_DELAY_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ConfirmedVersion:
    """A node's report of the version that its ordinal has confirmed."""

    ordinal: int
    version: int


Message = ConfirmedVersion | LeaseAsk | LeaseGrant | LeaseReturn


@dataclass(slots=True)
class RunningRequest:
    """A request that runs at a backend server, until its deadline at the latest."""

    server: ServerKey
    slot: int
    deadline: float
    permit: Permit
    node: str


class TwoRequestsOnOneSlotError(AssertionError):
    """Two requests use the same slot, or could start on it."""


@dataclass(slots=True)
class Node:
    """One process on a VM, with all of its state."""

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
        """Initialise the state of a process that has just started."""
        self.lender = Lender(self.ledger, self.incarnation)
        self.borrower = Borrower(self.ledger, int(self.incarnation, 16) << 16)
        self.absences = Absences(self.vm)

    def fence(self) -> FenceTimes:
        """Return how long this node waits after a VM is gone."""
        longest = self.ledger.longest_request_seconds()
        return FenceTimes(
            loan_seconds(LEASE_TERM_SECONDS, longest), VACANCY_DELAY_SECONDS
        )
