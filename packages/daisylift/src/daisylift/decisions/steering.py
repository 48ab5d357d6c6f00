"""Divides the blocks of a home site among the sites that serve them.

Each pair of block and service hashes to a fixed point, an integer from 0 up to
``POINTS``. A cut assigns all points to sites in segments. Moving an amount from one
site to another moves exactly that many points and leaves all others where they are, so
every node computes the same result and caches stay warm.
"""

from bisect import bisect_right
from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass

import xxhash

POINTS = 1 << 32
POINT_BITS = 32


@dataclass(frozen=True, slots=True)
class Move:
    """A shift that moved a segment, and the site that it was moved from."""

    shift: str
    source: str


@dataclass(frozen=True, slots=True)
class Owner:
    """The site that serves a segment, and the moves to it, latest last."""

    site: str
    moves: tuple[Move, ...] = ()


@dataclass(frozen=True, slots=True)
class Cut:
    """The segments of all points: segment ``i`` ends before ``ends[i]``."""

    ends: tuple[int, ...]
    owners: tuple[Owner, ...]

    def segments(self) -> Iterator[tuple[int, int, Owner]]:
        """Yield the start, end (exclusive) and owner of each segment."""
        start = 0
        for end, owner in zip(self.ends, self.owners, strict=True):
            yield start, end, owner
            start = end


@dataclass(frozen=True, slots=True)
class Position:
    """The point of a block for a service, and a second, independent hash value."""

    point: int
    rotation: int


def single_site_cut(site: str) -> Cut:
    """Return the cut that assigns all points to one site."""
    return Cut(ends=(POINTS,), owners=(Owner(site),))


def weighted_cut(weights: Mapping[str, int]) -> Cut:
    """Return the cut that divides the points among sites in proportion to weights."""
    limits = _cumulative_limits(weights, POINTS)
    return _merge_segments([(limit, Owner(site)) for limit, site in limits])


def position_of(service: str, block: bytes) -> Position:
    """Return the fixed position of a block, given as its packed first address."""
    digest = xxhash.xxh3_64_intdigest(block + service.encode())
    return Position(point=digest >> POINT_BITS, rotation=digest & (POINTS - 1))


def site_at(cut: Cut, point: int) -> str:
    """Return the site that serves the point."""
    return cut.owners[bisect_right(cut.ends, point)].site


def points_at(cut: Cut, sites: Collection[str]) -> int:
    """Return the number of points that the sites serve together."""
    return sum(end - start for start, end, o in cut.segments() if o.site in sites)


def move_points(
    cut: Cut,
    shift: str,
    sources: Collection[str],
    weights: Mapping[str, int],
    amount: int,
) -> Cut:
    """Move the lowest ``amount`` points of the sources to other sites.

    The sites get shares in proportion to ``weights``. If the sources serve fewer
    points, all of them are moved.
    """
    amount = min(amount, points_at(cut, sources))
    if amount <= 0:
        return cut
    limits = _cumulative_limits(weights, amount)
    pieces: list[tuple[int, Owner]] = []
    moved = 0
    for start, end, owner in cut.segments():
        if owner.site not in sources or moved == amount:
            pieces.append((end, owner))
            continue
        taken = min(end - start, amount - moved)
        for limit, site in limits:
            if moved < limit and taken > 0:
                part = min(taken, limit - moved)
                start += part
                moved += part
                taken -= part
                moves = (*owner.moves, Move(shift, owner.site))
                pieces.append((start, Owner(site, moves)))
        if start < end:
            pieces.append((end, owner))
    return _merge_segments(pieces)


def return_points(cut: Cut, shift: str, amount: int) -> Cut:
    """Move back the highest ``amount`` points whose latest move was by the shift."""
    pieces: list[tuple[int, Owner]] = []
    remaining = amount
    for start, end, owner in reversed(list(cut.segments())):
        if remaining <= 0 or not owner.moves or owner.moves[-1].shift != shift:
            pieces.append((end, owner))
            continue
        taken = min(end - start, remaining)
        remaining -= taken
        pieces.append((end, Owner(owner.moves[-1].source, owner.moves[:-1])))
        if taken < end - start:
            pieces.append((end - taken, owner))
    return _merge_segments(pieces[::-1])


def remove_moves(cut: Cut, shifts: Collection[str]) -> Cut:
    """Remove the moves of shifts that are no longer stored; no point is moved."""
    if not any(m.shift in shifts for owner in cut.owners for m in owner.moves):
        return cut
    return _merge_segments(
        (
            end,
            Owner(owner.site, tuple(m for m in owner.moves if m.shift not in shifts)),
        )
        for _, end, owner in cut.segments()
    )


def differing_points(first: Cut, second: Cut) -> int:
    """Return the number of points that the two cuts assign to different sites."""
    return sum(end - start for start, end, a, b in _overlay(first, second) if a != b)


def step_towards(current: Cut, target: Cut, budget: int) -> Cut:
    """Return the current cut with up to ``budget`` points changed to the target."""
    if differing_points(current, target) <= budget:
        return target
    pieces: list[tuple[int, Owner]] = []
    for start, end, current_site, target_site in _overlay(current, target):
        if current_site == target_site or budget <= 0:
            pieces.append((end, Owner(current_site)))
            continue
        taken = min(end - start, budget)
        budget -= taken
        pieces.append((start + taken, Owner(target_site)))
        if start + taken < end:
            pieces.append((end, Owner(current_site)))
    return _merge_segments(pieces)


def nearest_site(
    home: str, sites: Sequence[str], region_by_site: Mapping[str, str]
) -> str:
    """Return the site nearest to the home; ties are resolved by hash."""
    region = region_by_site.get(home)
    return min(
        sites,
        key=lambda site: (
            site != home,
            region_by_site.get(site) != region,
            xxhash.xxh3_64_intdigest(f'{home}/{site}'.encode()),
        ),
    )


def _cumulative_limits(
    weights: Mapping[str, int], amount: int
) -> list[tuple[int, str]]:
    total = sum(weights.values())
    limits = []
    sum_so_far = 0
    for site, weight in sorted(weights.items()):
        sum_so_far += weight
        limits.append((amount * sum_so_far // total, site))
    return limits


def _overlay(first: Cut, second: Cut) -> Iterator[tuple[int, int, str, str]]:
    start = i = j = 0
    while start < POINTS:
        end = min(first.ends[i], second.ends[j])
        yield start, end, first.owners[i].site, second.owners[j].site
        i += first.ends[i] == end
        j += second.ends[j] == end
        start = end


def _merge_segments(
    pieces: Iterator[tuple[int, Owner]] | Sequence[tuple[int, Owner]],
) -> Cut:
    ends: list[int] = []
    owners: list[Owner] = []
    for end, owner in pieces:
        if owners and owners[-1] == owner:
            ends[-1] = end
            continue
        ends.append(end)
        owners.append(owner)
    return Cut(ends=tuple(ends), owners=tuple(owners))
