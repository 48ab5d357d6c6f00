"""Assigns the polling of backend servers' load to nodes."""

from collections.abc import Sequence

import xxhash

from daisylift.decisions.configuration import ServerKey

POLLERS_PER_SERVER = 2


def pollers(server: ServerKey, ordinals: Sequence[int]) -> tuple[int, ...]:
    """Return the ordinals of the sorted roster that poll the server.

    The cost does not depend on the size of the roster, and the servers are spread
    evenly. Two nodes poll each server, so that every server is still polled after the
    loss of one node.
    """
    count = min(POLLERS_PER_SERVER, len(ordinals))
    if count == 0:
        return ()
    name = f'{server.service}/{server.server}'.encode()
    start = xxhash.xxh64_intdigest(name) % len(ordinals)
    return tuple(ordinals[(start + step) % len(ordinals)] for step in range(count))
