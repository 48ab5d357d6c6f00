"""Prints tables, and the machine and its load; computes quantiles and medians."""

import os
import platform
import statistics
from collections.abc import Sequence


def print_machine() -> None:
    """Print the machine type, the Python version and the load average."""
    load = os.getloadavg()[0]
    print(
        f'machine: {platform.machine()}, {os.cpu_count()} cores, '
        f'Python {platform.python_version()}, load average {load:.1f}'
    )


def print_table(title: str, columns: Sequence[str], rows: Sequence[Sequence]) -> None:
    """Print the rows as a Markdown table."""
    print(f'\n{title}\n')
    print('| ' + ' | '.join(columns) + ' |')
    print('| ' + ' | '.join('---' for _ in columns) + ' |')
    for row in rows:
        print('| ' + ' | '.join(str(cell) for cell in row) + ' |')


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which the given share of the values lies, or NaN."""
    ordered = sorted(values)
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def median_of(values: Sequence[float]) -> float:
    """Return the median, or NaN if there are no values."""
    return statistics.median(values) if values else float('nan')
