"""Determines the lowest configuration version of the fleet, at O(1) messages per node.

The ordinals form a tree. Each node reports the lowest version of its subtree to its
parent. The root thereby learns the lowest version of the fleet, which is announced
down the tree.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

CHILDREN = 8


@dataclass(frozen=True, slots=True)
class VersionReport:
    """The last report of a process on its subtree; void for another incarnation."""

    incarnation: str
    version: int


def parent_of(ordinal: int, ordinals: Sequence[int]) -> int | None:
    """Return the parent in the tree of the sorted ordinals, or None at the root."""
    index = ordinals.index(ordinal)
    return ordinals[(index - 1) // CHILDREN] if index else None


def children_of(ordinal: int, ordinals: Sequence[int]) -> Sequence[int]:
    """Return the children in the tree of the sorted ordinals."""
    first = ordinals.index(ordinal) * CHILDREN + 1
    return ordinals[first : first + CHILDREN]


def subtree_version(
    own_version: int,
    children: Iterable[int],
    report_by_ordinal: Mapping[int, VersionReport],
    incarnation_by_ordinal: Mapping[int, str],
) -> int:
    """Return the lowest version of the subtree; 0 if a child has not reported."""
    lowest = own_version
    for child in children:
        report = report_by_ordinal.get(child)
        if report is None or report.incarnation != incarnation_by_ordinal.get(child):
            return 0
        lowest = min(lowest, report.version)
    return lowest


def hash_rank(ordinal: int, ordinals: Iterable[int], topic: str) -> int:
    """Return the rank of the ordinal in the hash order of nodes for ``topic``."""

    def weight(other: int) -> int:
        return xxhash.xxh32_intdigest(f'{topic}/{other}'.encode())

    own_weight = weight(ordinal), ordinal
    return sum((weight(other), other) < own_weight for other in ordinals)
