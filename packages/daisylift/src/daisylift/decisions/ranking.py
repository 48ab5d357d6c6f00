"""Ranks the servers of each object by rendezvous hashing.

Load pattern: hundreds of servers, thousands of objects, and servers that come and go
each second. All nodes must compute the same ranking without exchanging messages, a
change of a server must move only that server's objects, and neither a choice nor a
change may cost more in a large fleet. The first few servers of each requested object
are therefore cached for the local failure domain, the local region and all other
regions, and updated as servers are added and removed. Only the first request for an
object ranks all servers.
"""

import enum
from bisect import insort
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nsmallest

from xxhash import xxh3_64_intdigest

from daisylift.decisions.region_stats import RegionStats
from daisylift.decisions.server_stats import ServerStats
from daisylift.models.registered_server import RegisteredServer

RANKED_SERVERS = 8  # kept per ranking; spares replace servers that can't be used
MIN_RANKED = 4  # a ranking that has shrunk below this is computed again
MAX_RANKINGS = 4096  # objects whose rankings are cached, about 2 KB each


@dataclass(slots=True, eq=False)
class Candidate:
    """A server with this node's statistics about it."""

    server: RegisteredServer
    stats: ServerStats
    region: str
    region_stats: RegionStats = field(default_factory=RegionStats)

    def is_same_location(self, other: 'Candidate') -> bool:
        """Return whether both are one incarnation in the same failure domain."""
        is_moved = self.server.failure_domain != other.server.failure_domain
        return self.stats is other.stats and not is_moved


@dataclass(frozen=True, slots=True)
class Location:
    """The location of this node."""

    failure_domain: str
    region: str


class Proximity(enum.Enum):
    """The groups of servers for which rankings are cached."""

    SAME_DOMAIN = 'near'  # the local failure domain
    SAME_REGION = 'home'  # the local region, including the local failure domain
    OTHER_REGION = 'far'  # all other regions


@dataclass(slots=True)
class Ranking:
    """The highest-ranked servers of an object for each group, best first."""

    entries_by_group: dict[Proximity, list[tuple[int, Candidate]]] = field(
        default_factory=dict
    )

    def entries(self, group: Proximity) -> list[Candidate]:
        """Return the servers of the group."""
        return [candidate for _, candidate in self.entries_by_group[group]]

    def add(
        self, group: Proximity, rank: int, candidate: Candidate, others: int
    ) -> None:
        """Insert a server if it ranks among the first of its group.

        ``others`` is the number of servers that the group had before. If the ranking
        lacks some of them, a server that would go to its end is not inserted, because
        the missing servers may rank before it.
        """
        entries = self.entries_by_group[group]
        is_complete = len(entries) == others
        if not is_complete and (not entries or rank > _entry_rank(entries[-1])):
            return
        insort(entries, (rank, candidate), key=_entry_rank)
        del entries[RANKED_SERVERS:]

    def remove(self, group: Proximity, candidate: Candidate) -> bool:
        """Remove a server; return whether it was in the ranking."""
        entries = self.entries_by_group[group]
        kept = [entry for entry in entries if entry[1] is not candidate]
        self.entries_by_group[group] = kept
        return len(kept) < len(entries)


class Rankings:
    """The servers of one service by group, and the cached rankings of its objects."""

    def __init__(self, location: Location, candidates: Iterable[Candidate]) -> None:
        self._location = location
        self.members_by_group: dict[Proximity, list[Candidate]] = {
            each: [] for each in Proximity
        }
        self._rankings_by_key: OrderedDict[str, Ranking] = OrderedDict()
        for candidate in candidates:
            self.add(candidate)

    def for_object(self, object_key: str) -> Ranking:
        """Return the ranking of an object; compute it if it is not cached."""
        cached = self._rankings_by_key.get(object_key)
        if cached is not None:
            self._rankings_by_key.move_to_end(object_key)
            return cached
        ranking = self._rankings_by_key[object_key] = self._compute(object_key)
        if len(self._rankings_by_key) > MAX_RANKINGS:
            self._rankings_by_key.popitem(last=False)
        return ranking

    def add(self, candidate: Candidate) -> None:
        """Add a server to its groups and to the cached rankings."""
        for group in self._groups_of(candidate):
            members = self.members_by_group[group]
            for key, ranking in self._rankings_by_key.items():
                rank = _rank(key, candidate.server.id)
                ranking.add(group, rank, candidate, len(members))
            members.append(candidate)

    def remove(self, candidate: Candidate) -> None:
        """Remove a server; rankings that become too short are computed again on use."""
        for group in self._groups_of(candidate):
            members = self.members_by_group[group]
            members.remove(candidate)
            short = [
                key
                for key, ranking in self._rankings_by_key.items()
                if ranking.remove(group, candidate)
                and len(ranking.entries(group)) < min(MIN_RANKED, len(members))
            ]
            for key in short:
                del self._rankings_by_key[key]

    def _groups_of(self, candidate: Candidate) -> tuple[Proximity, ...]:
        if candidate.region != self._location.region:
            return (Proximity.OTHER_REGION,)
        if candidate.server.failure_domain != self._location.failure_domain:
            return (Proximity.SAME_REGION,)
        return (Proximity.SAME_DOMAIN, Proximity.SAME_REGION)

    def _compute(self, object_key: str) -> Ranking:
        ranking = Ranking()
        for group, members in self.members_by_group.items():
            ranked = ((_rank(object_key, each.server.id), each) for each in members)
            ranking.entries_by_group[group] = nsmallest(
                RANKED_SERVERS, ranked, key=_entry_rank
            )
        return ranking


def _entry_rank(entry: tuple[int, Candidate]) -> int:
    return entry[0]


def _rank(object_key: str, server_id: str) -> int:
    text = f'{object_key}/{server_id}'
    return xxh3_64_intdigest(text.encode('utf-8', 'surrogateescape'))
