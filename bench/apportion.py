"""Measures time and memory of apportioning slots, from 7 to 930 ordinals.

Run it with ``python -m bench.apportion``; ``bench.shares`` prints it too.
"""

import time
import tracemalloc

from daisylift.decisions.apportion import Apportioner
from daisylift.decisions.configuration import Configuration
from daisylift.decisions.permit_ledger import PermitLedger
from daisylift.models import (
    BackendServer,
    FailureDomain,
    Policy,
    RosterEntry,
    Service,
)

USAGE_ROUNDS = 20
COST_SIZES = ((7, 16, 3), (32, 40, 10), (128, 100, 10), (930, 300, 12))


def print_costs() -> None:
    """Print time and memory of apportioning, by number of ordinals and slots."""
    print('ordinals  slots  full ms  one service ms  vacancy ms  moved  MB  usage us')
    for size in COST_SIZES:
        print(_cost_row(*size), flush=True)


def _cost_row(ordinals: int, servers: int, services: int) -> str:
    policy = _policy(ordinals, servers, services)
    tracemalloc.start()
    apportioner = Apportioner()
    apportioner.apportion(policy, frozenset())
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    fresh = Apportioner()
    full, before = _timed(lambda: fresh.apportion(policy, frozenset()))
    vacancy, after = _timed(lambda: fresh.apportion(policy, frozenset({3})))
    first = policy.services[0]
    changed = first.model_copy(update={'servers': first.servers[1:]})
    other = policy.model_copy(update={'services': (changed, *policy.services[1:])})
    fresh.apportion(policy, frozenset())
    one_service, _ = _timed(lambda: fresh.apportion(other, frozenset()))
    slots = servers * services * 6
    moved = sum(
        a != b
        for key, owners in before.owners_by_server.items()
        for a, b in zip(owners, after.owners_by_server[key], strict=True)
    )
    times = f'{full * 1e3:8.1f} {one_service * 1e3:15.1f} {vacancy * 1e3:11.1f}'
    usage = _usage_microseconds(policy)
    return f'{ordinals:8d} {slots:6d} {times} {moved:6d} {megabytes:5.1f} {usage:9.1f}'


def _usage_microseconds(policy: Policy) -> float:
    """Return the time to read the slot usage of all services of a node once."""
    ledger = PermitLedger()
    epochs = {entry.ordinal: 0 for entry in policy.roster}
    ledger.set_configuration(Configuration(1, policy, epochs=epochs), 0.0)
    ledger.set_ordinal(3, 0)
    names = [service.name for service in policy.services]
    seconds, _ = _timed(lambda: [ledger.usage(n, 0.0) for n in names * USAGE_ROUNDS])
    return seconds * 1e6 / USAGE_ROUNDS


def _timed(function):
    start = time.process_time()
    result = function()
    return time.process_time() - start, result


def _policy(ordinals: int, servers: int, services: int) -> Policy:
    domains = [f'd-{n}' for n in range(7)]
    return Policy(
        failure_domains=tuple(
            FailureDomain(name=d, region=f'r-{n % 3}') for n, d in enumerate(domains)
        ),
        roster=tuple(
            RosterEntry(ordinal=o, failure_domain=domains[o % 7])
            for o in range(ordinals)
        ),
        services=tuple(
            Service(
                name=f's-{k}',
                servers=tuple(
                    BackendServer(
                        name=f's-{k}-{n}',
                        host='127.0.0.1',
                        port=9000 + n,
                        failure_domain=domains[n % 7],
                        slots=6,
                        connections=330,
                    )
                    for n in range(servers)
                ),
            )
            for k in range(services)
        ),
    )


if __name__ == '__main__':
    print_costs()
