"""Selects the nodes to which a new configuration version is announced."""

from collections.abc import Sequence

import xxhash

FANOUT = 4


def announcement_targets(
    version: int, own_ordinal: int, others: Sequence[int]
) -> list[int]:
    """Return the ordinals to which a node announces a version that it applied.

    Each node selects them by a hash that includes the version, so the load is spread
    over the nodes, and no node is the only path to another.
    """

    def weight(other: int) -> int:
        return xxhash.xxh32_intdigest(f'{version}/{own_ordinal}/{other}'.encode())

    return sorted(others, key=weight)[:FANOUT]
