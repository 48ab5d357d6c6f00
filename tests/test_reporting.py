"""Tests of the tree in which nodes report the lowest version they use."""

import pytest

from daisylift.decisions.reporting import (
    VersionReport,
    children_of,
    hash_rank,
    parent_of,
    subtree_version,
)


@pytest.mark.parametrize('count', [1, 2, 7, 9, 10, 73, 930])
def test_every_ordinal_is_the_child_of_its_parent(count):
    ordinals = [3 * number for number in range(count)]
    for ordinal in ordinals[1:]:
        assert ordinal in children_of(parent_of(ordinal, ordinals), ordinals)
    assert parent_of(ordinals[0], ordinals) is None
    assert sum(len(children_of(o, ordinals)) for o in ordinals) == count - 1


def test_lowest_version_of_a_subtree_needs_reports_from_all_children():
    reports = {1: VersionReport('a', 7), 2: VersionReport('b', 5)}
    incarnations = {1: 'a', 2: 'b'}
    assert subtree_version(6, [1, 2], reports, incarnations) == 5
    assert subtree_version(4, [1, 2], reports, incarnations) == 4
    assert subtree_version(6, [1, 2, 3], reports, incarnations) == 0
    assert subtree_version(6, [1, 2], reports, {1: 'a', 2: 'restarted'}) == 0
    assert subtree_version(6, [], {}, {}) == 6


def test_ranks_are_a_permutation_that_varies():
    ordinals = range(7)
    ranks = [hash_rank(ordinal, ordinals, 'shift/1') for ordinal in ordinals]
    assert sorted(ranks) == list(range(7))
    assert ranks != [hash_rank(ordinal, ordinals, 'shift/2') for ordinal in ordinals]
