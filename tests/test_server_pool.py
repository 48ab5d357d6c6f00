"""Tests of the pool of connections to backend servers."""

from dataclasses import replace

import pytest

from daisylift.models.registered_server import RegisteredServer
from daisylift_node.connection.server_connection import NotSentError, ServerRequest
from daisylift_node.connection.server_pool import ServerPool

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
