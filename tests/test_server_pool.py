"""Tests of the pool of connections to backend servers."""

from dataclasses import replace

import pytest

from daisylift.models.registered_server import RegisteredServer
from daisylift_node.connection.server_connection import NotSentError, ServerRequest
from daisylift_node.connection.server_pool import ServerPool
from tests.fakes.scripted_server import Script, ScriptedServer, http_response

SERVER = RegisteredServer(
    id='i-1',
    service='catalogue',
    host='127.0.0.1',
    port=1,
    failure_domain='arusha-a',
    slots=4,
    leaving=False,
    cold_seconds=0.0,
    started_at_ms=1,
)
REQUEST = ServerRequest(b'GET', b'/x/1', [(b'Host', b'a.example')], b'')


# The error left the pool as it was, so the request got 500, no failure was counted, and
# the server looked idle to each following request.
@pytest.mark.parametrize(
    'changes',
    [
        {'host': 'a' * 300},
        {'host': 'a..b'},
        {'host': '127.0.0.1\x00'},
        {'host': ''},
        {'host': '256.0.0.1'},
        {'port': 0},
        {'port': 70_000},
        {'port': -1},
        {'port': 10**30},
    ],
)
async def test_a_server_that_cannot_be_connected_to_is_reported_as_not_reached(
    changes: dict[str, object],
) -> None:
    pool = ServerPool()
    with pytest.raises(NotSentError):
        await pool.exchange(replace(SERVER, **changes), REQUEST, repeatable=False)


KEPT = http_response(b'whole', 'r-1', extra=('Keep-Alive: timeout=10',))
PLAIN = http_response(b'whole', 'r-1')


async def connections_after(
    idle_seconds: float,
    response: bytes = KEPT,
    repeatable: bool = True,
    share: float = 20.0,
) -> tuple[int, dict[str, int]]:
    """Return the connections opened for two requests, and why."""
    async with ScriptedServer([Script(response)] * 2) as server:
        pool = ServerPool(connection_share=lambda service: share)
        await pool.exchange(server.registration(), REQUEST, repeatable)
        for kept in pool._kept_by_key.values():
            kept.idle[0].idle_since -= idle_seconds
        await pool.close_idle()
        await pool.exchange(server.registration(), REQUEST, repeatable)
        pool.close()
        return server.connections, dict(pool.opened_by_reason)


# In a large fleet each VM uses a server every few seconds: every third request opened
# a connection that the server would have kept.
async def test_a_connection_is_reused_as_long_as_the_server_keeps_it() -> None:
    assert (await connections_after(8.0))[0] == 1
    assert await connections_after(9.5) == (2, {'in_use': 1, 'idle': 1})


async def test_without_a_stated_time_connections_are_closed_early() -> None:
    assert (await connections_after(3.5, PLAIN))[0] == 1
    assert (await connections_after(4.5, PLAIN))[0] == 2


# Many VMs that each keep connections would use up what a server accepts.
async def test_with_few_connections_per_vm_they_are_closed_early() -> None:
    assert (await connections_after(8.0, share=1.5))[0] == 2
    assert (await connections_after(3.5, share=1.5))[0] == 1


async def test_a_request_that_may_not_be_repeated_takes_no_old_connection() -> None:
    opened, reasons = await connections_after(2.0, repeatable=False)
    assert (opened, reasons) == (2, {'in_use': 1, 'not_repeatable': 1})
