"""Chooses the backend server with the lowest expected completion time for a request.

Load pattern: more work than slots, unevenly spread over regions. A server handles an
object several times faster if the object is in its cache, and the cache is small.
Spreading an object over all servers with a free slot would evict it everywhere: runs
get longer, slots get scarcer, and the overload reinforces itself. Each object therefore
has a short list of servers, computed by rendezvous hashing only, and a request waits
for one of these instead of starting cold on another server.

Small responses may come from any server of the region or, when the region is full, from
another region. Large responses come from the local failure domain first. Servers on
the list are compared by cost in seconds: distance, wait for a slot, work (warm or
cold), failure rate, and a transfer cost for responses that cross failure domains or
regions. A server that has just started or recovered gets the objects that its pace
lets return (``server_pace``), and further ones only if no other server has capacity.
"""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Protocol

from daisylift.decisions.availability import Exclusion
from daisylift.decisions.limit_shares import LimitShare, LimitShares
from daisylift.decisions.ranking import Candidate, Location, Proximity, Rankings
from daisylift.decisions.region_shift import PlacementScope
from daisylift.decisions.region_stats import RegionStats
from daisylift.decisions.server_pace import object_position
from daisylift.decisions.server_stats import ServerStats
from daisylift.models.registered_server import RegisteredServer

SAME_DOMAIN_RTT_SECONDS = 0.001  # round trip within a failure domain
SAME_REGION_RTT_SECONDS = 0.003  # round trip between failure domains of a region
OTHER_REGION_RTT_SECONDS = 0.041  # round trip between regions
CROSS_DOMAIN_SECONDS_PER_BYTE = 2.0e-6  # cost of a transfer between failure domains
CROSS_REGION_SECONDS_PER_BYTE = 2.8e-6  # cost of a transfer between regions
LARGE_TRANSFER_SECONDS = 0.05  # above this, the same domain is preferred
SAME_REGION_QUEUE_SHARE = 0.25  # queue allowed at a local-region server, per slot
COLD_SLOWDOWN_FACTOR = 2.0  # a server that has just started takes about twice as long
FAILURE_COST_SECONDS = 1.0  # cost of one expected failure
SAME_REGION_SERVERS = 1  # per object; more would evict warm objects
OTHER_REGION_SERVERS = 1  # per object, used when the region is full
LIMITED_RATE_SECONDS = 0.25  # summing up all shares costs time in a large fleet
OUTSIDE_HOMES = 'outside the home regions'
AT_RATE_LIMIT = 'at its request rate limit'
SAMPLED_SERVERS = 8  # servers per group considered for a request without an object


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Expected run time of a request with a warm or cold object, and response size."""

    warm_seconds: float
    cold_seconds: float
    response_bytes: float


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen server and the estimates that the choice was based on."""

    server: RegisteredServer
    stats: ServerStats
    is_other_region: bool
    finish_seconds: float
    work_seconds: float
    was_seen: bool
    region_stats: RegionStats


class PacedServers(Protocol):
    """The servers whose pace may bound what they are sent."""

    @property
    def is_empty(self) -> bool:
        """Return whether there are none."""

    def count_withheld(self, service: str) -> None:
        """Count a placement that passed over a server because of its pace."""


class _NoPacedServers:
    @property
    def is_empty(self) -> bool:
        """Return True."""
        return True

    def count_withheld(self, service: str) -> None:
        """Do nothing."""


NO_PACED_SERVERS = _NoPacedServers()


@dataclass(frozen=True, slots=True)
class _LimitedRate:
    """The rate that servers with limits accept from this node, and its age."""

    per_second: float | None
    computed_at: float


