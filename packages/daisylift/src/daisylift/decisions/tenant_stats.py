"""Counts how the requests of each tenant end, and finds the tenants served worst.

Load pattern: one tenant sends many times its usual, and others get less of what is
there than before. Averages hide this, so the share of the worst tenth of the tenants is
told besides. The figures are those of one VM in one period; the tenants with the most
requests are named and all others summed up, which bounds the metrics.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MAX_NAMED_TENANTS = 20
WORST_SHARE = 0.1  # of the tenants that sent something
MIN_REQUESTS = 5  # fewer of a tenant say nothing of its share
OTHER_TENANTS = '(other)'

CountByOutcome = Counter[str]


@dataclass(frozen=True, slots=True)
class TenantReport:
    """How the requests of one period ended.

    ``counts_by_tenant`` has at most MAX_NAMED_TENANTS names, and OTHER_TENANTS for the
    sum of all others. ``worst_names`` are the tenants served worst, the worst first,
    and ``worst_served_share`` the share of their requests that were served; None if no
    tenant sent enough.
    """

    counts_by_tenant: Mapping[str, CountByOutcome]
    tenants: int
    worst_names: tuple[str, ...]
    worst_served_share: float | None


@dataclass(slots=True)
class _Tally:
    by_outcome: CountByOutcome = field(default_factory=Counter)
    served: int = 0

    @property
    def total(self) -> int:
        return self.by_outcome.total()

    @property
    def served_share(self) -> float:
        return self.served / self.total


class TenantStats:
    """Counts the requests of the tenants in the current period."""

    def __init__(self) -> None:
        self._tally_by_tenant: dict[str, _Tally] = {}

    def record(self, tenant: str, outcome: str, *, is_served: bool) -> None:
        """Count a request of the tenant that ended."""
        tally = self._tally_by_tenant.setdefault(tenant, _Tally())
        tally.by_outcome[outcome] += 1
        tally.served += is_served

    def close_period(self) -> TenantReport:
        """Return the report of the period that ends, and begin the next."""
        tally_by_tenant, self._tally_by_tenant = self._tally_by_tenant, {}
        ordered = sorted(
            tally_by_tenant.items(), key=lambda pair: (-pair[1].total, pair[0])
        )
        counts_by_tenant = {
            name: tally.by_outcome for name, tally in ordered[:MAX_NAMED_TENANTS]
        }
        if others := ordered[MAX_NAMED_TENANTS:]:
            counts_by_tenant[OTHER_TENANTS] = _sum(tally for _, tally in others)
        worst = _worst(tally_by_tenant)
        served = sum(tally_by_tenant[name].served for name in worst)
        total = sum(tally_by_tenant[name].total for name in worst)
        return TenantReport(
            counts_by_tenant,
            len(tally_by_tenant),
            worst,
            served / total if total else None,
        )


def _worst(tally_by_tenant: Mapping[str, _Tally]) -> tuple[str, ...]:
    names = [
        name for name, tally in tally_by_tenant.items() if tally.total >= MIN_REQUESTS
    ]
    names.sort(key=lambda name: (tally_by_tenant[name].served_share, name))
    return tuple(names[: max(1, round(WORST_SHARE * len(names)))])


def _sum(tallies: Iterable[_Tally]) -> CountByOutcome:
    total: CountByOutcome = Counter()
    for tally in tallies:
        total.update(tally.by_outcome)
    return total
