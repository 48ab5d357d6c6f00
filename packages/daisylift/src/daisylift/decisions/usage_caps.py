"""Divides the usage caps of tenants among the entry VMs, and holds a VM's tokens.

Load pattern: a tenant sends many times its usual, through one VM, one region or all of
them, while VMs are cut off from each other, restart, freeze or join. The cap binds over
all VMs together, so the rate and the depth of its token bucket are divided among
owners, which each VM computes from the registered VMs. Tokens that an owner grants to
another VM count against its depth until they have expired there: over all VMs, there
are never more tokens than the stock, whatever is lost, late or doubled.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

STOCK_SHARE = 0.85  # of the room; the rest covers VMs with outdated members
STOCK_SECONDS = 0.4  # of the rate; bridges the time that grants are under way
STOCK_SPARE = 16.0  # requests; small caps need whole tokens at several VMs
MAX_OWNERS = 32  # of a tenant; as many questions collect its whole rate
TOKENS_PER_OWNER = 3.0  # at least; whole tokens are spent
OWNER_HOLD_SECONDS = 3.0  # by then VMs in touch know of a change of the members


@dataclass(frozen=True, slots=True)
class UsageBounds:
    """What all VMs together may run of a tenant in any window.

    (rate x ``window_seconds`` + burst) x (1 + ``excess``) + ``slack`` requests.
    """

    window_seconds: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def most(self, per_second: float, burst: float) -> float:
        """Return the requests that may run in a window."""
        owed = per_second * self.window_seconds + burst
        return owed * (1.0 + self.excess) + self.slack


@dataclass(frozen=True, slots=True)
class UsageCap:
    """The cap of a tenant, in requests, and how it is spent.

    ``stock`` is the number of tokens over all VMs. The rate may be exceeded by the
    share ``spare_rate_share`` while VMs are lost.
    """

    per_second: float
    stock: float
    spare_rate_share: float

    @classmethod
    def of(cls, per_second: float, burst: float, bounds: UsageBounds) -> 'UsageCap':
        """Return how to spend a cap within the bounds."""
        rate_part = per_second * bounds.window_seconds
        room = STOCK_SHARE * (bounds.most(per_second, burst) - rate_part)
        stock = min(room, max(burst, STOCK_SECONDS * per_second) + STOCK_SPARE)
        return cls(per_second, stock, (room - stock) / rate_part)


class OwnerRing:
    """The registered VMs by region, each region with a ring of hashes."""

    def __init__(self, region_by_name: Mapping[str, str]) -> None:
        self._names = frozenset(region_by_name)
        self._rings: dict[str, tuple[list[int], list[str]]] = {}
        for region in set(region_by_name.values()):
            points = sorted(
                (xxh3_64_intdigest(name.encode()), name)
                for name, each in region_by_name.items()
                if each == region
            )
            self._rings[region] = ([p for p, _ in points], [n for _, n in points])

    def __contains__(self, name: str) -> bool:
        """Return whether the VM is registered."""
        return name in self._names

    def owners(self, tenant: str, stock: float) -> tuple[str, ...]:
        """Return the owners of the tenant's cap, region by region."""
        total = len(self._names)
        if not total:
            return ()
        count = max(1, min(total, MAX_OWNERS, int(stock / TOKENS_PER_OWNER)))
        start = xxh3_64_intdigest(tenant.encode())
        regions = sorted(
            self._rings, key=lambda region: start ^ xxh3_64_intdigest(region.encode())
        )
        owners: list[str] = []
        for region in regions[:count]:
            points, names = self._rings[region]
            part = min(len(names), max(1, round(count * len(names) / total)))
            first = bisect_right(points, start)
            owners += [names[(first + n) % len(names)] for n in range(part)]
        return tuple(owners)


@dataclass(slots=True)
class UsageBucket:
    """The tokens that this VM owns. Times are in seconds of a clock that never stops.

    The level and the grants that have not expired yet never exceed ``depth``.
    """

    per_second: float
    depth: float
    updated_at: float
    level: float = 0.0
    was_full_at: float = 0.0
    granted: float = 0.0
    _grants: deque[tuple[float, int]] = field(default_factory=deque)

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call, as far as there is room."""
        while self._grants and self._grants[0][0] <= now:
            self.granted -= self._grants.popleft()[1]
        if now <= self.updated_at:
            return
        self.level += self.per_second * (now - self.updated_at)
        self.updated_at = now
        self._clip(now)

    def configure(self, per_second: float, depth: float, now: float) -> None:
        """Change the rate and the depth."""
        self.refill(now)
        self.per_second, self.depth = per_second, depth
        self._clip(now)

    def take(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        self.refill(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def give_back(self, taken_at: float, now: float) -> None:
        """Put a token back, unless it would have overflowed meanwhile."""
        self.refill(now)
        if self.was_full_at <= taken_at:
            self.level += 1.0
            self._clip(now)

    def grant(self, wanted: int, reserve: float, expires_at: float, now: float) -> int:
        """Take up to ``wanted`` tokens beyond the reserve; return how many.

        They count against the depth until ``expires_at``.
        """
        self.refill(now)
        count = max(0, min(wanted, int(self.level - reserve)))
        if count:
            self.level -= count
            self.granted += count
            self._grants.append((expires_at, count))
        return count

    def seconds_until(self, tokens: float, now: float) -> float:
        """Return the seconds until there are so many tokens, inf if there never are."""
        self.refill(now)
        if self.level >= tokens:
            return 0.0
        if self.per_second <= 0.0 or self.depth < tokens:
            return float('inf')
        return (tokens - self.level) / self.per_second

    def _clip(self, now: float) -> None:
        room = max(0.0, self.depth - self.granted)
        if self.level >= room:
            self.level = room
            self.was_full_at = now
