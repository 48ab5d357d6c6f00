"""Measures what keys of tenants cost, by their number, spread over 10,000 tenants.

A request is authenticated from its headers to its tenant, with a known and an unknown
key in turns. Decoding is that of a whole desired state, and the table is built from it;
the bytes are those of the decoded tenants and the table.
Run it with ``python -m bench.tenant_keys [KEYS...]``.
"""

import sys
import time
import tracemalloc
from typing import Any

from multidict import CIMultiDict

from daisylift.decisions.tenant_keys import TenantKeys
from daisylift_node.platform import PlatformDialect, PlatformDocuments

KEY_COUNTS = (1, 74, 10_000)
MAX_TENANTS = 10_000
REQUESTS = 20_000


def make_document(keys: int) -> dict[str, Any]:
    """Return a desired state with so many keys, one for each tenant."""
    tenants = [
        {
            'name': f'tenant-{number}',
            'keys': [f'{each:020d}' for each in range(number, keys, MAX_TENANTS)],
            'priority': number % 3,
            'requests_per_s': 100.0,
            'burst': 100.0,
            'home_regions': [],
        }
        for number in range(min(keys, MAX_TENANTS))
    ]
    return {'version': '01', 'tenants': tenants, 'listeners': [], 'clusters': []}


def measure(keys: int) -> tuple[float, float, float, float]:
    """Return us for a request, ms to decode, ms to build, and MB kept."""
    document, documents = make_document(keys), PlatformDocuments()
    started = time.process_time()
    state = documents.desired_state(document)
    decoded = time.process_time()
    table = TenantKeys(state.tenants_by_name.values())
    built = time.process_time()
    tracemalloc.start()
    kept = documents.desired_state(document)
    kept_table = TenantKeys(kept.tenants_by_name.values())
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    assert kept_table.are_required
    microseconds = _authenticate(table, keys)
    return microseconds, (decoded - started) * 1e3, (built - decoded) * 1e3, megabytes


def _authenticate(table: TenantKeys, keys: int) -> float:
    dialect = PlatformDialect()
    headers = [
        CIMultiDict(
            [('Host', 'a'), ('Request-Id', 'r'), ('Authorization', f'Bearer {text}')]
        )
        for number in range(REQUESTS // 2)
        for text in (f'{number % keys:020d}', f'x{number}')
    ]
    started = time.process_time()
    for each in headers:
        table.authenticate(dialect.read_credential(each), is_public=False)
    return (time.process_time() - started) / REQUESTS * 1e6


def main() -> None:
    """Print a line for each number of keys."""
    print('   keys  request us  decode ms  build ms   kept MB')
    for keys in [int(argument) for argument in sys.argv[1:]] or KEY_COUNTS:
        request_us, decode_ms, build_ms, megabytes = measure(keys)
        print(
            f'{keys:7} {request_us:11.2f} {decode_ms:10.2f} {build_ms:9.2f}'
            f' {megabytes:9.2f}'
        )


if __name__ == '__main__':
    main()
