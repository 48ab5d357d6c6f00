"""Consistent-hash ring with a bounded number of keys per ordinal."""

from bisect import bisect_left
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

POINTS_PER_ORDINAL = 8


class Ring:
    """The points of a set of ordinals, sorted by hash."""

    def __init__(self, ordinals: Iterable[int]) -> None:
        points = sorted(
            (stable_hash(f'{ordinal}/{number}'), ordinal)
            for ordinal in ordinals
            for number in range(POINTS_PER_ORDINAL)
        )
        self.hashes = [point[0] for point in points]
        self.ordinals = [point[1] for point in points]


class RingWalk:
    """Finds owners on a ring, skipping ordinals that have no capacity left."""

    def __init__(self, ring: Ring, capacity: dict[int, int]) -> None:
        self._ring = ring
        self._capacity = capacity
        self._next = list(range(len(ring.ordinals) + 1))

    def take(self, key_hash: int) -> int | None:
        """Use one unit of the first ordinal after the hash with capacity; return it."""
        found = self._find(bisect_left(self._ring.hashes, key_hash))
        if found is None:
            found = self._find(0)
        if found is None:
            return None
        ordinal = self._ring.ordinals[found]
        self._capacity[ordinal] -= 1
        return ordinal

    def _find(self, start: int) -> int | None:
        """Return the first point from ``start`` on whose ordinal has capacity left."""
        end = len(self._ring.ordinals)
        point = self._root(start)
        while point < end and self._capacity.get(self._ring.ordinals[point], 0) <= 0:
            self._next[point] = point + 1
            point = self._root(point)
        return point if point < end else None

    def _root(self, point: int) -> int:
        """Return the first point that is not skipped, from ``point`` on.

        Exhausted points are linked to their successors. As in a union-find structure,
        paths are compressed, so that long runs of exhausted points cost little.
        """
        following = self._next
        root = point
        while following[root] != root:
            root = following[root]
        while following[point] != root:
            following[point], point = root, following[point]
        return root


def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return xxh3_64_intdigest(text.encode())
