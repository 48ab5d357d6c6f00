"""Tests of cuts: exactly the requested points move, and no others."""

from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions.steering import (
    POINTS,
    Cut,
    Owner,
    differing_points,
    move_points,
    nearest_site,
    points_at,
    position_of,
    remove_moves,
    return_points,
    single_site_cut,
    site_at,
    step_towards,
)

SITES = ('a', 'b', 'c', 'd')

amounts = st.integers(min_value=0, max_value=POINTS)
weights = st.dictionaries(
    st.sampled_from(SITES), st.integers(min_value=1, max_value=9), min_size=1
)
points = st.integers(min_value=0, max_value=POINTS - 1)


@st.composite
def cuts(draw) -> Cut:
    cut = single_site_cut(draw(st.sampled_from(SITES)))
    for number in range(draw(st.integers(0, 4))):
        source = draw(st.sampled_from(SITES))
        to = {s: w for s, w in draw(weights).items() if s != source}
        if to:
            cut = move_points(cut, f's{number}', [source], to, draw(amounts))
    return cut


SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)


@SETTINGS
@given(cuts(), st.sampled_from(SITES), weights, amounts, points)
def test_move_takes_exactly_the_amount_from_the_source(cut, source, to, amount, point):
    to = {site: weight for site, weight in to.items() if site != source} or {'z': 1}
    after = move_points(cut, 'shift', [source], to, amount)
    expected = min(amount, points_at(cut, [source]))
    assert differing_points(cut, after) == expected
    assert points_at(after, [source]) == points_at(cut, [source]) - expected
    assert sum(points_at(after, [site]) for site in (*SITES, 'z')) == POINTS
    if site_at(cut, point) != source:
        assert site_at(after, point) == site_at(cut, point)


@SETTINGS
@given(cuts(), weights, amounts, amounts)
def test_return_undoes_exactly_what_the_shift_moved(cut, to, amount, part):
    to = {site: weight for site, weight in to.items() if site != 'a'} or {'z': 1}
    moved = move_points(cut, 'shift', ['a'], to, amount)
    whole_move = differing_points(cut, moved)
    back = return_points(moved, 'shift', part)
    assert differing_points(moved, back) == min(part, whole_move)
    assert differing_points(cut, return_points(back, 'shift', POINTS)) == 0


@SETTINGS
@given(cuts(), cuts(), amounts)
def test_step_moves_no_more_than_its_budget_and_only_towards(current, target, budget):
    distance = differing_points(current, target)
    after = step_towards(current, target, budget)
    assert differing_points(current, after) == min(budget, distance)
    assert differing_points(after, target) == distance - min(budget, distance)


@SETTINGS
@given(cuts(), amounts)
def test_weights_divide_what_is_moved(cut, amount):
    after = move_points(cut, 'shift', ['a'], {'y': 1, 'z': 3}, amount)
    moved = min(amount, points_at(cut, ['a']))
    assert points_at(after, ['y']) == moved // 4
    assert points_at(after, ['y', 'z']) == moved


@SETTINGS
@given(cuts())
def test_forgotten_moves_move_nothing(cut):
    after = remove_moves(cut, {'s0', 's1'})
    assert differing_points(cut, after) == 0
    assert not any(m.shift in ('s0', 's1') for o in after.owners for m in o.moves)


def test_position_is_fixed_and_spread():
    positions = [position_of('till', n.to_bytes(8, 'big')) for n in range(20_000)]
    assert positions[7] == position_of('till', (7).to_bytes(8, 'big'))
    assert positions[7] != position_of('plates', (7).to_bytes(8, 'big'))
    low = sum(position.point < POINTS // 10 for position in positions)
    assert 1850 < low < 2150


def test_nearest_site_prefers_home_then_region():
    regions = {'a': 'one', 'b': 'one', 'c': 'two', 'd': 'two'}
    assert nearest_site('a', ['a', 'b', 'c'], regions) == 'a'
    assert nearest_site('a', ['b', 'c'], regions) == 'b'
    assert nearest_site('a', ['c', 'd'], regions) in ('c', 'd')


def test_owner_without_moves_is_plain():
    assert single_site_cut('a') == Cut(ends=(POINTS,), owners=(Owner('a'),))
