"""Member records, how they are merged, and the table of all members of one node.

A record has three parts that only increase within one incarnation: the member's
number together with its health, the flags ``leaving`` and ``stopped``, and the
details. Merging two records takes the higher value of each part. So lost, repeated
and reordered messages delay agreement between nodes but do not change its result.

Membership only guides where requests are sent. No safety property depends on it.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, replace

import xxhash

BUCKET_COUNT = 64
EVICT_GONE_AFTER_SECONDS = 3600.0


class MemberState(enum.Enum):
    """State of a member as seen by other members."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


class Health(enum.IntEnum):
    """Reported health of a member's process; at equal numbers the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


_STATE_BY_HEALTH = {
    Health.ALIVE: MemberState.ALIVE,
    Health.SUSPECT: MemberState.SUSPECT,
    Health.GONE: MemberState.GONE,
}


@dataclass(frozen=True, slots=True)
class MemberDetails:
    """What a member announces about itself.

    ``number`` is the number of the member's record at the time of the announcement.
    Addresses are host and port.
    """

    number: int
    failure_domain: str
    caller_address: tuple[str, int]
    peer_address: tuple[str, int]
    ordinal: int | None = None


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """The state of one VM as known to a node.

    Only the member itself increases ``number``, which refutes a suspicion, and only
    the member sets ``stopped``, at the end of a planned stop.
    """

    vm: str
    incarnation: str
    number: int
    details: MemberDetails
    health: Health = Health.ALIVE
    leaving: bool = False
    stopped: bool = False

    @property
    def state(self) -> MemberState:
        """Return the state as seen by other members."""
        if self.stopped or self.health is Health.GONE:
            return MemberState.GONE
        if self.leaving:
            return MemberState.LEAVING
        return _STATE_BY_HEALTH[self.health]


def merge(current: MemberRecord, incoming: MemberRecord) -> MemberRecord:
    """Merge two records of one VM; the order of the arguments does not matter."""
    if current.incarnation != incoming.incarnation:
        return max(current, incoming, key=lambda record: record.incarnation)
    latest = max(current, incoming, key=lambda record: (record.number, record.health))
    details = max(current.details, incoming.details, key=lambda d: d.number)
    return replace(
        latest,
        leaving=current.leaving or incoming.leaving,
        stopped=current.stopped or incoming.stopped,
        details=details,
    )


class MemberTable:
    """The records of all known VMs, including this one, and digests over them.

    ``since_by_vm`` has the monotonic time in seconds at which a member's incarnation,
    health or flags last changed. ``changes`` increases with each change of a record.
    """

    def __init__(self, own: MemberRecord) -> None:
        self.own_vm = own.vm
        self.by_vm: dict[str, MemberRecord] = {}
        self.since_by_vm: dict[str, float] = {}
        self.superseded = False
        self.changes = 0
        self._hash_by_vm: dict[str, int] = {}
        self._buckets = [0] * BUCKET_COUNT
        self._put(own, now=0.0)

    @property
    def own(self) -> MemberRecord:
        """Return the record of this VM."""
        return self.by_vm[self.own_vm]

    def apply(self, incoming: MemberRecord, now: float) -> MemberRecord | None:
        """Merge a received record; return the member's record if it changed, else None.

        A suspicion against this process is refuted with a higher number. A record of
        a later incarnation of this VM is not merged, but sets ``superseded``.
        """
        if incoming.vm == self.own_vm:
            return self._apply_to_own(incoming, now)
        current = self.by_vm.get(incoming.vm)
        merged = incoming if current is None else merge(current, incoming)
        if merged == current:
            return None
        self._put(merged, now)
        return merged

    def update_own(
        self,
        now: float,
        *,
        ordinal: int | None = None,
        leaving: bool = False,
        stopped: bool = False,
    ) -> MemberRecord:
        """Update this process's own record and return it; flags stay set once set."""
        own = self.own
        number = own.number + 1
        record = replace(
            own,
            number=number,
            health=Health.ALIVE,
            leaving=own.leaving or leaving,
            stopped=own.stopped or stopped,
            details=replace(own.details, number=number, ordinal=ordinal),
        )
        self._put(record, now)
        return record

    def mark_suspect(
        self, vm: str, incarnation: str, now: float
    ) -> MemberRecord | None:
        """Mark an unresponsive member as suspect; return the record if changed."""
        return self._worsen_health(vm, incarnation, Health.SUSPECT, now)

    def declare_gone(self, vm: str, now: float) -> MemberRecord | None:
        """Mark a member as gone; return the record if changed."""
        current = self.by_vm.get(vm)
        if current is None:
            return None
        return self._worsen_health(vm, current.incarnation, Health.GONE, now)

    def evict_gone(self, now: float) -> None:
        """Remove members that have been gone for ``EVICT_GONE_AFTER_SECONDS``."""
        for vm, record in list(self.by_vm.items()):
            if record.state is not MemberState.GONE or vm == self.own_vm:
                continue
            if now - self.since_by_vm[vm] >= EVICT_GONE_AFTER_SECONDS:
                del self.by_vm[vm], self.since_by_vm[vm]
                self.changes += 1

    def others(self, *states: MemberState) -> list[MemberRecord]:
        """Return the other members that are in one of the states."""
        return [
            record
            for vm, record in self.by_vm.items()
            if vm != self.own_vm and record.state in states
        ]

    def digest(self) -> int:
        """Return a digest of the table; members that are gone do not count."""
        total = 0
        for bucket in self._buckets:
            total ^= bucket
        return total

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._buckets)

    def differing_records(self, digests: Iterable[int]) -> list[MemberRecord]:
        """Return the records in buckets whose digests differ from this table's."""
        differing = {
            bucket
            for bucket, digest in enumerate(digests)
            if bucket < BUCKET_COUNT and digest != self._buckets[bucket]
        }
        return [r for vm, r in self.by_vm.items() if _bucket(vm) in differing]

    def _apply_to_own(self, incoming: MemberRecord, now: float) -> MemberRecord | None:
        own = self.own
        if incoming.incarnation > own.incarnation:
            self.superseded = True
        if incoming.incarnation != own.incarnation:
            return None
        merged = merge(own, incoming)
        if (merged.number, merged.health) != (own.number, Health.ALIVE):
            number = merged.number + 1
            merged = replace(
                merged,
                number=number,
                health=Health.ALIVE,
                details=replace(own.details, number=number),
            )
        merged = replace(merged, stopped=own.stopped)
        if merged == own:
            return None
        self._put(merged, now)
        return merged

    def _worsen_health(
        self, vm: str, incarnation: str, health: Health, now: float
    ) -> MemberRecord | None:
        current = self.by_vm.get(vm)
        if current is None or current.incarnation != incarnation:
            return None
        if current.health >= health or vm == self.own_vm:
            return None
        record = replace(current, health=health)
        self._put(record, now)
        return record

    def _put(self, record: MemberRecord, now: float) -> None:
        current = self.by_vm.get(record.vm)
        if current is None or _status(current) != _status(record):
            self.since_by_vm[record.vm] = now
        self.changes += 1
        self.by_vm[record.vm] = record
        bucket = _bucket(record.vm)
        self._buckets[bucket] ^= self._hash_by_vm.pop(record.vm, 0)
        if record.state is not MemberState.GONE:
            self._hash_by_vm[record.vm] = _hash(record)
            self._buckets[bucket] ^= self._hash_by_vm[record.vm]


