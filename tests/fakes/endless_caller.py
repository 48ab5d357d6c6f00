"""Reads many responses without end at once, as a process of its own.

Run it with ``python -m tests.fakes.endless_caller PORT REQUESTS LIMIT_BYTES``. It
prints how many bytes of memory it had at most, and how many requests were lost.
"""

import argparse
import asyncio
import re
from pathlib import Path

import uvloop

from daisylift.decisions.response_memory import ResponseMemory
from daisylift.models.registered_server import RegisteredServer
from daisylift_node.connection.server_connection import (
    ExchangeLostError,
    NotSentError,
    ServerRequest,
)
from daisylift_node.connection.server_pool import ServerPool
from tests.fakes.loopback import SERVER_HOST

REQUEST = ServerRequest(b'GET', b'/x/1', [(b'Host', b'a.example')], b'')
ROUNDS = 3


def peak_bytes() -> int:
    """Return the largest memory that the process has had resident."""
    status = Path('/proc/self/status').read_text()
    found = re.search(r'VmHWM:\s+(\d+) kB', status)
    assert found is not None
    return int(found[1]) * 1024


async def call(port: int, requests: int, limit_bytes: int) -> tuple[int, int]:
    """Send the requests in rounds; return the peak in bytes and the lost ones."""
    pool = ServerPool(ResponseMemory(limit_bytes))
    server = RegisteredServer(
        'i-1', 'catalogue', SERVER_HOST, port, 'arusha-a', requests, False, 0.0, 1
    )
    lost = 0
    for _ in range(ROUNDS):
        results = await asyncio.gather(
            *(
                asyncio.wait_for(pool.exchange(server, REQUEST, True), 2.0)
                for _ in range(requests)
            ),
            return_exceptions=True,
        )
        lost += sum(
            isinstance(each, (ExchangeLostError, NotSentError, TimeoutError))
            for each in results
        )
    return peak_bytes(), lost


def main() -> None:
    """Call the server and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('port', type=int)
    parser.add_argument('requests', type=int)
    parser.add_argument('limit_bytes', type=int)
    arguments = parser.parse_args()
    peak, lost = uvloop.run(
        call(arguments.port, arguments.requests, arguments.limit_bytes)
    )
    print(peak, lost)


if __name__ == '__main__':
    main()
