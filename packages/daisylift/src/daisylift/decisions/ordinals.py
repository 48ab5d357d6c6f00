"""Decisions on which VM holds which ordinal: claims, fence times and vacancies.

A claim needs no renewal. Another VM may take an ordinal only when its claim was
released, or when the holder's VM has been missing from the platform's VM list for the
fence time, measured by the taker's own monotonic clock. Every step is a write that is
conditional on the stored version that the decision was based on.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.ring import stable_hash
from daisylift.models import Claim, RosterEntry, Vacancy

MAINTAINERS_PER_FAILURE_DOMAIN = 2


@dataclass(frozen=True, slots=True)
class StoredClaim:
    """The platform's record for an ordinal; version 0 if there is none."""

    ordinal: int
    version: int = 0
    record: Claim | Vacancy | None = None


@dataclass(frozen=True, slots=True)
class AlreadyHeld:
    """The process already holds the ordinal; the reply to its write was lost."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Take:
    """Write a claim with this epoch, provided the stored version is unchanged.

    ``predecessor`` is the claim that is replaced, if there was one. ``is_fenced``
    means that the predecessor's requests and leases have ended.
    """

    ordinal: int
    version: int
    epoch: int
    predecessor: Claim | None = None
    is_fenced: bool = True


@dataclass(frozen=True, slots=True)
class Vacate:
    """Write a vacancy with this epoch, provided the stored version is unchanged."""

    ordinal: int
    version: int
    epoch: int


@dataclass(frozen=True, slots=True)
class RecordEpoch:
    """Append the epoch to the change log, which lags behind the stored claim."""

    ordinal: int
    epoch: int


@dataclass(frozen=True, slots=True)
class FenceTimes:
    """How long other nodes wait, in seconds, after first seeing a VM as absent.

    ``fence_seconds`` covers the longest lease and the longest request after it.
    Another ``vacancy_delay_seconds`` pass before the ordinal is declared vacant, so
    that a replacement VM has time to take it.
    """

    fence_seconds: float
    vacancy_delay_seconds: float


@dataclass(slots=True)
class Absences:
    """When VMs were first seen absent and claims unused, by this node's clock.

    Unused claims are keyed by ordinal and stored version.
    """

    own_vm: str
    _last_list: frozenset[str] | None = None
    _since_by_vm: dict[str, float] = field(default_factory=dict)
    _idle_since_by_version: dict[tuple[int, int], float] = field(default_factory=dict)

    def observe(
        self, vms: Iterable[str], claims: Iterable[StoredClaim], now: float
    ) -> bool:
        """Record a VM list and the claims, both read before ``now``.

        Return False and change nothing if the list lacks this VM itself: such a list
        is wrong, and no VM may be considered gone because of it.
        """
        listed = frozenset(vms)
        if self.own_vm not in listed:
            return False
        claims = list(claims)
        holders = {c.record.vm for c in claims if isinstance(c.record, Claim)}
        self._since_by_vm = {
            vm: self._since_by_vm.get(vm, now) for vm in holders - listed
        }
        self._idle_since_by_version = {
            (c.ordinal, c.version): self._idle_since_by_version.get(
                (c.ordinal, c.version), now
            )
            for c in claims
            if c.record is None or (isinstance(c.record, Claim) and c.record.released)
        }
        return True

    def absent_seconds(self, vm: str, now: float) -> float:
        """Return for how long the VM has been absent, or -1.0 if it is listed."""
        since = self._since_by_vm.get(vm)
        return -1.0 if since is None else now - since

    def idle_seconds(self, stored: StoredClaim, now: float) -> float:
        """Return for how long the ordinal has been unclaimed or released, or -1.0."""
        since = self._idle_since_by_version.get((stored.ordinal, stored.version))
        return -1.0 if since is None else now - since


def choose_claim(
    configuration: Configuration,
    stored_by_ordinal: Mapping[int, StoredClaim],
    absences: Absences,
    fence: FenceTimes,
    *,
    vm: str,
    incarnation: str,
    failure_domain: str,
    now: float,
) -> AlreadyHeld | Take | None:
    """Return the next step of a VM that holds no ordinal, or None to wait."""
    entries = _candidate_entries(configuration.policy.roster, failure_domain, vm)
    stored = [
        stored_by_ordinal.get(entry.ordinal, StoredClaim(entry.ordinal))
        for entry in entries
    ]
    own = [s for s in stored if isinstance(s.record, Claim) and s.record.vm == vm]
    for candidate in own:
        if candidate.record.incarnation == incarnation:
            return AlreadyHeld(candidate.record)
    for candidate in own:
        return Take(
            ordinal=candidate.ordinal,
            version=candidate.version,
            epoch=candidate.record.epoch,
            predecessor=candidate.record,
            is_fenced=candidate.record.released,
        )
    for candidate in stored:
        step = _take_if_free(candidate, configuration)
        if step is not None:
            return step
    for candidate in stored:
        if absences.absent_seconds(candidate.record.vm, now) >= fence.fence_seconds:
            return Take(
                candidate.ordinal,
                candidate.version,
                candidate.record.epoch,
                candidate.record,
            )
    return None


def choose_maintenance(
    configuration: Configuration,
    stored_by_ordinal: Mapping[int, StoredClaim],
    absences: Absences,
    fence: FenceTimes,
    now: float,
) -> list[Vacate | RecordEpoch]:
    """Return what a roster maintainer writes now: vacancies and unlogged epochs."""
    steps: list[Vacate | RecordEpoch] = []
    roster = {entry.ordinal for entry in configuration.policy.roster}
    for ordinal in sorted(roster | stored_by_ordinal.keys()):
        stored = stored_by_ordinal.get(ordinal, StoredClaim(ordinal))
        logged = configuration.epochs.get(ordinal, 0)
        if stored.record is not None and stored.record.epoch > logged:
            steps.append(RecordEpoch(ordinal, stored.record.epoch))
        elif _should_vacate(stored, absences, fence, now):
            epoch = logged if stored.record is None else stored.record.epoch
            # Vacancies have odd epochs: write the next one.
            steps.append(Vacate(ordinal, stored.version, epoch + 1 + epoch % 2))
    return steps


def has_unheld_ordinal(configuration: Configuration, alive: Collection[int]) -> bool:
    """Return whether any non-vacant ordinal lacks a holder known to be alive."""
    roster = {entry.ordinal for entry in configuration.policy.roster}
    expected = (roster | configuration.occupied) - configuration.vacant
    return not expected.issubset(alive)


def is_roster_maintainer(configuration: Configuration, ordinal: int) -> bool:
    """Return whether the holder of the ordinal maintains the roster.

    Roster maintainers clean up the claims of VMs that are gone. Each failure domain
    has ``MAINTAINERS_PER_FAILURE_DOMAIN`` of them, so that only a few nodes read the
    platform's VM list and the claims, however large the fleet is.
    """
    vacant = configuration.vacant
    domains = {e.ordinal: e.failure_domain for e in configuration.policy.roster}
    if ordinal not in domains:
        return False
    same_domain = [
        other
        for other, domain in domains.items()
        if domain == domains[ordinal] and other not in vacant
    ]
    same_domain.sort(key=lambda other: stable_hash(f'warden/{other}'))
    return ordinal in same_domain[:MAINTAINERS_PER_FAILURE_DOMAIN]


def _candidate_entries(
    roster: Iterable[RosterEntry], failure_domain: str, vm: str
) -> list[RosterEntry]:
    """Return the domain's roster entries in an order that depends on the VM.

    VMs that start at the same time then rarely compete for the same ordinal.
    """
    same_domain = [entry for entry in roster if entry.failure_domain == failure_domain]
    return sorted(same_domain, key=lambda entry: stable_hash(f'{vm}/{entry.ordinal}'))


def _take_if_free(stored: StoredClaim, configuration: Configuration) -> Take | None:
    match stored.record:
        case None:
            # Claims have even epochs.
            epoch = configuration.epochs.get(stored.ordinal, 0)
            return Take(stored.ordinal, stored.version, epoch + epoch % 2)
        case Vacancy(epoch=epoch):
            return Take(stored.ordinal, stored.version, epoch + 1)
        case Claim(released=True, epoch=epoch) as claim:
            return Take(stored.ordinal, stored.version, epoch, claim)
    return None


def _should_vacate(
    stored: StoredClaim, absences: Absences, fence: FenceTimes, now: float
) -> bool:
    match stored.record:
        case None:
            return absences.idle_seconds(stored, now) >= fence.vacancy_delay_seconds
        case Claim(released=True) as claim:
            lent = max((h.seconds for h in claim.handed_over), default=0.0)
            idle = absences.idle_seconds(stored, now)
            return idle >= lent + fence.vacancy_delay_seconds
        case Claim(vm=vm):
            gone = absences.absent_seconds(vm, now)
            return gone >= fence.fence_seconds + fence.vacancy_delay_seconds
    return False
