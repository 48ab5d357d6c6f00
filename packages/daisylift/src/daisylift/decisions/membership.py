"""What a node holds to be true of the members, and how words about them are joined.

A record has three parts that only rise within one incarnation: the member's number
with its health, the flags ``leaving`` and ``stopped``, and the details. Joining two
records takes the higher of each, so that loss, repeats and crossing change nothing but
the time until all agree. Nothing here makes anything safe; it only steers.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, replace

import xxhash

BUCKETS = 64
FORGET_SECONDS = 3600.0


class MemberState(enum.Enum):
    """A member as others see it."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


class Health(enum.IntEnum):
    """What is said of a member's process; the higher wins at an equal number."""

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
    """What a member says of itself; ``number`` is that of its record when it said so.

    Addresses are host and port.
    """

    number: int
    failure_domain: str
    caller_address: tuple[str, int]
    peer_address: tuple[str, int]
    ordinal: int | None = None


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What is known of one VM.

    Only the member itself raises ``number``, by which it refutes a suspicion, and
    only it sets ``stopped``, the last word of a planned stop.
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
        """Return the state as others see it."""
        if self.stopped or self.health is Health.GONE:
            return MemberState.GONE
        if self.leaving:
            return MemberState.LEAVING
        return _STATE_BY_HEALTH[self.health]


def merge(known: MemberRecord, told: MemberRecord) -> MemberRecord:
    """Return the join of two records of one VM, in either order."""
    if known.incarnation != told.incarnation:
        return max(known, told, key=lambda record: record.incarnation)
    spoken = max(known, told, key=lambda record: (record.number, record.health))
    details = max(known.details, told.details, key=lambda one: one.number)
    return replace(
        spoken,
        leaving=known.leaving or told.leaving,
        stopped=known.stopped or told.stopped,
        details=details,
    )


class MemberTable:
    """The records of all known VMs, this one's own included, and their digests.

    ``since_by_vm`` tells since when a member stands as it does, in monotonic seconds;
    ``changes`` rises with each change of a record.
    """

    def __init__(self, own: MemberRecord) -> None:
        self.own_vm = own.vm
        self.by_vm: dict[str, MemberRecord] = {}
        self.since_by_vm: dict[str, float] = {}
        self.superseded = False
        self.changes = 0
        self._hash_by_vm: dict[str, int] = {}
        self._buckets = [0] * BUCKETS
        self._put(own, now=0.0)

    @property
    def own(self) -> MemberRecord:
        """Return the record of this VM."""
        return self.by_vm[self.own_vm]

    def apply(self, told: MemberRecord, now: float) -> MemberRecord | None:
        """Take a word about a member; return the record that is news, or None.

        A word against this process is answered by a higher number. A word of a later
        incarnation of this VM is kept out, and noted in ``superseded``.
        """
        if told.vm == self.own_vm:
            return self._apply_to_own(told, now)
        known = self.by_vm.get(told.vm)
        merged = told if known is None else merge(known, told)
        if merged == known:
            return None
        self._put(merged, now)
        return merged

    def say(
        self,
        now: float,
        *,
        ordinal: int | None = None,
        leaving: bool = False,
        stopped: bool = False,
    ) -> MemberRecord:
        """Set this process's own word and return the record; flags stay once set."""
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

    def suspect(self, vm: str, incarnation: str, now: float) -> MemberRecord | None:
        """Note that a member did not answer; return the record that is news."""
        return self._lower(vm, incarnation, Health.SUSPECT, now)

    def declare_gone(self, vm: str, now: float) -> MemberRecord | None:
        """Note that a member is no more; return the record that is news."""
        known = self.by_vm.get(vm)
        if known is None:
            return None
        return self._lower(vm, known.incarnation, Health.GONE, now)

    def forget(self, now: float) -> None:
        """Drop those that have been gone for long."""
        for vm, record in list(self.by_vm.items()):
            if record.state is not MemberState.GONE or vm == self.own_vm:
                continue
            if now - self.since_by_vm[vm] >= FORGET_SECONDS:
                del self.by_vm[vm], self.since_by_vm[vm]
                self.changes += 1

    def others(self, *states: MemberState) -> list[MemberRecord]:
        """Return the other members in any of the states."""
        return [
            record
            for vm, record in self.by_vm.items()
            if vm != self.own_vm and record.state in states
        ]

    def digest(self) -> int:
        """Return a number that is equal for tables that agree on all but the gone."""
        total = 0
        for bucket in self._buckets:
            total ^= bucket
        return total

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest in parts, by bucket."""
        return tuple(self._buckets)

    def differing(self, digests: Iterable[int]) -> list[MemberRecord]:
        """Return the records in the buckets where the digests differ from ours."""
        differing = {
            bucket
            for bucket, digest in enumerate(digests)
            if bucket < BUCKETS and digest != self._buckets[bucket]
        }
        return [r for vm, r in self.by_vm.items() if _bucket(vm) in differing]

    def _apply_to_own(self, told: MemberRecord, now: float) -> MemberRecord | None:
        own = self.own
        if told.incarnation > own.incarnation:
            self.superseded = True
        if told.incarnation != own.incarnation:
            return None
        merged = merge(own, told)
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

    def _lower(
        self, vm: str, incarnation: str, health: Health, now: float
    ) -> MemberRecord | None:
        known = self.by_vm.get(vm)
        if known is None or known.incarnation != incarnation:
            return None
        if known.health >= health or vm == self.own_vm:
            return None
        record = replace(known, health=health)
        self._put(record, now)
        return record

    def _put(self, record: MemberRecord, now: float) -> None:
        known = self.by_vm.get(record.vm)
        if known is None or _standing(known) != _standing(record):
            self.since_by_vm[record.vm] = now
        self.changes += 1
        self.by_vm[record.vm] = record
        bucket = _bucket(record.vm)
        self._buckets[bucket] ^= self._hash_by_vm.pop(record.vm, 0)
        if record.state is not MemberState.GONE:
            self._hash_by_vm[record.vm] = _hash(record)
            self._buckets[bucket] ^= self._hash_by_vm[record.vm]


def holders_by_ordinal(records: Iterable[MemberRecord]) -> dict[int, MemberRecord]:
    """Return who is to be asked for each ordinal: the best state, then the newest."""
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


def _standing(record: MemberRecord) -> tuple[str, Health, bool, bool]:
    return record.incarnation, record.health, record.leaving, record.stopped


def _bucket(vm: str) -> int:
    return xxhash.xxh64_intdigest(vm.encode()) % BUCKETS


def _hash(record: MemberRecord) -> int:
    text = (
        f'{record.vm} {record.incarnation} {record.number} {record.health:d} '
        f'{record.leaving:d} {record.details.number}'
    )
    return xxhash.xxh64_intdigest(text.encode())
