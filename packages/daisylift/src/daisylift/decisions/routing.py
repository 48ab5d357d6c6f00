"""Chooses the backend server for a request.

A table holds the servers of one service for which this node has a free permit, grouped
by distance. A choice compares the expected latencies of a few servers of each group, so
its cost does not grow with the number of servers. Servers that can't be used for a
while are parked until a given time or an event.
"""

import heapq
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from daisylift.decisions.health import ServerHealth

SAMPLE_SIZE = 4
MIN_SPEEDUP = 1.5  # a farther server must be more than this many times faster
RECHECK_SECONDS = 0.05
DISTANCE_SECONDS = (0.002, 0.004, 0.042)  # round trip by distance
INITIAL_WORK_SECONDS = 0.02  # usual duration of a request, without the round trip
WORK_WEIGHT = 0.02  # of the newest sample in the moving average
MIN_WORK_SECONDS = 0.0005

NO_NAMES: frozenset[str] = frozenset()

RandomSource = Callable[[], float]


@dataclass(slots=True)
class RoutedServer:
    """One backend server in the routing table.

    ``distance`` is 0 in the node's failure domain, 1 in its region and 2 in other
    regions. ``free`` and ``in_flight`` count this node's permits. ``group_index`` is
    the index in its group, negative if it is in none. ``recheck_at`` is when a parked
    server is checked again.
    """

    name: str
    region: str
    distance: int
    connections: int
    health: ServerHealth
    free: int = 0
    in_flight: int = 0
    draining: bool = False
    group_index: int = -1
    recheck_at: float = math.inf

    def has_capacity(self, now: float) -> bool:
        """Return whether one more request may be sent to the server now."""
        if self.free <= 0 or self.draining or self.in_flight >= self.connections:
            return False
        permits = self.free + self.in_flight
        return self.in_flight < self.health.usable_slots(permits, now)

    def expected_seconds(self, now: float, work_seconds: float) -> float:
        """Return the expected duration of a request at the server.

        ``work_seconds`` is the usual duration of the service's requests.
        """
        usual = work_seconds + DISTANCE_SECONDS[self.distance]
        latency = self.health.expected_latency(usual, now)
        own_share = self.in_flight / (self.free + self.in_flight)
        report = self.health.report
        reported_share = report.utilisation(now) if report is not None else 0.0
        return latency * (1.0 + max(own_share, reported_share))


@dataclass(slots=True)
class _Group:
    """The usable servers of one region at one distance."""

    distance: int
    region: str
    members: list[RoutedServer] = field(default_factory=list)


@dataclass(slots=True)
class RoutingTable:
    """The servers of one service, by name and grouped by distance and region."""

    by_name: dict[str, RoutedServer] = field(default_factory=dict)
    work_seconds: float = INITIAL_WORK_SECONDS
    _groups: dict[tuple[int, str], _Group] = field(default_factory=dict)
    _parked: list[tuple[float, str]] = field(default_factory=list)

    def replace(self, servers: Iterable[RoutedServer]) -> None:
        """Replace all servers."""
        self.by_name = {server.name: server for server in servers}
        keys = {(s.distance, s.region) for s in self.by_name.values()}
        self._groups = {key: _Group(*key) for key in sorted(keys)}
        self._parked = []
        for server in self.by_name.values():
            server.group_index = -1
            server.recheck_at = math.inf
            self.update(server)

    def update(self, server: RoutedServer) -> None:
        """Update the groups after the counts or the health of a server changed."""
        if server.free > 0 and not server.draining:
            self._add_to_group(server)
        else:
            self._remove_from_group(server)

    def update_work_seconds(self, server: RoutedServer) -> None:
        """Move the usual duration of the service towards the server's latency."""
        latency = server.health.latency_seconds
        if latency is None:
            return
        work = max(MIN_WORK_SECONDS, latency - DISTANCE_SECONDS[server.distance])
        self.work_seconds += WORK_WEIGHT * (work - self.work_seconds)

    def choose(
        self,
        now: float,
        random: RandomSource,
        excluded: frozenset[str] = NO_NAMES,
        closed_regions: frozenset[str] = NO_NAMES,
    ) -> RoutedServer | None:
        """Return a server with capacity, or None.

        The nearest is chosen unless one farther away is expected to be clearly faster.
        Farther groups are therefore not checked while a nearer server is as fast as
        usual. Servers named in ``excluded`` or in ``closed_regions`` are skipped.
        """
        self._unpark(now)
        best: RoutedServer | None = None
        best_seconds = 0.0
        for group in self._groups.values():
            usual = self.work_seconds + DISTANCE_SECONDS[group.distance]
            if best is not None and best_seconds <= usual * MIN_SPEEDUP:
                break
            if group.region in closed_regions:
                continue
            found = self._best_of(group.members, now, random, excluded)
            if found is None:
                continue
            seconds = found.expected_seconds(now, self.work_seconds)
            if best is None or seconds * MIN_SPEEDUP < best_seconds:
                best, best_seconds = found, seconds
        return best

    def _best_of(
        self,
        members: list[RoutedServer],
        now: float,
        random: RandomSource,
        excluded: frozenset[str],
    ) -> RoutedServer | None:
        """Return the best server of a sample; park servers without capacity."""
        best: RoutedServer | None = None
        best_seconds = 0.0
        start = int(random() * len(members))
        step = 0
        limit = SAMPLE_SIZE
        while step < min(limit, len(members)):
            server = members[(start + step) % len(members)]
            if self._park_if_unusable(server, now):
                continue
            step += 1
            if server.name in excluded:
                limit += 1
                continue
            seconds = server.expected_seconds(now, self.work_seconds)
            if best is None or seconds < best_seconds:
                best, best_seconds = server, seconds
        return best

    def _park_if_unusable(self, server: RoutedServer, now: float) -> bool:
        until = server.health.unusable_until()
        if until <= now:
            if server.has_capacity(now):
                return False
            until = now + RECHECK_SECONDS
        self._remove_from_group(server)
        if until < server.recheck_at:
            server.recheck_at = until
            heapq.heappush(self._parked, (until, server.name))
        return True

    def _unpark(self, now: float) -> None:
        while self._parked and self._parked[0][0] <= now:
            recheck_at, name = heapq.heappop(self._parked)
            server = self.by_name.get(name)
            if server is not None and server.recheck_at == recheck_at:
                server.recheck_at = math.inf
                self.update(server)

    def _add_to_group(self, server: RoutedServer) -> None:
        if server.group_index >= 0:
            return
        members = self._groups[server.distance, server.region].members
        server.group_index = len(members)
        members.append(server)

    def _remove_from_group(self, server: RoutedServer) -> None:
        if server.group_index < 0:
            return
        members = self._groups[server.distance, server.region].members
        last = members.pop()
        if last is not server:
            members[server.group_index] = last
            last.group_index = server.group_index
        server.group_index = -1
