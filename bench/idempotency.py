"""Measures the cost of at-most-once execution: decisions, memory, store calls, time.

``python -m bench.idempotency`` runs three nodes and the fakes in one event loop. Its
times are good for comparing the kinds of key with each other, not as latencies.
"""

import asyncio
import itertools
import json
import statistics
import sys
import time
import tracemalloc

from loguru import logger

from daisylift.decisions.attempts import AttemptStore
from daisylift.decisions.idempotency import ExecutionState, StoredResponse, fingerprint
from daisylift.decisions.request_ids import (
    RequestId,
    read_request_id,
    write_request_id,
)
from daisylift_node.process.idempotency import RECORD_KIND
from tests.fakes.local import LocalFleet, wait_until
from tests.utils import policy_document

KEY = b'a key of the fleet for the bench'
DECISIONS = 20_000
ENTRIES = 10_000
PAYMENTS = 300
PAY = '/v1/services/till/pay'
STORE_WRITES_PER_SECOND = 300
PAYMENTS_SHARE = 0.5
VALUE_BYTES = 1024 * 1024
DOMAINS = ['arusha-1', 'arusha-2', 'dar-1']


def measure_decisions() -> None:
    """Print the processor time of each decision."""
    issued = RequestId(ordinal=3, incarnation='0f' * 8, sequence=7, issued_ms=1500)
    text = write_request_id(KEY, issued)
    memory = AttemptStore('inc', max_entries=DECISIONS)
    keys = iter([f'key-{number}' for number in range(DECISIONS)])
    cases = {
        'issue a request id': lambda: write_request_id(KEY, issued),
        'check a request id': lambda: read_request_id(KEY, text),
        'fingerprint of 1 KB': lambda: fingerprint('till', 'POST', '/pay', b'x' * 1024),
        'begin and end a key': lambda: _take_on(memory, next(keys)),
        'evaluate a repeat': lambda: memory.evaluate('key-5', 'f'),
    }
    print('decision                    us each (processor)')
    for name, decide in cases.items():
        began = time.process_time()
        for _ in range(DECISIONS):
            decide()
        each = (time.process_time() - began) / DECISIONS * 1e6
        print(f'{name:27} {each:6.2f}')


def measure_memory() -> None:
    """Print the memory per stored key in bytes, at three sizes."""
    print('\n    stored keys  bytes each (no response)  bytes each (200 B response)')
    for count in (ENTRIES // 10, ENTRIES // 2, ENTRIES):
        plain = _bytes_each(count, answer_bytes=0)
        kept = _bytes_each(count, answer_bytes=200)
        print(f'{count:15} {plain:24.0f} {kept:27.0f}')


async def measure_payments() -> None:
    """Print time and store calls of payments with each kind of key."""
    print('\nkey          p50 ms   p99 ms   store writes each   store reads each')
    async with LocalFleet(policy_document(), DOMAINS) as fleet:
        for sort in ('none', 'request id', 'own key', 'own key, x2'):
            await _pay_all(fleet, sort)
        record = fleet.stored(RECORD_KIND)[0]
        size = len(json.dumps(record['specification']))
    print(f'\na record with its response: {size} bytes')
    _print_rates(size)


async def _pay_all(fleet: LocalFleet, sort: str) -> None:
    before = dict(fleet.platform.calls)
    seconds = []
    repeats = 2 if sort.endswith('x2') else 1
    for number in range(PAYMENTS):
        headers = await _headers(fleet, sort, number)
        for node in range(repeats):
            began = time.perf_counter()
            answer = await fleet.send(node, PAY, headers=headers)
            seconds.append(time.perf_counter() - began)
            assert answer.outcome == 'answered', answer.body
    if sort.startswith('own key'):
        await wait_until(lambda: _all_noted(fleet))
    writes, reads = _calls_since(fleet, before)
    cuts = statistics.quantiles([s * 1000 for s in seconds], n=100)
    print(
        f'{sort:12} {cuts[49]:6.2f} {cuts[98]:8.2f} {writes / PAYMENTS:14.2f}'
        f' {reads / PAYMENTS:18.2f}'
    )


async def _headers(fleet: LocalFleet, sort: str, number: int) -> dict[str, str]:
    if sort == 'request id':
        return {'Daisylift-Request-Id': await fleet.request_id(0)}
    if sort.startswith('own key'):
        return {'Idempotency-Key': f'{sort}-{number}'}
    return {}


def _all_noted(fleet: LocalFleet) -> bool:
    states = {found['specification']['state'] for found in fleet.stored(RECORD_KIND)}
    return states == {ExecutionState.ANSWERED.value}


def _calls_since(fleet: LocalFleet, before: dict[str, int]) -> tuple[int, int]:
    """Return writes and reads of objects, including the listings by the nodes."""
    writes = reads = 0
    for call, count in fleet.platform.calls.items():
        made = count - before.get(call, 0)
        if call.startswith(('PUT', 'DELETE')):
            writes += made
        elif call.startswith('GET objects'):
            reads += made
    return writes, reads


def _print_rates(size: int) -> None:
    budget = STORE_WRITES_PER_SECOND * PAYMENTS_SHARE
    print(
        f'of {STORE_WRITES_PER_SECOND} writes per second, {budget:.0f} for payments:\n'
        f'  one record each (create, update, delete): {budget / 3:.0f} payments/s\n'
        f'  batches of 1 MiB, three writes each (calculated, not measured):'
        f' {VALUE_BYTES // size} records per batch, at most'
        f' {budget / 3 * (VALUE_BYTES // size):.0f} payments/s\n'
        f'  request ids: no write'
    )


def _take_on(memory: AttemptStore, key: str) -> None:
    memory.begin(key, 'f', ordinal=0, now=0.0, life_seconds=600.0)
    memory.end(key, ExecutionState.ANSWERED)


def _bytes_each(count: int, answer_bytes: int) -> float:
    wanted = itertools.count()
    tracemalloc.start()
    memory = AttemptStore('inc', max_entries=count)
    for number in range(count):
        key = f'id:1.3.0f0f0f0f0f0f0f0f.{number}.1500.{"0" * 32}'
        memory.begin(key, f'{next(wanted):064x}', 0, 0.0, 600.0)
        answer = None
        if answer_bytes:
            body = b'x' * (answer_bytes - 4) + number.to_bytes(4, 'big')
            answer = StoredResponse(200, (('Content-Type', 'application/json'),), body)
        memory.end(key, ExecutionState.ANSWERED, answer)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(memory) == count
    return size / count


def main() -> None:
    """Run and print all measurements."""
    logger.remove()
    print(f'Python {sys.version.split()[0]}, one event loop, loopback, busy machine')
    measure_decisions()
    measure_memory()
    asyncio.run(measure_payments())


if __name__ == '__main__':
    main()
