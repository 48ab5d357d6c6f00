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

from daisylift.decisions.region_record import RegionRecord
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
    record: RegionRecord = field(default_factory=RegionRecord)

    def is_same_place(self, other: 'Candidate') -> bool:
        """Return whether both are one incarnation in the same failure domain."""
        is_moved = self.server.failure_domain != other.server.failure_domain
        return self.stats is other.stats and not is_moved


@dataclass(frozen=True, slots=True)
class Place:
    """The location of this node."""

    failure_domain: str
    region: str


class Nearness(enum.Enum):
    """The groups of servers for which rankings are cached."""

    NEAR = 'near'  # the local failure domain
    HOME = 'home'  # the local region, including the local failure domain
    FAR = 'far'  # all other regions


@dataclass(slots=True)
class Ranking:
    """The highest-ranked servers of an object for each group, best first."""

    entries_by_group: dict[Nearness, list[tuple[int, Candidate]]] = field(
        default_factory=dict
    )

    def entries(self, group: Nearness) -> list[Candidate]:
        """Return the servers of the group."""
        return [candidate for _, candidate in self.entries_by_group[group]]

    def add(
        self, group: Nearness, rank: int, candidate: Candidate, others: int
    ) -> None:
        """Insert a server if it ranks among the first of its group.

        ``others`` is the number of servers that the group had before. If the ranking
        lacks some of them, a server that would go to its end is not inserted, because
        the missing servers may rank before it.
        """
        entries = self.entries_by_group[group]
        is_whole = len(entries) == others
        if not is_whole and (not entries or rank > _first(entries[-1])):
            return
        insort(entries, (rank, candidate), key=_first)
        del entries[RANKED_SERVERS:]

    def remove(self, group: Nearness, candidate: Candidate) -> bool:
        """Remove a server; return whether it was in the ranking."""
        entries = self.entries_by_group[group]
        kept = [entry for entry in entries if entry[1] is not candidate]
        self.entries_by_group[group] = kept
        return len(kept) < len(entries)


class Rankings:
    """The servers of one service by group, and the cached rankings of its objects."""

    def __init__(self, place: Place, candidates: Iterable[Candidate]) -> None:
        self._place = place
        self.members_by_group: dict[Nearness, list[Candidate]] = {
            each: [] for each in Nearness
        }
        self._rankings_by_key: OrderedDict[str, Ranking] = OrderedDict()
        for candidate in candidates:
            self.add(candidate)

    def of(self, object_key: str) -> Ranking:
        """Return the ranking of an object; compute it if it is not cached."""
        found = self._rankings_by_key.get(object_key)
        if found is not None:
            self._rankings_by_key.move_to_end(object_key)
            return found
        made = self._rankings_by_key[object_key] = self._make(object_key)
        if len(self._rankings_by_key) > MAX_RANKINGS:
            self._rankings_by_key.popitem(last=False)
        return made

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

    def _groups_of(self, candidate: Candidate) -> tuple[Nearness, ...]:
        if candidate.region != self._place.region:
            return (Nearness.FAR,)
        if candidate.server.failure_domain != self._place.failure_domain:
            return (Nearness.HOME,)
        return (Nearness.NEAR, Nearness.HOME)

    def _make(self, object_key: str) -> Ranking:
        ranking = Ranking()
        for group, members in self.members_by_group.items():
            ranked = ((_rank(object_key, each.server.id), each) for each in members)
            ranking.entries_by_group[group] = nsmallest(
                RANKED_SERVERS, ranked, key=_first
            )
        return ranking


def _first(entry: tuple[int, Candidate]) -> int:
    return entry[0]


def _rank(object_key: str, server_id: str) -> int:
    return xxh3_64_intdigest(f'{object_key}/{server_id}'.encode())
