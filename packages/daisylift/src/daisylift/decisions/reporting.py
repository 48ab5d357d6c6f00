"""How the fleet learns that all its nodes steer by a version, at O(1) messages each.

The ordinals form a tree. Each node tells its parent the lowest version of its own
subtree; the root thereby knows that of the fleet, and it is told down the tree.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

CHILDREN = 8


@dataclass(frozen=True, slots=True)
class Report:
    """What one process last told of its subtree; another process starts anew."""

    incarnation: str
    version: int


def parent_of(ordinal: int, ordinals: Sequence[int]) -> int | None:
    """Return the parent in the tree of the sorted ordinals, None at the root."""
    place = ordinals.index(ordinal)
    return ordinals[(place - 1) // CHILDREN] if place else None


def children_of(ordinal: int, ordinals: Sequence[int]) -> Sequence[int]:
    """Return the children in the tree of the sorted ordinals."""
    first = ordinals.index(ordinal) * CHILDREN + 1
    return ordinals[first : first + CHILDREN]


def subtree_version(
    own: int,
    children: Iterable[int],
    report_by_ordinal: Mapping[int, Report],
    incarnation_by_ordinal: Mapping[int, str],
) -> int:
    """Return the lowest version of the subtree; a child not heard from counts as 0."""
    lowest = own
    for child in children:
        report = report_by_ordinal.get(child)
        if report is None or report.incarnation != incarnation_by_ordinal.get(child):
            return 0
        lowest = min(lowest, report.version)
    return lowest


def rank_of(ordinal: int, ordinals: Iterable[int], what: str) -> int:
    """Return the place of the ordinal in the order in which nodes try something."""

    def weight(one: int) -> int:
        return xxhash.xxh32_intdigest(f'{what}/{one}'.encode())

    own = weight(ordinal), ordinal
    return sum((weight(other), other) < own for other in ordinals)