class ServicePlacer:
    """Places the requests of one service on its registered servers."""

    def __init__(
        self,
        location: Location,
        candidates: Iterable[Candidate],
        rng: random.Random | None = None,
        limit_shares: LimitShares | None = None,
        paces: PacedServers | None = None,
    ) -> None:
        self._location = location
        self._limit_shares = limit_shares or LimitShares('')
        self._paces = paces or NO_PACED_SERVERS
        self._rng = rng or random.Random()
        self.candidates_by_id: dict[str, Candidate] = {}
        self.cold_by_id: dict[str, Candidate] = {}
        self._limited_rates: dict[frozenset[str] | None, _LimitedRate] = {}
        self.rankings = Rankings(location, ())
        for candidate in candidates:
            self.put(candidate)

    def put(self, candidate: Candidate) -> None:
        """Add a server, or update its registration."""
        existing = self.candidates_by_id.get(candidate.server.id)
        if existing is not None and existing.is_same_location(candidate):
            existing.server = candidate.server
            self._record_cold(existing)
            return
        self.remove(candidate.server.id)
        self.candidates_by_id[candidate.server.id] = candidate
        self._record_cold(candidate)
        self.rankings.add(candidate)

    def remove(self, server_id: str) -> None:
        """Remove a server."""
        candidate = self.candidates_by_id.pop(server_id, None)
        self.cold_by_id.pop(server_id, None)
        if candidate is not None:
            self.rankings.remove(candidate)

    def cold_candidates(self, now: float) -> list[Candidate]:
        """Return the servers that have started or come back recently."""
        for server_id, candidate in list(self.cold_by_id.items()):
            if not candidate.stats.is_cold(now):
                del self.cold_by_id[server_id]
        return list(self.cold_by_id.values())

    def choose(
        self,
        object_key: str | None,
        estimate: WorkEstimate,
        allowed: Collection[str] | None,
        usable: Mapping[str, bool],
        now: float,
        scope: PlacementScope = PlacementScope.ANY,
        has_waited: bool = False,
    ) -> Placement | None:
        """Return the server with the lowest cost that has capacity, or None.

        ``allowed`` names the regions that may serve; None means any. Servers that
        ``usable`` maps to False are skipped, and so are servers outside ``scope`` and
        those whose request rate limit this node has used up. ``has_waited`` is set for
        a request that was placed before without success.
        """
        can_use = self._filter(allowed, usable, now, scope)
        if not self._paces.is_empty:
            return self._choose_in_turn(
                object_key, estimate, allowed, can_use, now, has_waited
            )
        return self._best(object_key, estimate, allowed, can_use, now)

    def _choose_in_turn(
        self,
        object_key: str | None,
        estimate: WorkEstimate,
        allowed: Collection[str] | None,
        can_use: Callable[[Candidate], bool],
        now: float,
        has_waited: bool,
    ) -> Placement | None:
        """Choose a server with regard to the paces of those that have returned."""
        withheld: list[Candidate] = []

        def can_use_in_turn(candidate: Candidate) -> bool:
            if not can_use(candidate):
                return False
            if candidate.stats.pace.is_full:
                return True
            position = self._position(candidate, object_key)
            if self._bears_more(candidate, position, now, has_waited):
                return True
            withheld.append(candidate)
            return False

        placement = self._best(object_key, estimate, allowed, can_use_in_turn, now)
        if not withheld:
            return placement
        self._paces.count_withheld(withheld[0].server.service)
        for candidate in withheld:
            candidate.stats.pace.withheld += 1
        if placement is not None:
            return placement

        def can_use_early(candidate: Candidate) -> bool:
            return can_use(candidate) and self._bears_more(
                candidate, 0.0, now, has_waited
            )

        return self._best(object_key, estimate, allowed, can_use_early, now)

    def _best(
        self,
        object_key: str | None,
        estimate: WorkEstimate,
        allowed: Collection[str] | None,
        can_use: Callable[[Candidate], bool],
        now: float,
    ) -> Placement | None:
        if object_key is None:
            return self._lowest_cost(
                self._sample(allowed, can_use), None, estimate, now
            )
        listed = self._listed_candidates(object_key, estimate, can_use)
        return self._lowest_cost(listed, object_key, estimate, now)

    def _filter(
        self,
        allowed: Collection[str] | None,
        usable: Mapping[str, bool],
        now: float,
        scope: PlacementScope,
    ) -> Callable[[Candidate], bool]:
        """Return whether a server may be used at all, whatever its pace."""
        own_region = self._location.region

        def can_use(candidate: Candidate) -> bool:
            if allowed is not None and candidate.region not in allowed:
                return False
            if scope is not PlacementScope.ANY and (candidate.region != own_region) != (
                scope is PlacementScope.OTHER_REGION
            ):
                return False
            if usable and not usable.get(candidate.server.id, True):
                return False
            stats = candidate.stats
            if stats.is_excluded(now):
                return False
            return stats.limit.per_second is None or self._is_within_limit(
                candidate, now
            )

        return can_use

    def ineligibility(
        self, candidate: Candidate, allowed: Collection[str] | None, now: float
    ) -> str | None:
        """Return why no request may go to the server now, None if one may.

        ``allowed`` names the regions that may serve; None means any.
        """
        if allowed is not None and candidate.region not in allowed:
            return OUTSIDE_HOMES
        if (exclusion := candidate.stats.exclusion(now)) is not None:
            return exclusion.value
        return None if self._is_within_limit(candidate, now) else AT_RATE_LIMIT

    def estimate_finish(
        self,
        candidate: Candidate,
        object_key: str | None,
        estimate: WorkEstimate,
        now: float,
    ) -> Placement | None:
        """Return the estimates for a request at the server, None if it is full."""
        return self._lowest_cost((candidate,), object_key, estimate, now)

    def record_send(self, server_id: str, now: float) -> None:
        """Count a request sent to the server against its request rate limit."""
        candidate = self.candidates_by_id.get(server_id)
        if candidate is not None and candidate.stats.limit.per_second is not None:
            share = self._limit_share(candidate, candidate.stats.limit.per_second)
            candidate.stats.limit.record_send(share, now)

    def limited_per_second(
        self, allowed: Collection[str] | None, now: float
    ) -> float | None:
        """Return the rate that this node may send if all servers have limits.

        ``allowed`` names the regions that may serve; None means any. Return None if a
        server has no limit, or if there is no server. The rate may be
        LIMITED_RATE_SECONDS old.
        """
        key = None if allowed is None else frozenset(allowed)
        rate = self._limited_rates.get(key)
        if rate is None or now - rate.computed_at >= LIMITED_RATE_SECONDS:
            rate = _LimitedRate(self._compute_limited_rate(allowed, now), now)
            self._limited_rates[key] = rate
        return rate.per_second

    def resumes_at(self, allowed: Collection[str] | None, now: float) -> float | None:
        """Return when the first server takes requests, if all want none for now.

        ``allowed`` names the regions that may serve; None means any. Return None if a
        server may take requests, or one that is only unreachable, or if there is none.
        """
        earliest: float | None = None
        for candidate in self.candidates_by_id.values():
            if allowed is not None and candidate.region not in allowed:
                continue
            exclusion = candidate.stats.exclusion(now)
            if exclusion in (Exclusion.DISPLACED, Exclusion.LEAVING):
                continue
            if exclusion is not Exclusion.PAUSED:
                return None
            resumes_at = candidate.stats.availability.resumes_at
            earliest = resumes_at if earliest is None else min(earliest, resumes_at)
        return earliest

    def _compute_limited_rate(
        self, allowed: Collection[str] | None, now: float
    ) -> float | None:
        rate: float | None = None
        for candidate in self.candidates_by_id.values():
            is_allowed = allowed is None or candidate.region in allowed
            if not is_allowed or candidate.stats.is_excluded(now):
                continue
            per_second = candidate.stats.limit.per_second
            if per_second is None:
                return None
            rate = (rate or 0.0) + self._limit_share(candidate, per_second).per_second
        return rate

    def _position(self, candidate: Candidate, object_key: str | None) -> float:
        """Return the position in the order of return to the server."""
        if object_key is None:
            return self._rng.random()
        return object_position(object_key, candidate.server.id)

    def _bears_more(
        self, candidate: Candidate, position: float, now: float, has_waited: bool
    ) -> bool:
        """Return whether the pace of the server allows another request."""
        stats = candidate.stats
        return stats.pace.admits(
            position,
            stats.occupancy(now),
            stats.in_flight,
            stats.slots,
            now,
            has_waited,
        )

    def _is_within_limit(self, candidate: Candidate, now: float) -> bool:
        per_second = candidate.stats.limit.per_second
        if per_second is None:
            return True
        share = self._limit_share(candidate, per_second)
        return candidate.stats.limit.has_capacity(share, now)

    def _limit_share(self, candidate: Candidate, per_second: float) -> LimitShare:
        return self._limit_shares.share(
            candidate.server.id, candidate.region, per_second
        )

    def has_servers(self, allowed: Collection[str] | None) -> bool:
        """Return whether a server may serve; ``allowed`` names the regions that may."""
        if allowed is None:
            return bool(self.candidates_by_id)
        return any(each.region in allowed for each in self.candidates_by_id.values())

    def can_serve_locally(self, allowed: Collection[str] | None) -> bool:
        """Return whether the local region may serve and has servers, full or not."""
        region = self._location.region
        if allowed is not None and region not in allowed:
            return False
        return bool(self.rankings.members_by_group[Proximity.SAME_REGION])

    def is_other_region(self, candidate: Candidate) -> bool:
        """Return whether the server is in another region."""
        return candidate.region != self._location.region

    def _listed_candidates(
        self,
        object_key: str,
        estimate: WorkEstimate,
        can_use: Callable[[Candidate], bool],
    ) -> list[Candidate]:
        ranking = self.rankings.for_object(object_key)
        is_large = (
            estimate.response_bytes * CROSS_DOMAIN_SECONDS_PER_BYTE
            > LARGE_TRANSFER_SECONDS
        )
        same_region = ranking.entries(Proximity.SAME_REGION)
        preferred = ranking.entries(Proximity.SAME_DOMAIN) if is_large else same_region
        listed = list(islice(filter(can_use, preferred), SAME_REGION_SERVERS))
        if is_large:
            others = (each for each in same_region if each not in listed)
            listed += islice(filter(can_use, others), SAME_REGION_SERVERS)
        other_region = ranking.entries(Proximity.OTHER_REGION)
        return listed + list(
            islice(filter(can_use, other_region), OTHER_REGION_SERVERS)
        )

    def _record_cold(self, candidate: Candidate) -> None:
        if candidate.stats.cold_until:
            self.cold_by_id[candidate.server.id] = candidate

    def _sample(
        self, allowed: Collection[str] | None, can_use: Callable[[Candidate], bool]
    ) -> list[Candidate]:
        """Return a random sample of usable servers, for a request without an object."""
        sampled: list[Candidate] = []
        for group in (Proximity.SAME_REGION, Proximity.OTHER_REGION):
            members = self.rankings.members_by_group[group]
            if allowed is not None:
                members = [each for each in members if each.region in allowed]
            if len(members) > SAMPLED_SERVERS:
                members = self._rng.sample(members, SAMPLED_SERVERS)
            sampled += filter(can_use, members)
        return sampled

    def _lowest_cost(
        self,
        candidates: Iterable[Candidate],
        object_key: str | None,
        estimate: WorkEstimate,
        now: float,
    ) -> Placement | None:
        best: Placement | None = None
        best_cost = 0.0
        for candidate in candidates:
            server, stats = candidate.server, candidate.stats
            was_seen = object_key is not None and stats.has_seen(object_key)
            warm = candidate.region_stats.warm_probability(was_seen)
            occupancy = stats.occupancy(now, candidate.region_stats.load_per_slot(now))
            if not self._has_capacity(candidate, now):
                continue
            work = warm * estimate.warm_seconds + (1.0 - warm) * estimate.cold_seconds
            work *= stats.slowness
            if stats.has_slowdown:
                work *= stats.slowdown(work, now)
            if stats.is_cold(now):
                work *= COLD_SLOWDOWN_FACTOR
            distance = self._distance_seconds(candidate)
            finish = distance + _wait_seconds(stats, occupancy, estimate) + work
            cost = finish + self._transfer_cost(candidate, estimate)
            cost += FAILURE_COST_SECONDS * stats.failure_rate(now)
            if best is None or cost < best_cost:
                is_other_region = self.is_other_region(candidate)
                best = Placement(
                    server,
                    stats,
                    is_other_region,
                    finish,
                    work,
                    was_seen,
                    candidate.region_stats,
                )
                best_cost = cost
        return best

    def _has_capacity(self, candidate: Candidate, now: float) -> bool:
        stats = candidate.stats
        if not stats.availability.has_capacity(stats.in_flight):
            return False
        slots = stats.slots
        if candidate.region == self._location.region:
            limit = slots * (1.0 + SAME_REGION_QUEUE_SHARE)
        else:
            limit = slots
        return stats.in_flight < limit and stats.occupancy(now) + 0.5 < limit

    def _distance_seconds(self, candidate: Candidate) -> float:
        if candidate.server.failure_domain == self._location.failure_domain:
            return SAME_DOMAIN_RTT_SECONDS
        if candidate.region == self._location.region:
            return SAME_REGION_RTT_SECONDS
        return OTHER_REGION_RTT_SECONDS

    def _transfer_cost(self, candidate: Candidate, estimate: WorkEstimate) -> float:
        if candidate.server.failure_domain == self._location.failure_domain:
            return 0.0
        if candidate.region == self._location.region:
            return estimate.response_bytes * CROSS_DOMAIN_SECONDS_PER_BYTE
        return estimate.response_bytes * CROSS_REGION_SECONDS_PER_BYTE


def _wait_seconds(
    stats: ServerStats, occupancy: float, estimate: WorkEstimate
) -> float:
    excess = occupancy + 1.0 - stats.slots
    if excess <= 0.0:
        return 0.0
    return excess / stats.slots * estimate.warm_seconds * stats.slowness
