"""Tests of what servers say about new requests, over the sockets of an entry VM.

A server that said in its answers that it leaves went on getting requests while its
registration was ready, and one that wanted nothing for a while got them all the time.
"""

import asyncio
from typing import Any

import pytest

from daisylift_node.version.fleet_view import LAPSE_GRACE_SECONDS
from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response
from tests.utils import LogCapture, wait_until

LEAVING = 'Server-Leaving: 1'
NOT_RUN = 'Not-Executed: 1'
PAUSE_SECONDS = 1.0
TURNED_AWAY = '503 Service Unavailable'


def answers(count: int, *extra: str, status: str = '200 OK') -> list[Script]:
    return [Script(http_response(b'whole', 'r-1', status, extra))] * count


async def send_all(harness: EntryHarness, count: int, **keywords: Any) -> list[int]:
    return [(await harness.send(**keywords)).status for _ in range(count)]


@pytest.mark.parametrize('status', ['200 OK', '404 Not Found', '500 Broken'])
async def test_a_server_that_says_it_leaves_gets_nothing_more(
    status: str, logs: LogCapture
) -> None:
    leaving = answers(1, LEAVING, status=status) + answers(9)
    async with (
        ScriptedServer(leaving) as first,
        ScriptedServer(answers(9)) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(first))
        await harness.send()
        await harness.register(i_2=make_registration(second))
        await harness.register(i_1=make_registration(first, sequence=2))
        assert await send_all(harness, 5) == [200] * 5
        assert len(first.requests) == 1
        assert harness.application is not None
        metrics = harness.application.metrics.exposition().decode()
    line = logs.first('server leaves')
    assert (line['server'], line['source']) == ('i-1', 'response')
    assert 'daisylift_server_statements_total{service="catalogue",statement="leaving"}'
    assert 'statement="leaving"} 1.0' in metrics


async def test_neither_a_lapse_nor_the_store_undoes_what_a_server_said() -> None:
    async with (
        ScriptedServer(answers(1, LEAVING) + answers(9)) as first,
        ScriptedServer(answers(9)) as second,
        EntryHarness(heartbeat_ms=50.0) as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(first))
        copied = harness.store.revision
        await harness.send()
        await harness.register(i_2=make_registration(second))
        harness.store.remove('servers', 'i-1')
        await asyncio.sleep(LAPSE_GRACE_SECONDS + 0.5)
        await harness.register(i_1=make_registration(first, sequence=3))
        assert await send_all(harness, 2) == [200] * 2
        harness.store.restore(copied)
        await harness.register(i_2=make_registration(second, sequence=2))
        await asyncio.sleep(0.5)
        assert await send_all(harness, 2) == [200] * 2
        assert len(first.requests) == 1


