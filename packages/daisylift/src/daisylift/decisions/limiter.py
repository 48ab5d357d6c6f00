"""Limits how much traffic a node moves at once when it applies a configuration.

A node answers lookups from its own effective cuts and moves them towards the cuts of
the configuration, by at most the cap of the service within one shift spacing. A node
that follows without delay always has the configured cuts. One that was disconnected may
lag far behind, and catches up one capped step at a time.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from daisylift.decisions.shifts import ShiftKind, points_of, spacing_seconds
from daisylift.decisions.state import Configuration
from daisylift.decisions.steering import POINTS, Cut, differing_points, step_towards

CutByHome = Mapping[str, Cut]


@dataclass(slots=True)
class CutLimiter:
    """The effective cuts of one node, by service and home site."""

    cuts: dict[str, CutByHome] = field(default_factory=dict)
    _moves_by_service: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    _evacuated: set[str] = field(default_factory=set)

    def step(self, configuration: Configuration, now: float) -> bool:
        """Move towards the configuration within the caps; return whether it is reached.

        A service that is new to this node gets its configured cuts at once, and counts
        as moved just now: the node can't know how its callers were steered before.
        """
        for service in self.cuts.keys() - configuration.cuts.keys():
            del self.cuts[service]
            self._moves_by_service.pop(service, None)
        is_reached = True
        for service, target in configuration.cuts.items():
            if service not in self.cuts:
                self.cuts[service] = target
                self._moves_by_service[service] = [(now, POINTS)]
            elif self.cuts[service] is not target:
                is_reached &= self._step_service(configuration, service, now)
            self._update_evacuated(configuration, service)
        return is_reached

    def cut_of(self, service: str, home: str) -> Cut | None:
        """Return the effective cut of a home site, or None if it is unknown."""
        return self.cuts.get(service, {}).get(home)

    def _step_service(
        self, configuration: Configuration, service: str, now: float
    ) -> bool:
        self._update_evacuated(configuration, service)
        budget = self._budget(configuration, service, now)
        current, target = self.cuts[service], configuration.cuts[service]
        moved = 0
        after = {}
        is_reached = True
        for home, cut in target.items():
            previous = current.get(home)
            if previous is None or previous is cut:
                after[home] = cut
                continue
            after[home] = step_towards(previous, cut, budget)
            moved = max(moved, differing_points(previous, after[home]))
            is_reached &= after[home] is cut
        self.cuts[service] = target if is_reached else after
        if moved:
            self._moves_by_service.setdefault(service, []).append((now, moved))
        return is_reached

    def _update_evacuated(self, configuration: Configuration, service: str) -> None:
        """Apply the evacuation cap until the final stage of the evacuation is reached.

        The stage that ends an evacuation is still part of it.
        """
        if _is_evacuated(configuration, service):
            self._evacuated.add(service)
        elif self.cuts[service] is configuration.cuts[service]:
            self._evacuated.discard(service)

    def _budget(self, configuration: Configuration, service: str, now: float) -> int:
        settings = configuration.index.services_by_name[service]
        spacing = spacing_seconds(settings)
        moves = self._moves_by_service.get(service, [])
        recent = [(at, points) for at, points in moves if now - at < spacing]
        self._moves_by_service[service] = recent
        cap = settings.shift_cap
        if service in self._evacuated:
            cap = max(cap, configuration.policy.evacuation_cap)
        return max(0, points_of(cap) - sum(points for _, points in recent))


def _is_evacuated(configuration: Configuration, service: str) -> bool:
    return any(
        shift.kind is ShiftKind.EVACUATION
        and shift.is_active
        and shift.service == service
        for shift in configuration.shifts.values()
    )
