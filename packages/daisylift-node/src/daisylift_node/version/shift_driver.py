"""Advances shifts to their next stages.

Every node runs this. A change of the configuration is a conditional update, so only one
node's attempt to advance a shift succeeds.
"""

from collections.abc import Callable

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.reporting import hash_rank
from daisylift.decisions.shifts import (
    Advance,
    Hold,
    LoadFigures,
    MoveLedger,
    Shift,
    decide_advance,
    spacing_seconds,
    stage_points,
)
from daisylift.models import AdvanceShift, Change
from daisylift_node.process import clock
from daisylift_node.process.members import Members
from daisylift_node.process.metrics import Metrics
from daisylift_node.version.change_writer import ChangeWriter
from daisylift_node.version.configuration import ConfigurationFollower
from daisylift_node.version.confirmation import FleetConfirmation

DRIVE_PERIOD_SECONDS = 0.5
RANK_DELAY_SECONDS = 2.0

Clock = Callable[[], float]


class ShiftDriver:
    """Decides for each active shift whether it can advance.

    Nodes attempt this in an order determined by the shift and its stage, each 2 s after
    the node before it, so that they do not all write and poll at the same time.
    """

    def __init__(
        self,
        follower: ConfigurationFollower,
        writer: ChangeWriter,
        members: Members,
        confirmation: FleetConfirmation,
        loads: LoadFigures,
        metrics: Metrics,
        now: Clock = clock.now,
    ) -> None:
        self.hold_by_shift: dict[str, Hold] = {}
        self._follower = follower
        self._writer = writer
        self._members = members
        self._confirmation = confirmation
        self._loads = loads
        self._metrics = metrics
        self._now = now
        self._ledger = MoveLedger()
        self._seen_stages: dict[str, tuple[int, float]] = {}
        follower.subscribe_changes(self._on_change)

    async def tick(self) -> None:
        """Advance each active shift by one stage if that is allowed now."""
        now = self._now()
        self._ledger.confirm(self._confirmation.fleet_version, now)
        current = self._follower.current
        active = [shift for shift in current.shifts.values() if shift.is_active]
        names = {shift.name for shift in active}
        for ended in self.hold_by_shift.keys() - names:
            del self.hold_by_shift[ended]
        for shift in active:
            if not self._is_turn(shift, now):
                continue
            decision = self._decide(current, shift, active, now)
            if isinstance(decision, Hold):
                self._record_hold(decision)
                continue
            await self._advance(current, decision)

    def _decide(
        self, current: Configuration, shift: Shift, active: list[Shift], now: float
    ) -> Advance | Hold:
        return decide_advance(
            shift,
            [s for s in active if s.service == shift.service and s is not shift],
            current.index.services_by_name[shift.service],
            self._ledger,
            self._loads,
            current.index.slots_by_site_by_service[shift.service],
            now,
        )

    async def _advance(self, current: Configuration, advance: Advance) -> None:
        self.hold_by_shift.pop(advance.shift, None)
        await self._writer.submit(
            Change(
                version=current.version + 1,
                operation_id=f'{advance.shift}/{advance.stage}/{current.version}',
                operator='daisylift',
                body=AdvanceShift(shift=advance.shift, stage=advance.stage),
            )
        )

    def _record_hold(self, hold: Hold) -> None:
        if self.hold_by_shift.get(hold.shift) != hold:
            self.hold_by_shift[hold.shift] = hold
            self._metrics.shift_holds.labels(reason=hold.reason.value).inc()

    def _is_turn(self, shift: Shift, now: float) -> bool:
        if self._members.own is None:
            return False
        stage, since = self._seen_stages.get(shift.name, (-1, now))
        if stage != shift.stage:
            since = now
            self._seen_stages[shift.name] = shift.stage, now
        rank = hash_rank(
            self._members.own.ordinal,
            self._members.by_ordinal,
            f'{shift.name}/{shift.stage}',
        )
        if rank == 0:
            return True
        service = self._follower.current.index.services_by_name[shift.service]
        return now - since >= spacing_seconds(service) + rank * RANK_DELAY_SECONDS

    def _on_change(self, before: Configuration, change: Change | None) -> None:
        """Record the traffic that a change moves; None means versions were skipped."""
        now = self._now()
        current = self._follower.current
        services = current.index.services_by_name
        if change is None:
            self._ledger.track(services, current.version, now)
            return
        unknown = [name for name in services if not self._ledger.tracks(name)]
        self._ledger.track(unknown, change.version, now)
        if isinstance(change.body, AdvanceShift):
            shift = before.shifts[change.body.shift]
            points = stage_points(shift)
            self._ledger.record(shift.service, points, change.version, now)
