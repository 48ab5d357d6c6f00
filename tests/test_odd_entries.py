"""Tests that an odd entry of another writer costs nothing but itself.

Each entry is stored alone, before an entry VM starts or while it runs. The VM must be
ready, answer requests, and follow the other entries: servers that join and those that
drain.
"""

import asyncio
import json
from contextlib import AsyncExitStack
from typing import Any

import pytest

from daisylift.decisions.liveness import LOST_SECONDS
from daisylift.models.registered_server import RegisteredServer
from daisylift_node.platform import PlatformDocuments
from tests.entry_harness import (
    EntryHarness,
    make_desired_state,
    make_registration,
    make_rule,
)
from tests.fakes.platform import FakePlatform, RawJson
from tests.fakes.scripted_server import Script, ScriptedServer, http_response
from tests.utils import LogCapture, wait_until

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


ODD_MEMBER: dict[str, Any] = {
    'incarnation': 5,
    'failure_domain': 'arusha-a',
    'region': 'arusha',
    'caller_address': '127.9.9.9:80',
    'peer_host': '127.9.9.9',
    'peer_port': 7540,
    'link_mbps': 100.0,
    'cores': 1.0,
}


ODD_MEMBER_VALUES: dict[str, list[Any]] = {
    'incarnation': [None, -1, 2**32, 10**18, 'x', 3.5],
    'caller_address': [None, '', 'x', 7, ':80', 'a b:80', '\u0661:80', 'h:80\r\nx'],
    'peer_host': [None, '', 'host.example', 'a' * 300, '::1', '1.2.3.4\x00', 7],
    'peer_port': [None, 0, -1, 65536, 10**18, '7', 3.5],
    'link_mbps': [-1, 1e308, 'x'],
    'cores': [-1, 1e308, 'x'],
}


# Gossip stopped while a member had a peer port or a name that cannot be used, so that
# the VM was taken for lost and left out of the directory.
async def test_odd_members_do_not_stop_the_gossip() -> None:
    odd: dict[str, Any] = {
        f'odd-{field}-{number}': {**ODD_MEMBER, field: value}
        for field, values in ODD_MEMBER_VALUES.items()
        for number, value in enumerate(values)
    }
    odd |= {name: ODD_MEMBER for name in ODD_NAMES if not name.startswith('i-?')}
    odd |= {f'odd-{number}': value for number, value in enumerate(ODD_VALUES)}
    async with (
        EntryHarness(name='entry-1') as first,
        EntryHarness(name='entry-2', store=first.store, owns_store=False) as second,
    ):
        await first.configure(1, make_rule('/x/', 'catalogue'))
        for name, specification in odd.items():
            first.store.write('daisylift-members', name, specification)
        await asyncio.sleep(LOST_SECONDS + 1.0)
        listed = [
            json.loads((await each.get('directory', '/-/resolve')).body)['addresses']
            for each in (first, second)
        ]
        expected = []
        for harness in (first, second):
            assert harness.application is not None
            expected.append(str(harness.application.settings.listen.caller))
            metrics = harness.application.metrics.exposition().decode()
            assert 'daisylift_task_restarts_total{' not in metrics
            assert 'daisylift_timer_failures_total{' not in metrics
        assert listed == [sorted(expected)] * 2


async def test_odd_desired_states_and_evacuations_cost_only_themselves() -> None:
    for kind in ('config', 'evacuations'):
        odd = {f'odd-{number}': value for number, value in enumerate(ODD_VALUES)}
        await check_odd_objects(kind, odd | {name: VALID for name in ODD_NAMES})


@pytest.mark.parametrize('value', ['arusha-b', '\u0661', 'line\r\nx', 'a' * 100_000])
async def test_a_desired_state_with_odd_values_is_ignored(value: str) -> None:
    async with ScriptedServer([Script(ANSWER)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        state = make_desired_state(2, make_rule('/x/', 'catalogue'))
        harness.store.write('config', 'main', state | {'version': value})
        await asyncio.sleep(0.2)
        assert (await harness.send()).status == 200
        await harness.configure(3, make_rule('/z/', 'catalogue'))
        assert (await harness.send()).status == 404


# An exception for one entry hid all others that changed with it.
async def test_an_unexpected_error_for_one_entry_does_not_hide_others(
    logs: LogCapture, monkeypatch: pytest.MonkeyPatch
) -> None:
    decode = PlatformDocuments.server

    def fail_for_odd(self: PlatformDocuments, name: str, body: Any) -> RegisteredServer:
        if name == 'i-odd':
            raise ZeroDivisionError
        return decode(self, name, body)

    monkeypatch.setattr(PlatformDocuments, 'server', fail_for_odd)
    await check_odd_objects('servers', {'i-odd': VALID})
    line = logs.first('object of the store not applied')
    assert (line['kind'], line['name']) == ('servers', 'i-odd')


async def test_entries_that_cannot_be_decoded_are_counted() -> None:
    async with EntryHarness() as harness:
        await harness.register(i_1={}, i_2=VALID)
        assert harness.application is not None
        view = harness.application.view
        assert view.unreadable_count('servers') == 2
        harness.store.remove('servers', 'i-1')
        await wait_until(lambda: view.unreadable_count('servers') == 1)
