"""Tests of which requests are retried, and which servers they may be sent to."""

import asyncio

import pytest

from daisylift.decisions.ranking import Proximity
from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response

COMPLETE = http_response(b'whole', 'r-1', extra=('Server-Load: 1,0,4', 'X-Kept: yes'))
SHED = http_response(b'', 'r-1', '503 Service Unavailable', ('Not-Executed: 1',))
OTHER = http_response(b'', 'r-1', '421 Misdirected Request', ('Instance-Id: i-9',))
CROSSED = http_response(b'somebody else', 'r-0')
LATE_SHED = http_response(b'', 'r-0', '503 Service Unavailable', ('Not-Executed: 1',))
BROKEN = Script(COMPLETE[:-2], close=True)
PATIENT = {'Deadline-Milliseconds': '9000'}
FAILED = http_response(b'oops', 'r-1', '500 Internal Server Error')


@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
@pytest.mark.parametrize('answer', [SHED, OTHER])
async def test_a_request_that_has_not_run_is_sent_again(
    kind: str, answer: bytes
) -> None:
    scripts = [Script(answer), Script(COMPLETE)]
    async with (
        ScriptedServer(scripts) as first,
        ScriptedServer(scripts) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue', kind))
        await harness.register(
            i_1=make_registration(first), i_2=make_registration(second)
        )
        assert (await harness.send('POST', data=b'pay')).status == 200
        assert len(first.requests) == len(second.requests) == 1


@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
async def test_a_request_that_never_ran_is_reported_as_not_run(kind: str) -> None:
    async with (
        ScriptedServer([Script(SHED)]) as first,
        ScriptedServer([Script(SHED)]) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue', kind))
        await harness.register(
            i_1=make_registration(first), i_2=make_registration(second)
        )
        reply = await harness.send('POST', data=b'pay')
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) > 0.0
        assert 'Response-Stamp' not in reply.headers


@pytest.mark.parametrize(
    'script', [BROKEN, Script(CROSSED), Script(b'', reset=True), Script(FAILED)]
)
async def test_a_safe_request_is_sent_again_after_a_failure(script: Script) -> None:
    scripts = [script, Script(COMPLETE)]
    async with (
        ScriptedServer(scripts) as first,
        ScriptedServer(scripts) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(
            i_1=make_registration(first), i_2=make_registration(second)
        )
        reply = await harness.send()
        assert (reply.status, reply.body) == (200, b'whole')


@pytest.mark.parametrize(
    'script', [BROKEN, Script(CROSSED), Script(LATE_SHED), Script(b'', reset=True)]
)
async def test_a_request_that_may_have_run_is_never_sent_again(script: Script) -> None:
    """A late 'not executed' response of another request does not allow it either."""
    scripts = [script, Script(COMPLETE)]
    async with (
        ScriptedServer(scripts) as first,
        ScriptedServer(scripts) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe'))
        await harness.register(
            i_1=make_registration(first, 'till'), i_2=make_registration(second, 'till')
        )
        reply = await harness.send('POST', data=b'pay')
        assert reply.status == 502
        assert len(first.requests) + len(second.requests) == 1


@pytest.mark.parametrize(
    'repeated',
    [
        SHED,
        http_response(b'', 'r-1', '429 Too Many Requests', ('Not-Executed: 1',)),
        b'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n',
        b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n',
        http_response(b'', 'r-2', '503 Service Unavailable'),
    ],
    ids=['named', 'named 429', 'unnamed', 'unstated', 'unstated, named'],
)
async def test_an_earlier_refusal_written_again_promises_nothing(
    repeated: bytes,
) -> None:
    """A faulty server repeats it on a kept connection while it runs the request."""
    async with (
        ScriptedServer([Script(SHED), Script(repeated, after_seconds=0.5)]) as faulty,
        ScriptedServer([Script(COMPLETE)]) as other,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'till', 'unsafe', attempts=3))
        await harness.register(i_1=make_registration(faulty, 'till'))
        assert (await harness.send('POST', data=b'pay')).status == 503
        second = asyncio.create_task(
            harness.send('POST', data=b'pay', headers={'Request-Id': 'r-2'})
        )
        await asyncio.sleep(0.1)
        await harness.register(i_2=make_registration(other, 'till'))
        assert (await second).status == 502
        assert faulty.connections == 1
        assert (len(faulty.requests), len(other.requests)) == (2, 0)


async def test_a_server_whose_address_was_reassigned_is_excluded() -> None:
    """Otherwise each request would use up one of its few attempts on that server."""
    async with (
        ScriptedServer([Script(OTHER)] * 9) as gone,
        ScriptedServer([Script(COMPLETE)] * 9) as sound,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(
            i_1=make_registration(gone), i_2=make_registration(sound)
        )
        for key in range(8):
            assert (
                await harness.send(headers={'Affinity-Key': str(key)})
            ).status == 200
        assert len(gone.requests) == 1
        moved = make_registration(gone, born=2)
        gone.scripts = [Script(COMPLETE)] * 9
        await harness.register(i_1=moved)
        for key in range(8):
            assert (
                await harness.send(headers={'Affinity-Key': str(key)})
            ).status == 200
        assert len(gone.requests) > 1


async def test_home_regions_restrict_placement() -> None:
    async with ScriptedServer([Script(COMPLETE)]) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue', home_regions=['dar']))
        await harness.register(i_1=make_registration(server))
        assert (await harness.send()).status == 503
        await harness.register(i_2=make_registration(server, zone='dar-a'))
        assert (await harness.send()).status == 200


async def test_retries_are_counted_by_their_reason() -> None:
    scripts = [Script(SHED), Script(COMPLETE)]
    async with (
        ScriptedServer(scripts) as first,
        ScriptedServer(scripts) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(
            i_1=make_registration(first), i_2=make_registration(second)
        )
        assert (await harness.send()).status == 200
        assert harness.application is not None
        text = harness.application.metrics.exposition().decode()
        assert 'daisylift_retries_total{reason="shed",service="catalogue"} 1.0' in text


async def test_requests_only_other_regions_can_serve_are_not_limited() -> None:
    """The limit on region shifts applies only if the local region is an option.

    Otherwise refusing the requests would help nobody.
    """
    async with (
        ScriptedServer([Script(COMPLETE)] * 200) as near,
        ScriptedServer([Script(COMPLETE)] * 200) as far,
        EntryHarness() as harness,
    ):
        await harness.configure(
            1, make_rule('/x/', 'catalogue'), make_rule('/o/', 'till', 'unsafe')
        )
        await harness.register(
            i_1=make_registration(near),
            i_2=make_registration(far, 'till', zone='dar-a'),
        )
        for _ in range(50):
            assert (await harness.send()).status == 200
            await asyncio.sleep(0.05)
        statuses = [(await harness.send('POST', '/o/1')).status for _ in range(50)]
        assert statuses == [200] * 50


async def test_a_free_server_is_used_though_others_wait_for_a_busy_one() -> None:
    """One object's server is full and has a queue; other objects' servers are idle.

    The queue of the full server must not delay requests for the idle ones.
    """
    slow = Script(COMPLETE, after_seconds=0.6)
    async with (
        ScriptedServer([slow] * 40) as first,
        ScriptedServer([slow] * 40) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue', timeout_ms=5000))
        await harness.register(
            i_1=make_registration(first, slots=1),
            i_2=make_registration(second, slots=1),
        )
        assert harness.application is not None
        placer = harness.application.view.placer('catalogue')

        def first_server(number: int) -> str:
            ranking = placer.rankings.for_object(f'safe/{number}')
            return ranking.entries(Proximity.SAME_REGION)[0].server.id

        keys = {
            server: next(str(n) for n in range(100) if first_server(n) == server)
            for server in ('i-1', 'i-2')
        }
        popular = [
            asyncio.create_task(
                harness.send(
                    headers={'Affinity-Key': keys['i-1'], **PATIENT},
                )
            )
            for _ in range(3)
        ]
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await harness.send(headers={'Affinity-Key': keys['i-2'], **PATIENT})
        assert reply.status == 200
        assert loop.time() - started < 1.0
        await asyncio.gather(*popular)


@pytest.mark.parametrize(
    'head',
    [
        b'GET /x/\xe9 HTTP/1.1\r\nHost: a.example\r\n',
        b'GET /x/\x7f HTTP/1.1\r\nHost: a.example\r\n',
        b'GET /x/1 HTTP/1.1\r\nHost: a.example\r\nHost: a.example\r\n',
        b'GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX(: 1\r\n',
        b'GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX: \x0b1\r\n',
    ],
)
async def test_a_malformed_request_is_not_counted_as_a_server_failure(
    head: bytes,
) -> None:
    """A request head that is invalid HTTP must not count as a failure of the server."""
    async with (
        ScriptedServer([Script(COMPLETE)] * 4) as server,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert harness.application is not None
        address = harness.application.settings.listen.caller
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(head + b'Request-Id: r-1\r\n\r\n')
        status = await reader.readline()
        writer.close()
        if not server.requests:
            assert status.split()[1] == b'400'
        candidate = harness.application.view.placer('catalogue').candidates_by_id['i-1']
        assert candidate.stats.failure_rate(0.0) == 0.0
        assert (await harness.send()).status == 200
