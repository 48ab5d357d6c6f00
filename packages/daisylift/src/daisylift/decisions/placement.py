"""Chooses the backend server of a request by when its answer would be there.

Load pattern: more work than slots, unevenly spread over regions, and servers that
handle an object several times faster if they have handled it before. The choice
compares expected finish times: distance, wait for a slot, work (warm or cold), and a
price in seconds for answers that cross failure domains or regions. Rendezvous hashing
breaks ties, so all nodes warm the same servers for an object without messages, and an
object leaves its server only when another one would finish sooner.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from daisylift.decisions.server_stats import ServerStats
from daisylift.models.registered_server import RegisteredServer

NEAR_SECONDS = 0.001  # round trip inside a failure domain
REGION_SECONDS = 0.003  # round trip between failure domains of a region
FAR_SECONDS = 0.041  # round trip between regions
DOMAIN_SECONDS_PER_BYTE = 2.0e-6  # what crossing a failure domain may cost in time
REGION_SECONDS_PER_BYTE = 2.8e-6  # what crossing a region may cost in time
HOME_QUEUE_SHARE = 0.25  # of the slots may wait at a server of the own region
REGION_FIRST_PRIOR = 0.5  # chance that peers have warmed the region's first choice
DOMAIN_FIRST_PRIOR = 0.35  # the same for the failure domain's first choice
FAR_FIRST_PRIOR = 0.3  # the same for the first choice of another region
COLD_SLOWNESS = 2.0  # a server that has just started works about half as fast
FAILURE_SECONDS = 1.0  # an expected failure weighs like this much waiting
SHORTLIST_PER_REGION = 3
SHORTLIST_NEAR = 4


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """How long a request runs at a server that knows its object or does not."""

    warm_seconds: float
    cold_seconds: float
    answer_bytes: float


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen server, and what was expected of it."""

    server: RegisteredServer
    stats: ServerStats
    finish_seconds: float
    work_seconds: float
    was_seen: bool


@dataclass(slots=True)
class Candidate:
    """A server with this node's record of it."""

    server: RegisteredServer
    stats: ServerStats
    region: str


@dataclass(frozen=True, slots=True)
class Place:
    """Where this node is."""

    failure_domain: str
    region: str


@dataclass(slots=True)
class _Shortlist:
    candidates: list[Candidate] = field(default_factory=list)
    priors_by_id: dict[str, float] = field(default_factory=dict)


class ServicePlacer:
    """Places the requests of one service on the servers registered at one moment."""

    def __init__(self, place: Place, candidates: Iterable[Candidate]) -> None:
        self._place = place
        self.candidates_by_id = {each.server.id: each for each in candidates}
        self._shortlists_by_key: dict[str, _Shortlist] = {}

    def choose(
        self,
        object_key: str | None,
        estimate: WorkEstimate,
        allowed: Collection[str] | None,
        usable: Mapping[str, bool],
        now: float,
    ) -> Placement | None:
        """Return the best server that has room, or None.

        ``allowed`` names the regions that may serve, None means any. Servers whose id
        is in ``usable`` with False are left out.
        """
        shortlist = self._shortlist(object_key)
        best = self._best(
            shortlist.candidates,
            shortlist.priors_by_id,
            object_key,
            estimate,
            allowed,
            usable,
            now,
        )
        if best is not None or len(shortlist.candidates) == len(self.candidates_by_id):
            return best
        everyone = list(self.candidates_by_id.values())
        return self._best(everyone, {}, object_key, estimate, allowed, usable, now)

    def _best(
        self,
        candidates: Sequence[Candidate],
        priors_by_id: Mapping[str, float],
        object_key: str | None,
        estimate: WorkEstimate,
        allowed: Collection[str] | None,
        usable: Mapping[str, bool],
        now: float,
    ) -> Placement | None:
        best: Placement | None = None
        best_cost = 0.0
        for candidate in candidates:
            server, stats = candidate.server, candidate.stats
            if allowed is not None and candidate.region not in allowed:
                continue
            if not usable.get(server.id, True) or not self._has_room(candidate, now):
                continue
            seen = object_key is not None and stats.has_seen(object_key)
            warm = stats.hit_rate if seen else priors_by_id.get(server.id, 0.0)
            work = warm * estimate.warm_seconds + (1.0 - warm) * estimate.cold_seconds
            work *= stats.slowness
            if stats.is_cold(now):
                work *= COLD_SLOWNESS
            distance = self._distance_seconds(candidate)
            finish = distance + self._wait_seconds(stats, estimate, now) + work
            cost = finish + self._transfer_cost(candidate, estimate)
            cost += FAILURE_SECONDS * stats.failure_rate(now)
            if best is None or cost < best_cost:
                best = Placement(server, stats, finish, work, seen)
                best_cost = cost
        return best

    def _has_room(self, candidate: Candidate, now: float) -> bool:
        stats = candidate.stats
        if stats.is_suspended(now):
            return False
        slots = stats.slots
        if candidate.region == self._place.region:
            limit = slots * (1.0 + HOME_QUEUE_SHARE)
        else:
            limit = slots
        return stats.in_flight < limit and stats.occupancy(now) + 0.5 < limit

    def _wait_seconds(
        self, stats: ServerStats, estimate: WorkEstimate, now: float
    ) -> float:
        excess = stats.occupancy(now) + 1.0 - stats.slots
        if excess <= 0.0:
            return 0.0
        return excess / stats.slots * estimate.warm_seconds * stats.slowness

    def _distance_seconds(self, candidate: Candidate) -> float:
        if candidate.server.failure_domain == self._place.failure_domain:
            return NEAR_SECONDS
        if candidate.region == self._place.region:
            return REGION_SECONDS
        return FAR_SECONDS

    def _transfer_cost(self, candidate: Candidate, estimate: WorkEstimate) -> float:
        if candidate.server.failure_domain == self._place.failure_domain:
            return 0.0
        if candidate.region == self._place.region:
            return estimate.answer_bytes * DOMAIN_SECONDS_PER_BYTE
        return estimate.answer_bytes * REGION_SECONDS_PER_BYTE

    def _shortlist(self, object_key: str | None) -> _Shortlist:
        if object_key is None:
            return _Shortlist(candidates=list(self.candidates_by_id.values()))
        found = self._shortlists_by_key.get(object_key)
        if found is None:
            found = self._make_shortlist(object_key)
            self._shortlists_by_key[object_key] = found
        return found

    def _make_shortlist(self, object_key: str) -> _Shortlist:
        ranked = sorted(
            self.candidates_by_id.values(),
            key=lambda each: _rank(object_key, each.server.id),
        )
        shortlist = _Shortlist()
        counts: dict[str, int] = {}
        near = 0
        for candidate in ranked:
            server_id = candidate.server.id
            in_domain = candidate.server.failure_domain == self._place.failure_domain
            rank = counts.get(candidate.region, 0)
            counts[candidate.region] = rank + 1
            if rank == 0:
                own = candidate.region == self._place.region
                prior = REGION_FIRST_PRIOR if own else FAR_FIRST_PRIOR
                shortlist.priors_by_id[server_id] = prior
            elif in_domain and near == 0:
                shortlist.priors_by_id[server_id] = DOMAIN_FIRST_PRIOR
            if rank < SHORTLIST_PER_REGION or (in_domain and near < SHORTLIST_NEAR):
                shortlist.candidates.append(candidate)
            near += in_domain
        return shortlist


def _rank(object_key: str, server_id: str) -> int:
    return xxh3_64_intdigest(f'{object_key}/{server_id}'.encode())
