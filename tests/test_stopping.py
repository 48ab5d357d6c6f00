"""Tests of the planned stop: its phases, its gate, and the responses to callers."""

import asyncio

import aiohttp
import pytest
import yarl
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions.stopping import (
    ANNOUNCEMENT_SPREAD_SECONDS,
    StopPhase,
    StopPlan,
    announce_seconds,
    longest_stop_seconds,
)
from daisylift.models import Policy, Service
from daisylift.models.policy import MAX_ANSWER_TTL_SECONDS
from daisylift_node.config import StopSettings
from daisylift_node.connection.caller import caller_server
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.stopping import PlannedStop, StopGate
from tests.utils import policy_document, wait_until

PLAN = StopPlan(started_at=100.0, announce_seconds=3.0, finish_seconds=10.0)


@pytest.mark.parametrize(
    ('now', 'in_flight', 'has_others', 'phase'),
    [
        (100.0, 0, True, StopPhase.ANNOUNCING),
        (102.9, 5, True, StopPhase.ANNOUNCING),
        (103.0, 1, True, StopPhase.FINISHING),
        (103.0, 0, True, StopPhase.DONE),
        (112.9, 1, True, StopPhase.FINISHING),
        (113.0, 1, True, StopPhase.DONE),
        (100.0, 0, False, StopPhase.DONE),
        (100.0, 1, False, StopPhase.FINISHING),
    ],
)
def test_phases(now, in_flight, has_others, phase):
    assert PLAN.phase(now, in_flight, has_others=has_others) is phase


@given(waits=st.lists(st.floats(0.0, 20.0), min_size=2), in_flight=st.integers(0, 3))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_phases_only_go_forward_and_end(waits, in_flight):
    order = list(StopPhase)
    seen = [
        order.index(PLAN.phase(100.0 + wait, in_flight, has_others=True))
        for wait in sorted(waits)
    ]
    assert seen == sorted(seen)
    assert PLAN.phase(113.0, in_flight, has_others=True) is StopPhase.DONE


def test_announcing_outlasts_every_cached_lookup_reply():
    document = policy_document()
    document['services'][0]['answer_ttl_seconds'] = 7.0
    policy = Policy.model_validate(document)
    assert announce_seconds(3.0, policy) == ANNOUNCEMENT_SPREAD_SECONDS + 7.0
    assert announce_seconds(60.0, policy) == 60.0


class StopHarness:
    """A caller port with a stop gate, and a handler that waits for ``may_finish``."""

    def __init__(self, announce: float, finish: float) -> None:
        self.may_finish = asyncio.Event()
        self.others = ('127.0.0.1:7000',)
        self.gate = StopGate(self._work, Metrics(), lambda: self.others)
        self.stop = PlannedStop(
            StopSettings(announce_seconds=announce, finish_seconds=finish),
            self.gate,
            asyncio.get_running_loop().time,
            lambda: bool(self.others),
        )

    async def _work(self, request: web.BaseRequest) -> web.Response:
        if request.path.endswith('slow'):
            await self.may_finish.wait()
        return web.Response(text='whole')

    async def serve(self) -> tuple[web.ServerRunner, str]:
        async def lookup(_: web.BaseRequest) -> web.Response:
            return web.Response(text='look-up')

        runner = web.ServerRunner(
            caller_server(
                lookup, lookup, self.gate.handle, lambda: self.gate.is_leaving
            )
        )
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        return runner, f'http://127.0.0.1:{port}/v1/services/till'


EMPTY = Policy(failure_domains=(), roster=(), services=())


async def test_requests_in_flight_finish_and_new_ones_are_refused():
    harness = StopHarness(announce=0.0, finish=60.0)
    runner, url = await harness.serve()
    async with aiohttp.ClientSession() as session:
        slow = asyncio.create_task(session.get(f'{url}/slow'))
        await wait_until(lambda: harness.gate.in_flight)
        harness.others = ()
        stopping = asyncio.create_task(harness.stop.run(EMPTY))
        await wait_until(lambda: harness.gate.is_closed)
        harness.others = ('127.0.0.1:7000',)
        async with session.get(f'{url}/quick') as refused:
            assert refused.status == 503
            assert refused.headers['Daisylift-Outcome'] == 'did-not-run'
            assert refused.headers['Connection'] == 'close'
            assert (await refused.json(content_type=None))['other_vms'] == [
                '127.0.0.1:7000'
            ]
        assert not stopping.done()
        harness.may_finish.set()
        assert await (await slow).text() == 'whole'
        assert await stopping
    await runner.cleanup()


async def test_while_announcing_requests_run_and_connections_close():
    harness = StopHarness(announce=60.0, finish=0.0)
    runner, url = await harness.serve()
    stopping = asyncio.create_task(harness.stop.run(EMPTY))
    async with aiohttp.ClientSession() as session:
        await wait_until(lambda: harness.stop.phase is StopPhase.ANNOUNCING)
        async with session.get(f'{url}/quick') as answer:
            assert await answer.text() == 'whole'
            assert answer.headers['Connection'] == 'close'
    stopping.cancel()
    await runner.cleanup()


async def test_requests_that_outlast_the_limit_are_reported():
    harness = StopHarness(announce=0.0, finish=0.0)
    runner, url = await harness.serve()
    async with aiohttp.ClientSession() as session:
        slow = asyncio.create_task(session.get(f'{url}/slow'))
        await wait_until(lambda: harness.gate.in_flight)
        harness.others = ()
        assert not await harness.stop.run(EMPTY)
        harness.may_finish.set()
        await slow
    await runner.cleanup()


def test_process_outlives_its_stop_under_every_policy():
    ttl = MAX_ANSWER_TTL_SECONDS
    service = Service(name='till', answer_ttl_seconds=ttl, servers=())
    policy = Policy(failure_domains=(), roster=(), services=(service,))
    announce = announce_seconds(3.0, policy)
    assert longest_stop_seconds(3.0, 30.0) >= announce + 30.0


async def test_pipelined_requests_get_answers_while_announcing():
    """Those read behind the first one were dropped when its connection closed."""
    harness = StopHarness(announce=60.0, finish=0.0)
    runner, url = await harness.serve()
    stopping = asyncio.create_task(harness.stop.run(EMPTY))
    await wait_until(lambda: harness.stop.phase is StopPhase.ANNOUNCING)
    address = yarl.URL(url)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(f'GET {address.path}/quick HTTP/1.1\r\nHost: a\r\n\r\n'.encode() * 3)
    answers = await reader.read()
    assert answers.count(b'HTTP/1.1 200 ') == 3
    assert answers.count(b'Connection: close') == 1
    writer.close()
    stopping.cancel()
    await runner.cleanup()
