"""Runs traffic shifts second by second, using only the decision code."""

from collections.abc import Callable
from dataclasses import dataclass, field

from daisylift.decisions.configuration import Configuration, apply_change
from daisylift.decisions.shifts import (
    Advance,
    MoveLedger,
    SiteLoad,
    decide_advance,
    points_at_stage,
    stage_points,
)
from daisylift.decisions.state import UNKNOWN_HOME
from daisylift.decisions.steering import POINTS, position_of, site_at
from daisylift.models import AdvanceShift, Change, ChangeBody
from tests.golden.transcript import Transcript

SAMPLED_BLOCKS = 2000
MAX_SECONDS = 900
CONFIRMED_AFTER_SECONDS = 2

Loads = Callable[[int, str], SiteLoad | None]


@dataclass(slots=True)
class _LoadsAt:
    loads: Loads
    second: int

    def load_of(self, service: str, site: str) -> SiteLoad | None:
        """Return the load of a site at this second."""
        return self.loads(self.second, site)


@dataclass(slots=True)
class ShiftRun:
    """A configuration, and a transcript of the shifts of one service's traffic."""

    transcript: Transcript
    configuration: Configuration
    service: str
    advanced: list[tuple[int, int]] = field(default_factory=list)

    def change(self, body: ChangeBody) -> None:
        """Apply a change to the configuration."""
        change = Change(
            version=self.configuration.version + 1, operation_id='golden', body=body
        )
        self.configuration = apply_change(self.configuration, change)

    def play(self, start: ChangeBody, loads: Loads) -> None:
        """Start a shift and run it until it ends; ``loads`` takes second and site."""
        self.change(start)
        self.transcript.add_line('+000 s', f'operator: {start.kind}')
        self.transcript.add_line('      ', self._distribution())
        ledger = MoveLedger()
        ledger.track([self.service], self.configuration.version, now=-MAX_SECONDS)
        ledger.confirm(self.configuration.version, now=-MAX_SECONDS)
        held = ''
        for second in range(MAX_SECONDS):
            self._confirm(ledger, second)
            active = [s for s in self._shifts() if s.is_active]
            if not active:
                self.transcript.add_line(f'+{second:03} s', 'the move is done')
                return
            held = self._decide(active[0], ledger, _LoadsAt(loads, second), held)
        self.transcript.add_line(f'+{MAX_SECONDS} s', 'the move is not done')

    def _decide(self, shift, ledger: MoveLedger, loads: _LoadsAt, held: str) -> str:
        service = self.configuration.policy.services_by_name()[self.service]
        decision = decide_advance(
            shift,
            [s for s in self._shifts() if s.name != shift.name],
            service,
            ledger,
            loads,
            self.configuration.index.slots_by_site_by_service[self.service],
            loads.second,
        )
        at = f'+{loads.second:03} s'
        if not isinstance(decision, Advance):
            reason = decision.reason.value
            if reason not in (held, 'period', 'not-confirmed'):
                self.transcript.add_line(at, f'held: {reason}')
            return reason
        points = stage_points(shift)
        self.change(AdvanceShift(shift=shift.name, stage=decision.stage))
        ledger.record(
            self.service, points, self.configuration.version, now=loads.second
        )
        self.advanced.append((loads.second, self.configuration.version))
        moved = points_at_stage(shift, decision.stage) / POINTS
        self.transcript.add_line(
            at,
            f'stage {decision.stage}: {points / POINTS:.1%} more, {moved:.1%} in all,'
            f' cap {shift.cap / POINTS:.1%}',
        )
        self.transcript.add_line('      ', self._distribution())
        return ''

    def _confirm(self, ledger: MoveLedger, second: int) -> None:
        """Confirm each stage CONFIRMED_AFTER_SECONDS after its decision."""
        for at, version in self.advanced:
            if second == at + CONFIRMED_AFTER_SECONDS:
                ledger.confirm(version, second)

    def _shifts(self):
        shifts = self.configuration.shifts.values()
        return [shift for shift in shifts if shift.service == self.service]

    def _distribution(self) -> str:
        cut = self.configuration.cuts[self.service][UNKNOWN_HOME]
        counts: dict[str, int] = {}
        for number in range(SAMPLED_BLOCKS):
            block = number.to_bytes(4, 'big')
            site = site_at(cut, position_of(self.service, block).point)
            counts[site] = counts.get(site, 0) + 1
        shares = (f'{site} {counts[site]}' for site in sorted(counts))
        return f'of {SAMPLED_BLOCKS} blocks: {", ".join(shares)}'
