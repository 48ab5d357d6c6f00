"""Tests that limits named by servers are read, logged and adopted in order."""

import io
import json

import pytest
from loguru import logger

from daisylift.decisions.server_limits import ServerLimit
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
