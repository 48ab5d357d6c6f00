"""Tests of which starts and recoveries of servers an entry VM paces."""

import pytest

from daisylift.decisions.server_stats import ServerStats
from daisylift_node.version.server_paces import PaceMode
from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response
from tests.utils import LogCapture

SHARED = http_response(b'whole', 'r-1', extra=('Server-Load: 1,0,4,100',))
ALONE = http_response(b'whole', 'r-1', extra=('Server-Load: 1,0,4',))


def stats_of(harness: EntryHarness, server_id: str) -> ServerStats:
    assert harness.application is not None
    placer = harness.application.view.placer('catalogue')
    return placer.candidates_by_id[server_id].stats


def is_paced(harness: EntryHarness, server_id: str) -> bool:
    return not stats_of(harness, server_id).pace.is_full


async def serve_one(harness: EntryHarness, server: ScriptedServer) -> None:
    await harness.configure(1, make_rule('/x/', 'catalogue'))
    await harness.register(i_1=make_registration(server))
    assert (await harness.send()).status == 200


# A server that came back got its whole load at once.
@pytest.mark.parametrize(
    'changes', [{'born': 2}, {'cold_remaining_ms': 3000, 'sequence': 2}]
)
async def test_a_server_that_starts_again_or_turns_cold_is_paced(
    changes: dict[str, int],
) -> None:
    async with (
        ScriptedServer([Script(SHARED)] * 2) as server,
        EntryHarness() as harness,
    ):
        await serve_one(harness, server)
        assert not is_paced(harness, 'i-1')
        await harness.register(i_1=make_registration(server, **changes))
        assert is_paced(harness, 'i-1')


async def test_a_registration_that_is_renewed_is_no_start() -> None:
    async with ScriptedServer([Script(SHARED)]) as server, EntryHarness() as harness:
        await serve_one(harness, server)
        await harness.register(i_1=make_registration(server, sequence=2))
        assert not is_paced(harness, 'i-1')


# Earlier deployments are served as before.
async def test_without_shared_machines_or_settings_nothing_is_paced() -> None:
    async with ScriptedServer([Script(ALONE)]) as server, EntryHarness() as harness:
        await serve_one(harness, server)
        await harness.register(i_1=make_registration(server, born=2))
        assert not is_paced(harness, 'i-1')


@pytest.mark.parametrize(
    ('mode', 'response', 'expected'),
    [(PaceMode.ON, ALONE, True), (PaceMode.OFF, SHARED, False)],
)
async def test_the_settings_decide_which_servers_are_paced(
    mode: PaceMode, response: bytes, expected: bool
) -> None:
    async with ScriptedServer([Script(response)]) as server, EntryHarness() as harness:
        assert harness.application is not None
        harness.application.view.paces.mode = mode
        await serve_one(harness, server)
        await harness.register(i_1=make_registration(server, born=2))
        assert is_paced(harness, 'i-1') is expected


async def test_starts_are_logged_and_counted(logs: LogCapture) -> None:
    async with ScriptedServer([Script(SHARED)]) as server, EntryHarness() as harness:
        await serve_one(harness, server)
        await harness.register(i_1=make_registration(server, born=2))
        line = logs.first('pace of the server started')
        assert (line['server'], line['reason']) == ('i-1', 'started')
        assert harness.application is not None
        view = harness.application.view
        assert view.paces.counts() == {'catalogue': 1}
        stats_of(harness, 'i-1').pace._watched_until = 0.0
        await view.follow_paces()
        assert view.paces.counts() == {}
        assert logs.first('server is back at its usual load')['server'] == 'i-1'


# The whole fleet returned at once to a server whose pause had ended.
async def test_a_server_that_pauses_is_paced_at_its_return() -> None:
    turned_away = http_response(
        b'', 'r-1', status='503 Busy', extra=('Not-Executed: 1', 'Retry-After: 1')
    )
    scripts = [Script(SHARED), Script(turned_away)]
    async with ScriptedServer(scripts) as server, EntryHarness() as harness:
        await serve_one(harness, server)
        assert (await harness.send()).status == 503
        assert is_paced(harness, 'i-1')
