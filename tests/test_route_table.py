"""Tests of routes by host and longest prefix, and of destinations by weight."""

from collections import Counter
from dataclasses import replace

import pytest

from daisylift.decisions.route_table import DestinationSelector, RouteTable
from daisylift.models.desired_state import DesiredState, Destination, RequestKind, Route


def a_route(prefix: str, *destinations: Destination, host: str = 'a.example') -> Route:
    return Route(
        name=f'{host}{prefix}',
        host=host,
        path_prefix=prefix,
        kind=RequestKind.SAFE,
        destinations=destinations or (Destination('catalogue', 1),),
        max_servers=2,
        timeout_seconds=1.0,
        target_seconds=0.2,
        priority=1,
        sticky=True,
    )


@pytest.fixture
def table() -> RouteTable:
    routes = (a_route('/x/'), a_route('/x/y/'), a_route('/', host='b.example'))
    return RouteTable(DesiredState(version=1, routes=routes))


@pytest.mark.parametrize(
    ('host', 'target', 'prefix'),
    [
        ('a.example', '/x/1', '/x/'),
        ('a.example', '/x/y/1', '/x/y/'),
        ('a.example', '/x/y', '/x/'),
        ('a.example', '/x/y/?q=/x/z/', '/x/y/'),
        ('A.Example:80', '/x/', '/x/'),
        ('b.example', '/anything', '/'),
    ],
)
def test_longest_prefix_wins(
    table: RouteTable, host: str, target: str, prefix: str
) -> None:
    route = table.match(host, target)
    assert route is not None
    assert route.path_prefix == prefix


@pytest.mark.parametrize(
    ('host', 'target'),
    [('a.example', '/x'), ('a.example', '/'), ('c.example', '/x/'), ('', '*')],
)
def test_no_route(table: RouteTable, host: str, target: str) -> None:
    assert table.match(host, target) is None


def test_weights_hold_over_short_periods() -> None:
    route = a_route('/', Destination('catalogue', 90), Destination('till', 10))
    selector = DestinationSelector()
    selected = Counter(selector.select(route) for _ in range(20))
    assert selected == {'catalogue': 18, 'till': 2}


def test_a_changed_split_drops_removed_destinations() -> None:
    selector = DestinationSelector()
    before = a_route('/', Destination('catalogue', 1), Destination('till', 1))
    after = a_route('/', Destination('plates', 1), Destination('till', 1))
    for _ in range(3):
        selector.select(before)
    selected = Counter(selector.select(after) for _ in range(10))
    assert set(selected) == {'plates', 'till'}
    assert abs(selected['plates'] - selected['till']) <= 1


def test_the_homes_of_a_host_are_those_of_all_its_routes_with_homes() -> None:
    def table_of(*homes: set[str]) -> RouteTable:
        routes = (
            replace(a_route(f'/{number}/'), home_regions=frozenset(each))
            for number, each in enumerate(homes)
        )
        return RouteTable(DesiredState(version=1, routes=tuple(routes)))

    assert table_of({'a', 'b'}, set(), {'b', 'c'}).home_regions('A.example') == {'b'}
    assert table_of({'a'}, {'b'}).home_regions('a.example') == frozenset()
    assert table_of(set()).home_regions('a.example') == frozenset()
    assert table_of({'a'}).home_regions('other.example') == frozenset()
