"""Use of the platform's VM list, which lags, in addition to peers' reports.

The list is assumed to be late, but never wrong about a VM being gone. A member is
declared gone only if it does not respond and was listed before but no longer is. A
member that this node never saw listed may be new, so the node waits much longer
before it declares it gone. A response from the member refutes both.
"""

from collections.abc import Mapping
from dataclasses import replace

from daisylift.decisions.membership import (
    Health,
    MemberRecord,
    MemberState,
    MemberTable,
)

WATCHERS_PER_FAILURE_DOMAIN = 2
GONE_AFTER_SECONDS = 10.0
NEVER_LISTED_GONE_AFTER_SECONDS = 600.0
LISTED_LEAVING = 'leaving'


def watches_platform(table: MemberTable) -> bool:
    """Return whether this node is one of the few that watch the platform."""
    domain = table.own.details.failure_domain
    same_domain = [
        record.vm
        for record in (*table.others(MemberState.ALIVE), table.own)
        if record.details.failure_domain == domain
    ]
    return table.own_vm in sorted(same_domain)[:WATCHERS_PER_FAILURE_DOMAIN]


class VmListTracker:
    """Applies the VM lists that a node reads to its member table."""

    def __init__(self) -> None:
        self._listed_before: frozenset[str] = frozenset()

    def apply(
        self, table: MemberTable, state_by_vm: Mapping[str, str], now: float
    ) -> list[MemberRecord]:
        """Apply a list, keyed by VM id, to the table; return the changed records."""
        changed_records = []
        for record in table.others(
            MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING
        ):
            changed = self._evaluate(table, record, state_by_vm.get(record.vm), now)
            if changed is not None:
                changed_records.append(changed)
        listed_members = self._listed_before & table.by_vm.keys()
        self._listed_before = listed_members | state_by_vm.keys()
        return changed_records

    def _evaluate(
        self, table: MemberTable, record: MemberRecord, listed: str | None, now: float
    ) -> MemberRecord | None:
        if listed == LISTED_LEAVING and not record.leaving:
            return table.apply(replace(record, leaving=True), now)
        if listed is not None or record.health is not Health.SUSPECT:
            return None
        after = NEVER_LISTED_GONE_AFTER_SECONDS
        if record.vm in self._listed_before:
            after = GONE_AFTER_SECONDS
        if now - table.since_by_vm[record.vm] < after:
            return None
        return table.declare_gone(record.vm, now)
