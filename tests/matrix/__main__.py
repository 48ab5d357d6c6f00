"""Runs the fault matrix and prints it: ``python -m tests.matrix [WORKLOAD]``.

Exits with status 1 if a cell fails. ``--row`` and ``--fault`` select the cells whose
row or fault contains the given text.
"""

import argparse
import asyncio
import sys
import time

from tests.matrix.cells import NOT_RUN_ROWS, Cell, all_cells, run_cell
from tests.matrix.trial import WORKLOADS, start_trial

GREEN = 'ok'
RED = 'RED'


async def run_workload(name: str, cells: list[Cell]) -> dict[Cell, list[str]]:
    """Run the cells of one workload in sequence on one fleet."""
    results = {}
    async with start_trial(WORKLOADS[name]) as trial:
        for cell in cells:
            results[cell] = await run_cell(trial, cell)
            for line in results[cell]:
                print(f'{name}, {cell.row_name} x {cell.fault.name}: {line}')
    return results


async def run_all(
    names: list[str], cells: list[Cell]
) -> dict[str, dict[Cell, list[str]]]:
    """Run the workloads concurrently, each on its own fleet."""
    results = await asyncio.gather(*(run_workload(name, cells) for name in names))
    return dict(zip(names, results, strict=True))


def print_table(name: str, cells: list[Cell], results: dict[Cell, list[str]]) -> None:
    """Print one line per row, with one mark per fault."""
    faults = list(dict.fromkeys(cell.fault.name for cell in cells))
    print(f'\n{name}')
    for number, fault in enumerate(faults):
        print(f'  {number:2} {fault}')
    width = max(len(cell.row_name) for cell in cells)
    print(' ' * width, *(f'{number:>4}' for number in range(len(faults))))
    for row in dict.fromkeys(cell.row_name for cell in cells):
        marks = [_mark(c, results) for c in cells if c.row_name == row]
        print(f'{row:{width}}', *(f'{mark:>4}' for mark in marks))
    for row, reason in NOT_RUN_ROWS.items():
        print(f'{row:{width}}  not run: {reason}')


def _mark(cell: Cell, results: dict[Cell, list[str]]) -> str:
    return RED if results[cell] else GREEN


def main() -> int:
    """Run the selected cells and print the results; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('workloads', nargs='*', default=list(WORKLOADS))
    parser.add_argument('--row', default='')
    parser.add_argument('--fault', default='')
    options = parser.parse_args()
    cells = [
        cell
        for cell in all_cells()
        if options.row in cell.row_name and options.fault in cell.fault.name
    ]
    began = time.monotonic()
    by_workload = asyncio.run(run_all(options.workloads, cells))
    reds = 0
    for name, results in by_workload.items():
        print_table(name, cells, results)
        red = sum(1 for violations in results.values() if violations)
        print(f'{len(results)} cells run, {red} red')
        reds += red
    print(f'{time.monotonic() - began:.0f} s')
    return 1 if reds else 0


if __name__ == '__main__':
    sys.exit(main())
