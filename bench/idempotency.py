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
DECISION_COUNT = 20_000
MAX_ENTRIES = 10_000
PAYMENT_COUNT = 300
PAY_PATH = '/v1/services/till/pay'
STORE_WRITES_PER_SECOND = 300
PAYMENTS_SHARE = 0.5
MAX_VALUE_BYTES = 1024 * 1024
DOMAINS = ['arusha-1', 'arusha-2', 'dar-1']


def measure_decisions() -> None:
    """Print the processor time of each decision."""
    issued = RequestId(ordinal=3, incarnation='0f' * 8, sequence=7, issued_ms=1500)
    text = write_request_id(KEY, issued)
    attempts = AttemptStore('inc', max_entries=DECISION_COUNT)
    keys = iter([f'key-{number}' for number in range(DECISION_COUNT)])
    cases = {
        'issue a request id': lambda: write_request_id(KEY, issued),
        'check a request id': lambda: read_request_id(KEY, text),
        'fingerprint of 1 KB': lambda: fingerprint('till', 'POST', '/pay', b'x' * 1024),
        'begin and end a key': lambda: _begin_and_end(attempts, next(keys)),
        'evaluate a repeat': lambda: attempts.evaluate('key-5', 'f'),
    }
    print('decision                    us each (processor)')
    for name, function in cases.items():
        started = time.process_time()
        for _ in range(DECISION_COUNT):
            function()
        each = (time.process_time() - started) / DECISION_COUNT * 1e6
        print(f'{name:27} {each:6.2f}')


def measure_memory() -> None:
    """Print the memory per stored key in bytes, at three sizes."""
    print('\n    stored keys  bytes each (no response)  bytes each (200 B response)')
    for count in (MAX_ENTRIES // 10, MAX_ENTRIES // 2, MAX_ENTRIES):
        without_response = _bytes_each(count, response_bytes=0)
        with_response = _bytes_each(count, response_bytes=200)
        print(f'{count:15} {without_response:24.0f} {with_response:27.0f}')


async def measure_payments() -> None:
    """Print time and store calls of payments with each kind of key."""
    print('\nkey          p50 ms   p99 ms   store writes each   store reads each')
    async with LocalFleet(policy_document(), DOMAINS) as fleet:
        for key_kind in ('none', 'request id', 'own key', 'own key, x2'):
            await _pay_all(fleet, key_kind)
        record = fleet.stored(RECORD_KIND)[0]
        size = len(json.dumps(record['specification']))
    print(f'\na record with its response: {size} bytes')
    _print_rates(size)


async def _pay_all(fleet: LocalFleet, key_kind: str) -> None:
    before = dict(fleet.platform.calls)
    seconds = []
    repeats = 2 if key_kind.endswith('x2') else 1
    for number in range(PAYMENT_COUNT):
        headers = await _headers(fleet, key_kind, number)
        for node in range(repeats):
            started = time.perf_counter()
            response = await fleet.send(node, PAY_PATH, headers=headers)
            seconds.append(time.perf_counter() - started)
            assert response.outcome == 'answered', response.body
    if key_kind.startswith('own key'):
        await wait_until(lambda: _all_recorded(fleet))
    writes, reads = _calls_since(fleet, before)
    percentiles = statistics.quantiles([s * 1000 for s in seconds], n=100)
    print(
        f'{key_kind:12} {percentiles[49]:6.2f} {percentiles[98]:8.2f}'
        f' {writes / PAYMENT_COUNT:14.2f} {reads / PAYMENT_COUNT:18.2f}'
    )


async def _headers(fleet: LocalFleet, key_kind: str, number: int) -> dict[str, str]:
    if key_kind == 'request id':
        return {'Daisylift-Request-Id': await fleet.request_id(0)}
    if key_kind.startswith('own key'):
        return {'Idempotency-Key': f'{key_kind}-{number}'}
    return {}


def _all_recorded(fleet: LocalFleet) -> bool:
    states = {found['specification']['state'] for found in fleet.stored(RECORD_KIND)}
    return states == {ExecutionState.ANSWERED.value}


def _calls_since(fleet: LocalFleet, before: dict[str, int]) -> tuple[int, int]:
    """Return writes and reads of objects, including the listings by the nodes."""
    writes = reads = 0
    for call, count in fleet.platform.calls.items():
        new_calls = count - before.get(call, 0)
        if call.startswith(('PUT', 'DELETE')):
            writes += new_calls
        elif call.startswith('GET objects'):
            reads += new_calls
    return writes, reads


def _print_rates(size: int) -> None:
    budget = STORE_WRITES_PER_SECOND * PAYMENTS_SHARE
    print(
        f'of {STORE_WRITES_PER_SECOND} writes per second, {budget:.0f} for payments:\n'
        f'  one record each (create, update, delete): {budget / 3:.0f} payments/s\n'
        f'  batches of 1 MiB, three writes each (calculated, not measured):'
        f' {MAX_VALUE_BYTES // size} records per batch, at most'
        f' {budget / 3 * (MAX_VALUE_BYTES // size):.0f} payments/s\n'
        f'  request ids: no write'
    )


def _begin_and_end(attempts: AttemptStore, key: str) -> None:
    attempts.begin(key, 'f', ordinal=0, now=0.0, life_seconds=600.0)
    attempts.end(key, ExecutionState.ANSWERED)


def _bytes_each(count: int, response_bytes: int) -> float:
    counter = itertools.count()
    tracemalloc.start()
    attempts = AttemptStore('inc', max_entries=count)
    for number in range(count):
        key = f'id:1.3.0f0f0f0f0f0f0f0f.{number}.1500.{"0" * 32}'
        attempts.begin(key, f'{next(counter):064x}', 0, 0.0, 600.0)
        response = None
        if response_bytes:
            body = b'x' * (response_bytes - 4) + number.to_bytes(4, 'big')
            response = StoredResponse(
                200, (('Content-Type', 'application/json'),), body
            )
        attempts.end(key, ExecutionState.ANSWERED, response)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(attempts) == count
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
