"""Runs selected cells of the fault matrix; ``make matrix`` runs all of them."""

from tests.matrix.cells import QUICK, quick_cells, run_cell
from tests.matrix.trial import WORKLOADS, start_trial


async def test_quick_cells_keep_every_promise():
    cells = quick_cells()
    assert len(cells) == len(QUICK)
    async with start_trial(WORKLOADS['kanga']) as trial:
        for cell in cells:
            violations = await run_cell(trial, cell)
            assert violations == [], f'{cell.row_name} x {cell.fault.name}'
