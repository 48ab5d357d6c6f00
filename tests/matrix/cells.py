"""The cells of the fault matrix, and how one cell is run and checked."""

from dataclasses import dataclass

from tests.matrix.faults import FAULTS, Fault
from tests.matrix.rows import Row, make_rows
from tests.matrix.trial import RequestResult, Trial

NOT_RUN_ROWS = {
    'shift stage': 'covered by test_shifts and the golden sessions, not here yet',
    'permit lease': 'covered by the state machine test of slot shares, not here yet',
}
QUICK = (
    ('payment, own key, at work', 'process killed'),
    ('payment, own key, record under way', 'store answer lost'),
    ('payment, request id, at work', 'frozen and woken'),
    ('idempotent request at work', 'answers late, short, crossed'),
    ('configuration change', 'store answer lost'),
    ('planned stop', 'none'),
)


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step of an operation."""

    row: int
    fault: Fault

    @property
    def row_name(self) -> str:
        """Return the name of the row."""
        return make_rows()[self.row].name


def all_cells() -> list[Cell]:
    """Return all cells, row by row."""
    return [
        Cell(number, fault) for number in range(len(make_rows())) for fault in FAULTS
    ]


def quick_cells() -> list[Cell]:
    """Return the cells that run as part of the test suite."""
    return [c for c in all_cells() if (c.row_name, c.fault.name) in QUICK]


async def run_cell(trial: Trial, cell: Cell) -> list[str]:
    """Run the cell; return the violations, an empty list if there are none."""
    row = make_rows()[cell.row]
    trial.sent.clear()
    trial.violations.clear()
    await _run(trial, row, cell.fault)
    await _check_slots(trial)
    trial.violations.extend(_check_answers(trial.sent))
    return list(trial.violations)


async def _run(trial: Trial, row: Row, fault: Fault) -> None:
    if fault.from_start:
        await fault.begin(trial)
    await row.start(trial)
    if not fault.from_start:
        await fault.begin(trial)
    await row.act_under_fault(trial)
    await fault.end(trial)
    await trial.set_platform(delay_seconds=0.0)
    await trial.settle()
    await row.verify(trial)
    await trial.settle()


async def _check_slots(trial: Trial) -> None:
    slots = {
        server['name']: server['slots']
        for service in trial.fleet.policy['services']
        for server in service['servers']
    }
    for name, state in (await trial.server_states()).items():
        if state['most_in_flight'] > slots[name]:
            most = state['most_in_flight']
            trial.violations.append(
                f'{name} ran {most} requests at once on {slots[name]} slots'
            )


def _check_answers(sent: list[RequestResult]) -> list[str]:
    violations = []
    for seen in sent:
        if seen.is_answered and f'"tag": "{seen.tag}"'.encode() not in seen.body:
            violations.append(
                f'{seen.tag} got the response to another: {seen.body[:80]!r}'
            )
        if seen.status and not seen.outcome:
            violations.append(f'{seen.tag} got status {seen.status} without an outcome')
        is_problem = seen.content_type == 'application/problem+json'
        if seen.status and not seen.is_answered and not is_problem:
            violations.append(f'{seen.tag} got an untyped refusal: {seen.status}')
    return violations