def holders_by_ordinal(records: Iterable[MemberRecord]) -> dict[int, MemberRecord]:
    """Return the member to contact for each ordinal.

    Of several, it is the one in the best state, then the one that started last.
    """
    holders: dict[int, MemberRecord] = {}
    for record in records:
        ordinal = record.details.ordinal
        if ordinal is None:
            continue
        other = holders.get(ordinal)
        if other is None or _fitness(record) > _fitness(other):
            holders[ordinal] = record
    return dict(sorted(holders.items()))


_FITNESS_BY_STATE = {
    MemberState.ALIVE: 3,
    MemberState.SUSPECT: 2,
    MemberState.LEAVING: 1,
    MemberState.GONE: 0,
}


def _fitness(record: MemberRecord) -> tuple[int, str]:
    return _FITNESS_BY_STATE[record.state], record.incarnation


def _status(record: MemberRecord) -> tuple[str, Health, bool, bool]:
    return record.incarnation, record.health, record.leaving, record.stopped


def _bucket(vm: str) -> int:
    return xxhash.xxh64_intdigest(vm.encode()) % BUCKET_COUNT


def _hash(record: MemberRecord) -> int:
    text = (
        f'{record.vm} {record.incarnation} {record.number} {record.health:d} '
        f'{record.leaving:d} {record.details.number}'
    )
    return xxhash.xxh64_intdigest(text.encode())
