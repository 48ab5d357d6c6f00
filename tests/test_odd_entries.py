"""Tests that an odd entry of another writer costs nothing but itself.

Each entry is stored alone, before an entry VM starts or while it runs. The VM must be
ready, answer requests, and follow the other entries: servers that join and those that
drain.
"""

import json
from contextlib import AsyncExitStack
from typing import Any

import pytest

from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.platform import FakePlatform, RawJson
from tests.fakes.scripted_server import Script, ScriptedServer, http_response
from tests.utils import wait_until

ANSWER = http_response(b'whole', 'r-1')
REQUESTS = 6
VALID: dict[str, Any] = {  # without the address, which is that of a running server
    'service': 'catalogue',
    'zone': 'arusha-a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 1,
    'born': 1,
}


async def check_odd_object(kind: str, name: str, specification: Any) -> None:
    """Check that the object does no harm, stored while the VM runs and before."""
    await check_odd_objects(kind, {name: specification})


async def check_odd_objects(kind: str, specifications: dict[str, Any]) -> None:
    """Check that the objects, by name, do no harm together."""
    for is_first in (False, True):
        store = FakePlatform()
        await store.start()
        try:
            await _check(store, kind, specifications, is_first=is_first)
        finally:
            await store.stop()


async def _check(
    store: FakePlatform, kind: str, specifications: dict[str, Any], *, is_first: bool
) -> None:
    def write_odd_objects(server: ScriptedServer) -> None:
        address = f'127.0.0.1:{server.port}'
        for name, specification in specifications.items():
            if isinstance(specification, dict) and name != 'odd-without-address':
                specification = {'address': address, **specification}
            store.write(kind, name, specification)

    async with (
        ScriptedServer([Script(ANSWER)] * 2 * REQUESTS) as odd,
        ScriptedServer([Script(ANSWER)] * REQUESTS) as first,
        ScriptedServer([Script(ANSWER)] * REQUESTS) as second,
        AsyncExitStack() as stack,
    ):
        if is_first:
            write_odd_objects(odd)
        harness = await stack.enter_async_context(
            EntryHarness(store=store, owns_store=False)
        )
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(first))
        if not is_first:
            write_odd_objects(odd)
        await harness.register(i_2=make_registration(second))
        await harness.register(i_1=make_registration(first, state='draining'))
        assert harness.application is not None
        view = harness.application.view
        await wait_until(lambda: 'i-2' in view.placer('catalogue').candidates_by_id)
        await wait_until(lambda: 'i-1' not in view.placer('catalogue').candidates_by_id)
        assert (await harness.get('readiness', '/-/readiness')).status == 200
        for _ in range(REQUESTS):
            assert (await harness.send()).status == 200
        assert not first.requests
        metrics = harness.application.metrics.exposition().decode()
        assert 'daisylift_task_restarts_total{' not in metrics


@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1:808\u00b2',  # a digit to str.isdigit, not to int
        '127.0.0.1:\u2460',
        '127.0.0.1:' + '9' * 5000,  # more digits than int reads
    ],
)
async def test_an_unreadable_port_does_not_end_the_following_of_servers(
    address: str,
) -> None:
    await check_odd_object('servers', 'i-odd', {**VALID, 'address': address})


def raw_server(**changes: bytes) -> RawJson:
    """Return a registration in which the JSON of some values is replaced."""
    values = {name: json.dumps(value).encode() for name, value in VALID.items()}
    values['address'] = b'"127.0.0.1:9"'
    values |= changes
    members = (b'"%b":%b' % (name.encode(), value) for name, value in values.items())
    return RawJson(b'{%b}' % b','.join(members))


# A list or watch with such bytes failed as a whole, at each attempt.
@pytest.mark.parametrize(
    'specification',
    [
        raw_server(address=b'"127.0.0.1:808\xb2"'),
        raw_server(service=b'"\xff\xfe"'),
        raw_server(service=b'"\\ud800"'),
        raw_server(service=b'"\x00\x1f"'),
        raw_server(slots=b'9' * 5000),
        raw_server(slots=b'1e999'),
        raw_server(cold_remaining_ms=b'NaN'),
        raw_server(cold_remaining_ms=b'Infinity'),
        raw_server(cold_remaining_ms=b'-Infinity'),
        raw_server(born=b'-' + b'9' * 400),
        raw_server(slots=b'04'),
        raw_server(slots=b'nothing'),
        raw_server(sequence=b'[' * 500 + b']' * 500),
        raw_server(sequence=b'[' * 950 + b']' * 950),
        raw_server(sequence=b'[' * 100_000 + b']' * 100_000),
        raw_server(sequence=b'{"a":' * 5000 + b'1' + b'}' * 5000),
        RawJson(b'{"slots": 4,, "state": }'),
        RawJson(b'[' * 100_000 + b']' * 100_000),
        RawJson(b'"' + b'x' * 900_000 + b'"'),
    ],
    ids=range(19),
)
async def test_bytes_that_cannot_be_read_cost_only_their_entry(
    specification: RawJson,
) -> None:
    await check_odd_object('servers', 'i-odd', specification)


ODD_VALUES: list[Any] = [
    None,
    True,
    0,
    -1,
    7,
    3.5,
    10**18,
    -(10**18),
    1e308,
    -1e308,
    '',
    ' ',
    'x',
    '7',
    'a' * 100_000,
    'line\r\nInjected: yes',
    'nul\x00',
    '\u0661',
    [],
    {},
    [1],
    {'a': 1},
]
ODD_NAMES = [
    'i-line\r\nInjected: yes',
    'i-nul\x00',
    'i-\u0661',
    'i-\ud800',
    'i-\xff',
    'i-?x#y/../z',
    ' ',
    'i-' + 'a' * 100_000,
]


# A number of slots that no float can hold, or a name that is no header value, failed
# each request of the service.
async def test_odd_values_of_registrations_cost_only_their_entry() -> None:
    odd = {
        f'odd-{field}-{number}': {**VALID, field: value}
        for field in (*VALID, 'address')
        for number, value in enumerate(ODD_VALUES)
    }
    odd |= {
        f'odd-without-{field}': {
            name: value for name, value in VALID.items() if name != field
        }
        for field in (*VALID, 'address')
    }
    odd |= {f'odd-{number}': value for number, value in enumerate(ODD_VALUES)}
    await check_odd_objects('servers', odd)


async def test_odd_names_of_registrations_cost_only_their_entry() -> None:
    await check_odd_objects('servers', {name: VALID for name in ODD_NAMES})
