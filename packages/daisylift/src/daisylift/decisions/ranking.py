"""The servers of an object in order, found by rendezvous hashing alone.

Load pattern: hundreds of servers, thousands of objects, and servers that come and go
each second. All nodes must rank alike without a message, a change must move only the
objects of the server that changed, and neither a choice nor a change may cost more in
a large fleet. So the first few servers of each object that was asked for are kept, for
the own failure domain, the own region and all others, and follow the registered servers
one at a time. Only the first request on an object ranks all servers.
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

RANKED_SERVERS = 8  # kept of each ranking, to pass over servers that can't be used
MIN_RANKED = 4  # a ranking that has shrunk below this is made anew
MAX_RANKINGS = 4096  # objects whose rankings are kept, about 2 KB each


@dataclass(slots=True, eq=False)
class Candidate:
    """A server with this node's record of it."""

    server: RegisteredServer
    stats: ServerStats
    region: str
    record: RegionRecord = field(default_factory=RegionRecord)

    def is_same_place(self, other: 'Candidate') -> bool:
        """Say whether the other is this incarnation, still in its failure domain."""
        is_moved = self.server.failure_domain != other.server.failure_domain
        return self.stats is other.stats and not is_moved


@dataclass(frozen=True, slots=True)
class Place:
    """Where this node is."""

    failure_domain: str
    region: str


class Nearness(enum.Enum):
    """The groups of servers that rankings are kept of."""

    NEAR = 'near'  # the own failure domain
    HOME = 'home'  # the own region, the own failure domain with it
    FAR = 'far'  # all other regions


@dataclass(slots=True)
class Ranking:
    """The first servers of an object by hash, best first, for each group."""

    entries_by_group: dict[Nearness, list[tuple[int, Candidate]]] = field(
        default_factory=dict
    )

    def entries(self, group: Nearness) -> list[Candidate]:
        """Return the servers of the group."""
        return [candidate for _, candidate in self.entries_by_group[group]]

    def add(
        self, group: Nearness, rank: int, candidate: Candidate, others: int
    ) -> None:
        """Take a server in, if it belongs among the first of its group.

        ``others`` is the number of servers that the group had before. A ranking that
        lacks some of them can't tell whether these go before a server at its end.
        """
        entries = self.entries_by_group[group]
        is_whole = len(entries) == others
        if not is_whole and (not entries or rank > _first(entries[-1])):
            return
        insort(entries, (rank, candidate), key=_first)
        del entries[RANKED_SERVERS:]

    def remove(self, group: Nearness, candidate: Candidate) -> bool:
        """Drop a server; say whether it was among the first."""
        entries = self.entries_by_group[group]
        kept = [entry for entry in entries if entry[1] is not candidate]
        self.entries_by_group[group] = kept
        return len(kept) < len(entries)


class Rankings:
    """The servers of one service by group, and the rankings of its known objects."""

    def __init__(self, place: Place, candidates: Iterable[Candidate]) -> None:
        self._place = place
        self.members_by_group: dict[Nearness, list[Candidate]] = {
            each: [] for each in Nearness
        }
        self._rankings_by_key: OrderedDict[str, Ranking] = OrderedDict()
        for candidate in candidates:
            self.add(candidate)

    def of(self, object_key: str) -> Ranking:
        """Return the ranking of an object."""
        found = self._rankings_by_key.get(object_key)
        if found is not None:
            self._rankings_by_key.move_to_end(object_key)
            return found
        made = self._rankings_by_key[object_key] = self._make(object_key)
        if len(self._rankings_by_key) > MAX_RANKINGS:
            self._rankings_by_key.popitem(last=False)
        return made

    def add(self, candidate: Candidate) -> None:
        """Put a server into its groups and into the known rankings."""
        for group in self._groups_of(candidate):
            members = self.members_by_group[group]
            for key, ranking in self._rankings_by_key.items():
                rank = _rank(key, candidate.server.id)
                ranking.add(group, rank, candidate, len(members))
            members.append(candidate)

    def remove(self, candidate: Candidate) -> None:
        """Take a server out; rankings that become too short are made anew when used."""
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
