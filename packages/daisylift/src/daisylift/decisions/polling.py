"""Which nodes poll the load of which backend servers."""

from collections.abc import Sequence

import xxhash

from daisylift.decisions.configuration import ServerKey

POLLERS = 2


def pollers(server: ServerKey, ordinals: Sequence[int]) -> tuple[int, ...]:
    """Return the ordinals that poll the server, out of the sorted roster.

    The choice costs the same for any size of the roster, and spreads the servers
    evenly; two poll each, so that the loss of one node leaves no server unwatched.
    """
    count = min(POLLERS, len(ordinals))
    if count == 0:
        return ()
    name = f'{server.service}/{server.server}'.encode()
    start = xxhash.xxh64_intdigest(name) % len(ordinals)
    return tuple(ordinals[(start + step) % len(ordinals)] for step in range(count))
