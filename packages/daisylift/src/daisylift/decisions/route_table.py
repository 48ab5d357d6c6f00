"""Selects the route of a request, and the service among a route's destinations.

Load pattern: any. A lookup costs one dictionary access per path segment, not one per
route, so a desired state with hundreds of routes is as fast as one with a few.
Destinations are selected by smooth weighted round-robin, so their shares also hold over
short periods: the error never exceeds one request per destination.
"""

from dataclasses import dataclass, field

from daisylift.models.desired_state import DesiredState, Route

DEFAULT_HTTP_PORTS = ('80',)


class RouteTable:
    """The routes of one desired state, by host and path prefix."""

    def __init__(self, state: DesiredState) -> None:
        self.state = state
        self._routes_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in state.routes:
            by_prefix = self._routes_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the regions that may serve every route of the host with homes.

        The set is empty if no route has homes, or if they have no region in common.
        """
        by_prefix = self._routes_by_prefix_by_host.get(normalize_host(host), {})
        homes = [each.home_regions for each in by_prefix.values() if each.home_regions]
        return frozenset.intersection(*homes) if homes else frozenset()

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        by_prefix = self._routes_by_prefix_by_host.get(normalize_host(host))
        if by_prefix is None:
            return None
        path = target.partition('?')[0]
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end) if end > 0 else -1
        return None


def normalize_host(host: str) -> str:
    """Return the host in lower case, without the default port."""
    name, colon, port = host.rpartition(':')
    if colon and port in DEFAULT_HTTP_PORTS:
        return name.lower()
    return host.lower()


@dataclass(slots=True)
class DestinationSelector:
    """Selects destinations of weighted routes by smooth weighted round-robin."""

    _credits_by_route: dict[str, dict[str, float]] = field(default_factory=dict)

    def select(self, route: Route) -> str:
        """Return the service for the next request of the route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        credits = self._credits_by_route.get(route.name, {})
        total = sum(each.weight for each in route.destinations)
        credits = {
            each.service: credits.get(each.service, 0.0) + each.weight
            for each in route.destinations
        }
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total
        self._credits_by_route[route.name] = credits
        return chosen
