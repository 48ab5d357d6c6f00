"""How a new configuration version spreads from node to node."""

from collections.abc import Sequence

import xxhash

FANOUT = 4


def receivers_of(version: int, own: int, others: Sequence[int]) -> list[int]:
    """Return the few ordinals that a node tells of a version that it took.

    Each node picks others by a hash of the version, so the load of telling moves
    around, and no node is the only way to another.
    """

    def weight(other: int) -> int:
        return xxhash.xxh32_intdigest(f'{version}/{own}/{other}'.encode())

    return sorted(others, key=weight)[:FANOUT]