async def test_a_new_start_of_a_server_that_left_is_used() -> None:
    async with (
        ScriptedServer(answers(1, LEAVING) + answers(9)) as server,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        await harness.send()
        assert await send_all(harness, 1) == [503]
        await harness.register(i_1=make_registration(server, born=2))
        assert await send_all(harness, 1) == [200]


async def test_an_answer_of_another_server_says_nothing_of_the_one_meant() -> None:
    wrong = answers(1, LEAVING, status='421 Misdirected Request')
    async with (
        ScriptedServer(wrong) as first,
        ScriptedServer(answers(9)) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue', attempts=1))
        await harness.register(i_1=make_registration(first))
        await harness.send()
        moved = make_registration(second, sequence=2)
        await harness.register(i_1=moved)
        assert await send_all(harness, 1) == [200]


async def test_callers_are_refused_at_once_when_the_last_server_leaves() -> None:
    async with (
        ScriptedServer(answers(1, LEAVING)) as server,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        await harness.send()
        async with asyncio.timeout(0.3):
            reply = await harness.send()
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) > 0.0


NONSENSE = ['0', 'yes', '', '1, 1', 'Thu, 01 Jan 2026 00:00:00 GMT']


@pytest.mark.parametrize('value', NONSENSE)
async def test_a_leaving_that_makes_no_sense_is_ignored(
    value: str, logs: LogCapture
) -> None:
    odd = answers(3, f'Server-Leaving: {value}')
    async with ScriptedServer(odd) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert await send_all(harness, 3) == [200] * 3
        assert harness.application is not None
        metrics = harness.application.metrics.exposition().decode()
    assert 'statement="unreadable"} 3.0' in metrics
    line = logs.first('cannot decode what a server says of new requests')
    assert line['headers'] == ['server-leaving']


async def test_a_leaving_that_is_said_twice_is_ignored() -> None:
    twice = answers(2, LEAVING, LEAVING)
    async with ScriptedServer(twice) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert await send_all(harness, 2) == [200] * 2


def turned_away(value: str) -> list[Script]:
    return answers(1, NOT_RUN, f'Retry-After: {value}', status=TURNED_AWAY)


async def test_a_server_that_wants_nothing_for_a_while_gets_nothing(
    logs: LogCapture,
) -> None:
    async with (
        ScriptedServer(turned_away(f'{PAUSE_SECONDS:.1f}') + answers(9)) as first,
        ScriptedServer(answers(9)) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe'))
        await harness.register(i_1=make_registration(first, 'till'))
        assert (await harness.send('POST', data=b'1')).status == 503
        await harness.register(i_2=make_registration(second, 'till'))
        assert await send_all(harness, 4, method='POST', data=b'1') == [200] * 4
        assert len(first.requests) == 1
        harness.store.remove('servers', 'i-2')
        await asyncio.sleep(LAPSE_GRACE_SECONDS + PAUSE_SECONDS)
        assert await send_all(harness, 2, method='POST', data=b'1') == [200] * 2
        assert len(first.requests) == 3
    assert logs.first('server takes no requests for a while')['seconds'] == 1.0


async def test_callers_are_refused_at_once_while_all_servers_want_nothing(
    logs: LogCapture,
) -> None:
    async with (
        ScriptedServer(turned_away('30') + answers(9)) as first,
        ScriptedServer(turned_away('20.5') + answers(9)) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(first))
        await harness.register(i_2=make_registration(second))
        async with asyncio.timeout(0.5):
            replies = [await harness.send() for _ in range(6)]
        assert [each.status for each in replies] == [503] * 6
        for each in replies:
            assert 20.0 <= float(each.headers['Retry-After']) <= 30.0
        assert len(first.requests) + len(second.requests) == 2
    assert logs.with_message('refused')[-1]['reason'] == 'paused'


async def test_waiting_requests_are_refused_when_all_servers_want_nothing() -> None:
    busy = Script(http_response(b'whole', 'r-1'), after_seconds=0.4)
    busy_then_away = Script(turned_away('30')[0].response, after_seconds=0.3)
    async with (
        ScriptedServer([busy, busy_then_away]) as server,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue', timeout_ms=9000))
        await harness.register(i_1=make_registration(server, slots=2))
        sends = [asyncio.create_task(harness.send()) for _ in range(3)]
        headers = {'Deadline-Milliseconds': '9000'}
        waiting = asyncio.create_task(harness.send(headers=headers))
        async with asyncio.timeout(2.0):
            statuses = [(await each).status for each in (*sends, waiting)]
        assert sorted(statuses) == [200, 503, 503, 503]


@pytest.mark.parametrize(
    'value', ['-1', 'nan', 'inf', '', '9' * 30, '4000', 'x', '1 2']
)
async def test_a_pause_that_makes_no_sense_is_ignored(
    value: str, logs: LogCapture
) -> None:
    async with (
        ScriptedServer(turned_away(value) + answers(9)) as server,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        await harness.send()
        assert await send_all(harness, 2) == [200] * 2
    line = logs.first('cannot decode what a server says of new requests')
    assert line['headers'] == ['retry-after']


async def test_a_request_with_a_place_is_not_sent_to_a_server_that_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The server says that it leaves while the connection is being opened."""
    async with (
        ScriptedServer(answers(9)) as first,
        ScriptedServer(answers(9)) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(first))
        assert harness.application is not None
        pool, view = harness.application.pool, harness.application.view
        candidate = view.placer('catalogue').candidates_by_id['i-1']
        open_connection = pool._open

        async def leave_then_open(server: Any) -> Any:
            if server.id == 'i-1':
                candidate.stats.availability.record_leaving()
                view.record_availability_change(server, candidate.stats.availability)
            return await open_connection(server)

        monkeypatch.setattr(pool, '_open', leave_then_open)
        await harness.register(i_2=make_registration(second, zone='dar-a'))
        await wait_until(lambda: 'i-2' in view.placer('catalogue').candidates_by_id)
        assert await send_all(harness, 2) == [200] * 2
        assert not first.requests
