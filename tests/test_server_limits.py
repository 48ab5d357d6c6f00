"""Tests that limits named by servers are read, logged and adopted in order."""

import asyncio
import io
import json

import pytest
from loguru import logger

from daisylift.decisions.limit_notices import LimitNotice, LimitNotices
from daisylift.decisions.server_limits import MAX_NOTICE_AGE_SECONDS, ServerLimit
from daisylift_node.platform import PlatformDialect
from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response

LIMIT_CHANGED = 'request rate limit of the server changed'


@pytest.mark.parametrize(('text', 'rate'), [('9', 9.0), ('7.3', 7.3), ('0', 0.0)])
def test_a_limit_is_a_decimal_number(text: str, rate: float) -> None:
    metadata = PlatformDialect().read_response(200, {'server-limit': text})
    assert metadata.limit_per_second == rate
    assert not metadata.has_unreadable_limit


@pytest.mark.parametrize('text', ['', 'many', '-1', 'nan', 'inf', '9, 7'])
def test_an_unreadable_limit_is_told_from_none(text: str) -> None:
    metadata = PlatformDialect().read_response(200, {'server-limit': text})
    assert metadata.limit_per_second is None
    assert metadata.has_unreadable_limit
    assert not PlatformDialect().read_response(200, {}).has_unreadable_limit


def test_a_late_response_does_not_raise_or_withdraw_a_limit() -> None:
    limit = ServerLimit()
    assert limit.record_response(10.0, sent_at=0.9, now=1.0)
    assert limit.record_response(5.0, sent_at=1.5, now=2.0)
    assert not limit.record_response(10.0, sent_at=1.9, now=2.1)
    assert not limit.record_response(None, sent_at=1.9, now=2.2)
    assert limit.per_second == 5.0


def test_a_limit_is_raised_and_withdrawn_while_requests_overlap() -> None:
    """Confirmations keep arriving between a request and its response."""
    limit = ServerLimit()
    limit.record_response(5.0, sent_at=0.9, now=1.0)
    limit.record_response(5.0, sent_at=1.9, now=2.5)
    assert limit.record_response(8.0, sent_at=2.0, now=2.6)
    assert limit.record_response(None, sent_at=2.7, now=2.9)
    assert limit.per_second is None


def test_a_lower_limit_counts_at_once() -> None:
    limit = ServerLimit()
    limit.record_response(10.0, sent_at=0.9, now=1.0)
    assert limit.record_response(5.0, sent_at=0.5, now=1.1)


async def test_changes_of_a_limit_are_logged_once_and_requests_name_it() -> None:
    limited = http_response(b'whole', 'r-1', extra=('Server-Limit: 9',))
    free = http_response(b'whole', 'r-1')
    scripts = [Script(limited), Script(limited), Script(free)]
    stream = io.StringIO()
    sink = logger.add(stream, serialize=True)
    try:
        async with ScriptedServer(scripts) as server, EntryHarness() as harness:
            await harness.configure(1, make_rule('/x/', 'catalogue'))
            await harness.register(i_1=make_registration(server))
            for _ in range(3):
                assert (await harness.send()).status == 200
                await asyncio.sleep(1.0 / 9.0)
    finally:
        logger.remove(sink)
    records = [json.loads(line)['record'] for line in stream.getvalue().splitlines()]
    changes = [each['extra'] for each in records if each['message'] == LIMIT_CHANGED]
    assert [(each['previous'], each['per_second']) for each in changes] == [
        (None, 9.0),
        (9.0, None),
    ]
    ends = [each['extra'] for each in records if each['message'] == 'answered']
    assert [each.get('server_limit') for each in ends] == [None, 9.0, 9.0]


def test_a_notice_raises_a_limit_only_if_it_is_clearly_newer() -> None:
    limit = ServerLimit()
    assert limit.record_notice(5.0, age_seconds=0.5, now=10.0)
    assert not limit.record_notice(8.0, age_seconds=0.1, now=10.2)
    assert limit.record_notice(8.0, age_seconds=0.1, now=11.0)
    assert limit.record_notice(4.0, age_seconds=0.1, now=11.1)
    assert limit.record_notice(None, age_seconds=0.1, now=12.5)


def test_an_old_notice_does_not_bring_a_withdrawn_limit_back() -> None:
    limit = ServerLimit()
    limit.record_response(5.0, sent_at=0.9, now=1.0)
    limit.record_response(None, sent_at=1.9, now=2.0)
    assert not limit.record_notice(5.0, age_seconds=1.1, now=2.1)
    assert not limit.record_notice(5.0, age_seconds=MAX_NOTICE_AGE_SECONDS + 1, now=2.1)
    assert limit.per_second is None


def test_a_notice_of_a_peer_does_not_outdate_the_own_responses() -> None:
    limit = ServerLimit()
    limit.record_response(5.0, sent_at=0.9, now=1.0)
    assert not limit.record_notice(9.0, age_seconds=0.2, now=1.1)
    assert not limit.record_notice(None, age_seconds=0.2, now=1.1)
    assert limit.per_second == 5.0


