"""What the platform's VM list, which lags, adds to the peers' word.

The list is assumed late, but never wrong about a VM being gone. Only a member that
does not answer and was listed before, and no more, is declared gone; for one that this
node never saw listed, which may be new, it waits much longer. An answer refutes both.
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


def is_watcher(table: MemberTable) -> bool:
    """Say whether this node is one of the few that read the platform's list."""
    domain = table.own.details.failure_domain
    near = [
        record.vm
        for record in (*table.others(MemberState.ALIVE), table.own)
        if record.details.failure_domain == domain
    ]
    return table.own_vm in sorted(near)[:WATCHERS_PER_FAILURE_DOMAIN]


class VmListReader:
    """Joins the lists that one node reads into its member table."""

    def __init__(self) -> None:
        self._listed_before: frozenset[str] = frozenset()

    def apply(
        self, table: MemberTable, state_by_vm: Mapping[str, str], now: float
    ) -> list[MemberRecord]:
        """Join the list, keyed by VM id, into the table; return what is news."""
        news = []
        for record in table.others(
            MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING
        ):
            changed = self._judge(table, record, state_by_vm.get(record.vm), now)
            if changed is not None:
                news.append(changed)
        known = self._listed_before & table.by_vm.keys()
        self._listed_before = known | state_by_vm.keys()
        return news

    def _judge(
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
