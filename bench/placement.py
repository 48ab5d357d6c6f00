"""Measures the cost of choosing a backend server, by the number of servers.

Servers are spread evenly over nine failure domains in three regions. A known object is
one that was requested before; a change replaces one server while 500 objects are known.
With limits, every server has named a request rate that 930 entry VMs share; the rate of
all is summed up at most once per LIMITED_RATE_SECONDS.
Run it with ``python -m bench.placement [SIZE...]``.
"""

import random
import sys
import time
from collections.abc import Callable

from daisylift.decisions.limit_shares import LimitShares
from daisylift.decisions.placement import ServicePlacer, WorkEstimate
from daisylift.decisions.ranking import Candidate, Location
from daisylift.decisions.server_stats import ServerStats
from daisylift.models.registered_server import RegisteredServer

SIZES = (16, 83, 303, 3000)
DOMAINS = 9
REGIONS = 3
OBJECT_COUNT = 500
ROUNDS = 2000
CHANGE_COUNT = 50
SLOTS = 6
VMS = 930
LIMIT_PER_SECOND = 9.0
LIGHT_WORK = WorkEstimate(warm_seconds=0.072, cold_seconds=0.24, response_bytes=5000.0)


def make_candidate(number: int) -> Candidate:
    """Return candidate server ``number``; failure domains take turns."""
    domain = number % DOMAINS
    server = RegisteredServer(
        f'i-{number:08x}', 's', 'h', 80, f'd-{domain}', SLOTS, False, 0.0, 1
    )
    return Candidate(server, ServerStats(slots=SLOTS), f'r-{domain % REGIONS}')


def make_placer(size: int) -> ServicePlacer:
    """Return the placer of a service with ``size`` servers."""
    shares = LimitShares('entry-0')
    shares.set_nodes({f'entry-{n}': f'r-{n % REGIONS}' for n in range(VMS)})
    return ServicePlacer(
        Location('d-0', 'r-0'),
        map(make_candidate, range(size)),
        random.Random(1),
        shares,
    )


def microseconds(work: Callable[[int], object], rounds: int) -> float:
    """Return the processor time per round, in us."""
    started = time.process_time()
    for number in range(rounds):
        work(number)
    return (time.process_time() - started) / rounds * 1e6


def measure(size: int) -> list[float]:
    """Return us for a new, a known and no object, a change, and two with limits.

    These are for a known object and for the rate that a refused request needs.
    """
    placer = make_placer(size)

    def choose(key: str | None) -> object:
        usable = dict.fromkeys(
            (each.server.id for each in placer.cold_candidates(0.0)), False
        )
        return placer.choose(key, LIGHT_WORK, None, usable, 0.0)

    new_object = microseconds(lambda number: choose(f'o-{number}'), OBJECT_COUNT)
    known_object = microseconds(
        lambda number: choose(f'o-{number % OBJECT_COUNT}'), ROUNDS
    )
    no_object = microseconds(lambda number: choose(None), ROUNDS)
    change = microseconds(
        lambda number: placer.put(make_candidate(number)), CHANGE_COUNT
    )
    for candidate in placer.candidates_by_id.values():
        candidate.stats.limit.record_response(LIMIT_PER_SECOND, 0.0, 1.0)
    placer.limited_per_second(None, 0.0)  # computes the share of each server once
    limited = microseconds(lambda number: choose(f'o-{number % OBJECT_COUNT}'), ROUNDS)
    rate = microseconds(
        lambda number: placer.limited_per_second(None, 1.0 + number), CHANGE_COUNT
    )
    return [new_object, known_object, no_object, change, limited, rate]


def main() -> None:
    """Print a line for each size."""
    sizes = [int(argument) for argument in sys.argv[1:]] or SIZES
    print(
        'servers  new object  known object  no object  change  with limits  rate  (us)'
    )
    for size in sizes:
        new_object, known_object, no_object, change, limited, rate = measure(size)
        print(
            f'{size:7} {new_object:11.0f} {known_object:13.1f} {no_object:10.1f} '
            f'{change:7.0f} {limited:12.1f} {rate:5.0f}'
        )


if __name__ == '__main__':
    main()