def test_changed_limits_are_reported_first_and_withdrawn_ones_for_a_while() -> None:
    notices = LimitNotices()
    limits = [ServerLimit() for _ in range(3)]
    for number, limit in enumerate(limits):
        limit.record_response(9.0, sent_at=0.0, now=1.0)
        notices.put(number, limit)
    assert [each.incarnation_id for each in notices.take(2, 1.0)] == [0, 1]
    assert [each.incarnation_id for each in notices.take(2, 1.5)] == [2, 0]
    limits[2].record_response(None, sent_at=1.8, now=2.0)
    notices.put(2, limits[2])
    assert notices.take(1, 2.5) == [LimitNotice(2, None, 0.5)]
    later = 2.0 + MAX_NOTICE_AGE_SECONDS + 0.5
    assert notices.take(3, later) == []
    notices.discard(0)
    notices.discard(1)
    assert not notices


async def test_a_server_over_its_limit_is_passed_over_for_another() -> None:
    limited = [Script(http_response(b'slow', 'r-1', extra=('Server-Limit: 1',)))] * 9
    free = [Script(http_response(b'fast', 'r-1'))] * 20
    async with (
        ScriptedServer(limited) as first,
        ScriptedServer(free) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(first))
        assert (await harness.send()).body == b'slow'
        await harness.register(i_2=make_registration(second))
        bodies = [
            (await harness.send(headers={'Affinity-Key': str(number)})).body
            for number in range(12)
        ]
        assert bodies == [b'fast'] * 12


async def test_beyond_the_limits_of_all_servers_requests_are_refused_at_once() -> None:
    """The server answered many requests in the second before it named a limit."""
    free = [Script(http_response(b'fast', 'r-1'))] * 20
    limited = [Script(http_response(b'slow', 'r-1', extra=('Server-Limit: 0.5',)))] * 9
    async with ScriptedServer(free + limited) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        for _ in range(len(free) + 1):
            assert (await harness.send()).status == 200
        started = asyncio.get_running_loop().time()
        reply = await harness.send()
        assert reply.status == 503
        assert asyncio.get_running_loop().time() - started < 0.1
        assert json.loads(reply.body)['error'] == 'rate_limited'
        assert float(reply.headers['Retry-After']) > 0.0
        assert len(server.requests) == len(free) + 1


async def test_a_server_that_restarts_has_no_limit_any_more() -> None:
    limited = [Script(http_response(b'slow', 'r-1', extra=('Server-Limit: 0',)))] * 2
    async with ScriptedServer(limited) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert (await harness.send()).status == 200
        assert (await harness.send()).status == 503
        await harness.register(i_1=make_registration(server, born=2))
        assert (await harness.send()).status == 200


async def test_a_vm_hears_from_peers_that_a_limit_was_named_and_withdrawn() -> None:
    limited = [Script(http_response(b'slow', 'r-1', extra=('Server-Limit: 4',)))]
    free = [Script(http_response(b'fast', 'r-1'))] * 9
    async with (
        ScriptedServer(limited + free) as server,
        EntryHarness(name='entry-1') as first,
        EntryHarness(store=first.store, name='entry-2', owns_store=False) as second,
    ):
        await first.configure(1, make_rule('/x/', 'catalogue'))
        await first.register(i_1=make_registration(server))
        assert (await first.send()).status == 200
        await asyncio.sleep(1.0)
        assert _known_limit(second) == 4.0
        await asyncio.sleep(0.5)
        for _ in range(4):
            assert (await first.send()).status == 200
            await asyncio.sleep(0.5)
        assert _known_limit(first) is None
        assert _known_limit(second) is None
        assert len(server.requests) == 5


def _known_limit(harness: EntryHarness) -> float | None:
    assert harness.application is not None
    candidates_by_id = harness.application.view.placer('catalogue').candidates_by_id
    return candidates_by_id['i-1'].stats.limit.per_second


async def _limit_after(*responses: bytes) -> float | None:
    """Return the limit that is known after the responses of a server."""
    scripts = [Script(response) for response in responses]
    async with ScriptedServer(scripts) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        for _ in responses:
            await harness.send()
            await asyncio.sleep(0.05)
        return _known_limit(harness)


@pytest.mark.parametrize('text', ['many', '-3', ''])
async def test_an_unreadable_limit_leaves_the_one_before(text: str) -> None:
    named = http_response(b'whole', 'r-1', extra=('Server-Limit: 50',))
    unreadable = http_response(b'whole', 'r-1', extra=(f'Server-Limit: {text}',))
    assert await _limit_after(named, unreadable) == 50.0


async def test_a_failure_that_is_not_the_servers_own_withdraws_no_limit() -> None:
    named = http_response(b'whole', 'r-1', extra=('Server-Limit: 50',))
    failure = b'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n'
    assert await _limit_after(named, failure) == 50.0


async def test_a_limit_of_another_server_at_the_address_is_not_believed() -> None:
    other = http_response(b'', 'r-1', '421 Misdirected', ('Server-Limit: 3',))
    assert await _limit_after(other) is None
