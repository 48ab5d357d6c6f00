"""Measures what it costs to remember what servers said of new requests.

Run it with ``python -m bench.availability``.
"""

import time
import tracemalloc

from daisylift.decisions.availability import Availability, AvailabilityRegister
from daisylift.decisions.server_stats import ServerStats

STARTS = (1000, 2000, 4000, 8000)
CHECKS = 200_000


def bytes_held(starts: int) -> int:
    """Return the memory of a register with as many starts of servers."""
    tracemalloc.start()
    register = AvailabilityRegister()
    for number in range(starts):
        start = (f'i-{number:08x}', 1_700_000_000_000 + number, '10.0.0.1', 80)
        register.remember(start, Availability(is_leaving=True))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held


def seconds_per_check() -> float:
    """Return the processor time of one check whether a server is eligible."""
    stats = ServerStats(slots=4)
    started = time.process_time()
    for _ in range(CHECKS):
        stats.is_excluded(0.0)
    return (time.process_time() - started) / CHECKS


def main() -> None:
    """Print the figures."""
    held = {starts: bytes_held(starts) for starts in STARTS}
    for starts, count in held.items():
        print(f'{starts} starts: {count / 1024:.0f} KB')
    slope = (held[STARTS[-1]] - held[STARTS[0]]) / (STARTS[-1] - STARTS[0])
    print(f'slope: {slope:.0f} bytes a start')
    print(f'check: {seconds_per_check() * 1e9:.0f} ns')


if __name__ == '__main__':
    main()
