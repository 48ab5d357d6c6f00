"""Decides which tenants go first where requests wait for slots.

Load pattern: one tenant sends many times its usual and more requests wait than there
are slots. Each tenant has a weight: its usage cap, or the rate at which it usually
sends. A tenant that was served more than its weight's part of all service goes after
the others, so it takes room only from itself. A tenant that was served far less often
than all goes first, also before those of a higher priority, so that none is starved.
"""

import enum
import math
from dataclasses import dataclass, field

SERVICE_SECONDS = 4.0  # time constant of what counts as recent
USUAL_SECONDS = 60.0  # time constant of the usual rate of a tenant without a cap
LEARN_SECONDS = 8.0  # then what a tenant sends beyond its usual counts less
OVER_SPREAD = 2.0  # standard deviations of random arrivals above its part
STARVED_SHARE = 0.4  # of how often the requests of all tenants are served
FLOOD_TIMES = 2.0  # of its weight that a tenant sends; then it goes last of all
MIN_REQUESTS = 3.0  # recent ones, before a tenant counts as over or as starved
REFRESH_SECONDS = 0.1
MAX_TENANTS = 1024  # for a service and VM; those that sent least recently are dropped
MIN_USUAL_SECONDS = 1.0
MIN_WEIGHT = 0.01


class Standing(enum.IntEnum):
    """How a tenant was served lately; the smaller goes first."""

    STARVED = -1
    WITHIN = 0
    OVER = 1
    FLOODING = 2


@dataclass(slots=True)
class _Recent:
    """A count of which a part is forgotten all the time."""

    seconds: float
    value: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.updated_at) / self.seconds)

    def count(self, now: float, amount: float = 1.0) -> None:
        self.value = self.at(now) + amount
        self.updated_at = now


def _recent() -> _Recent:
    return _Recent(SERVICE_SECONDS)


@dataclass(slots=True)
class _TenantRecord:
    first_at: float
    cap_per_second: float | None
    asked: _Recent = field(default_factory=_recent)
    served: _Recent = field(default_factory=_recent)
    usual: _Recent = field(default_factory=lambda: _Recent(USUAL_SECONDS))
    last_second: _Recent = field(default_factory=lambda: _Recent(1.0))

    def count_request(self, now: float) -> None:
        """Count a request; beyond the usual it changes little of what is usual."""
        self.asked.count(now)
        self.last_second.count(now)
        amount = 1.0
        if now - self.first_at >= LEARN_SECONDS:
            weight, last_second = self.weight(now), self.last_second.value
            if last_second > weight + OVER_SPREAD * math.sqrt(weight) + 1.0:
                amount = weight / last_second
        self.usual.count(now, amount)

    def weight(self, now: float) -> float:
        """Return the cap or the usual rate, in requests per second."""
        if self.cap_per_second:
            return max(MIN_WEIGHT, self.cap_per_second)
        known = max(MIN_USUAL_SECONDS, now - self.first_at)
        seconds = USUAL_SECONDS * -math.expm1(-known / USUAL_SECONDS)
        return max(MIN_WEIGHT, self.usual.at(now) / seconds)


@dataclass(slots=True)
class TenantShares:
    """What each tenant asked of a service at this VM, and what it was given."""

    _records: dict[str, _TenantRecord] = field(default_factory=dict)
    _asked: _Recent = field(default_factory=_recent)
    _served: _Recent = field(default_factory=_recent)
    _standings: dict[str, Standing] = field(default_factory=dict)
    _refreshed_at: float = -math.inf

    def record_request(
        self, tenant: str, cap_per_second: float | None, now: float
    ) -> None:
        """Count a request of the tenant."""
        record = self._records.pop(tenant, None)
        if record is None:
            record = _TenantRecord(now, cap_per_second)
            if len(self._records) >= MAX_TENANTS:
                del self._records[next(iter(self._records))]
        self._records[tenant] = record
        record.cap_per_second = cap_per_second
        record.count_request(now)
        self._asked.count(now)

    def record_start(self, tenant: str, now: float) -> None:
        """Count a slot that a request of the tenant was given."""
        self._served.count(now)
        if record := self._records.get(tenant):
            record.served.count(now)

    def standing(self, tenant: str | None, now: float) -> Standing:
        """Return the standing of a tenant; requests without one are within."""
        if tenant is None or not self._records:
            return Standing.WITHIN
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refresh(now)
        return self._standings.get(tenant, Standing.WITHIN)

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        total = sum(record.weight(now) for record in self._records.values())
        per_weight = self._served.at(now) / total
        served_share = self._served.at(now) / max(self._asked.at(now), 1e-9)
        self._standings = {
            name: _standing(record, per_weight, served_share, now)
            for name, record in self._records.items()
        }


def _standing(
    record: _TenantRecord, per_weight: float, served_share: float, now: float
) -> Standing:
    asked, served = record.asked.at(now), record.served.at(now)
    if asked >= MIN_REQUESTS and served < STARVED_SHARE * served_share * asked:
        return Standing.STARVED
    fair = per_weight * record.weight(now)
    if served > max(fair + OVER_SPREAD * math.sqrt(fair), MIN_REQUESTS):
        usual = SERVICE_SECONDS * record.weight(now)
        is_flooding = asked > FLOOD_TIMES * usual + OVER_SPREAD * math.sqrt(usual)
        return Standing.FLOODING if is_flooding else Standing.OVER
    return Standing.WITHIN
