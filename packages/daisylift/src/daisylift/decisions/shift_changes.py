"""Application of shift, evacuation and site drain changes to the configuration."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from daisylift.decisions.shifts import (
    ACTIVE_STATES,
    Shift,
    ShiftKind,
    ShiftState,
    points_at_stage,
    points_of,
    stage_points,
)
from daisylift.decisions.state import (
    ChangeProblem,
    ChangeRefusedError,
    Configuration,
    with_effective_drains,
)
from daisylift.decisions.steering import (
    Cut,
    move_points,
    points_at,
    remove_moves,
    return_points,
)
from daisylift.models import (
    AdvanceShift,
    ControlShift,
    EvacuateRegion,
    SetSiteDrain,
    StartShift,
)

MAX_SHIFTS = 1024

ShiftChange = StartShift | AdvanceShift | ControlShift | EvacuateRegion | SetSiteDrain


def with_shift_change(configuration: Configuration, body: ShiftChange) -> Configuration:
    """Return the configuration with the change applied.

    Raise ChangeRefusedError when the change does not fit the configuration.
    """
    match body:
        case StartShift():
            return _with_started_shift(configuration, body)
        case AdvanceShift():
            return _with_advanced_shift(configuration, body)
        case ControlShift():
            return _with_controlled_shift(configuration, body)
        case EvacuateRegion():
            return _with_evacuation(configuration, body)
        case SetSiteDrain():
            return _with_site_drain(configuration, body)


def _with_started_shift(
    configuration: Configuration, body: StartShift
) -> Configuration:
    service = configuration.index.services_by_name.get(body.service)
    if service is None:
        raise _unknown_name(f'unknown service {body.service!r}')
    if body.shift in configuration.shifts:
        raise ChangeRefusedError(
            ChangeProblem.WRONG_STATE, f'there is a shift {body.shift!r} already'
        )
    for site in body.sources:
        _require_site(configuration, site)
    _require_served(configuration, body.service, (*body.sources, *body.destinations))
    for site in body.destinations:
        _require_site(configuration, site)
        if site in configuration.site_drains:
            raise ChangeRefusedError(
                ChangeProblem.WRONG_STATE, f'site {site!r} is being drained'
            )
    shift = Shift(
        name=body.shift,
        service=body.service,
        sources=body.sources,
        destinations=body.destinations,
        target=points_of(body.target),
        cap=points_of(service.shift_cap),
    )
    return _with_shifts(configuration, [shift])


def _with_advanced_shift(
    configuration: Configuration, body: AdvanceShift
) -> Configuration:
    shift = _find(configuration, body.shift)
    if not shift.is_active or body.stage != shift.next_stage:
        raise ChangeRefusedError(
            ChangeProblem.WRONG_STATE,
            f'shift {shift.name!r} is {shift.state} at stage {shift.stage}',
        )
    points = stage_points(shift)
    slots_by_site = configuration.index.slots_by_site_by_service[shift.service]
    weights = {site: slots_by_site.get(site, 1) for site in shift.destinations}
    cuts = {}
    for home, cut in configuration.cuts[shift.service].items():
        if shift.state is ShiftState.REVERSE:
            cuts[home] = return_points(cut, shift.name, points)
            continue
        cuts[home] = move_points(cut, shift.name, shift.sources, weights, points)
    after = replace(
        configuration,
        cuts={**configuration.cuts, shift.service: cuts},
        shifts={**configuration.shifts, shift.name: _advance_stage(shift)},
    )
    return with_effective_drains(after) if configuration.site_drains else after


def _advance_stage(shift: Shift) -> Shift:
    stage = shift.next_stage
    state = shift.state
    if state is ShiftState.REVERSE and stage == 0:
        state = ShiftState.REVERSED
    if state is ShiftState.FORWARD and points_at_stage(shift, stage) == shift.target:
        state = ShiftState.DONE
    return replace(shift, stage=stage, state=state)


def _with_controlled_shift(
    configuration: Configuration, body: ControlShift
) -> Configuration:
    shift = _find(configuration, body.shift)
    state = _state_after_action(shift, body.action)
    if state is None:
        raise ChangeRefusedError(
            ChangeProblem.WRONG_STATE,
            f'shift {shift.name!r} is {shift.state}; it can not {body.action}',
        )
    if state in ACTIVE_STATES:
        sites = (*shift.sources, *shift.destinations)
        _require_served(configuration, shift.service, sites)
    after = replace(shift, state=state)
    return replace(configuration, shifts={**configuration.shifts, shift.name: after})


def _state_after_action(shift: Shift, action: str) -> ShiftState | None:
    match action:
        case 'abort' if shift.is_active:
            return ShiftState.STOPPED
        case 'resume' if shift.state is ShiftState.STOPPED:
            is_complete = points_at_stage(shift, shift.stage) == shift.target
            return ShiftState.DONE if is_complete else ShiftState.FORWARD
        case 'reverse' if shift.state not in (ShiftState.REVERSE, ShiftState.REVERSED):
            return ShiftState.REVERSE if shift.stage > 0 else ShiftState.REVERSED
    return None


def _with_evacuation(
    configuration: Configuration, body: EvacuateRegion
) -> Configuration:
    sites = _sites_of_region(configuration, body.region)
    if any(
        shift.kind is ShiftKind.EVACUATION
        and shift.is_active
        and set(sites).issuperset(shift.sources)
        for shift in configuration.shifts.values()
    ):
        raise ChangeRefusedError(
            ChangeProblem.WRONG_STATE, f'region {body.region!r} is evacuated already'
        )
    cap = points_of(configuration.policy.evacuation_cap)
    shifts = _shifts_away(configuration, sites, ShiftKind.EVACUATION, cap)
    if not shifts:
        raise ChangeRefusedError(
            ChangeProblem.UNSERVABLE,
            f'no service of region {body.region!r} has traffic there '
            'and servers elsewhere',
        )
    return _with_shifts(configuration, shifts)


def _with_site_drain(configuration: Configuration, body: SetSiteDrain) -> Configuration:
    for site in body.sites:
        _require_site(configuration, site)
    if not body.draining:
        return _without_site_drain(configuration, frozenset(body.sites))
    shifts = _shifts_away(configuration, body.sites, ShiftKind.DRAIN, cap=None)
    _require_traffic_can_leave(configuration, body.sites, shifts)
    drains = configuration.site_drains | frozenset(body.sites)
    after = _with_shifts(replace(configuration, site_drains=drains), shifts)
    return with_effective_drains(after)


def _without_site_drain(
    configuration: Configuration, sites: frozenset[str]
) -> Configuration:
    shifts = dict(configuration.shifts)
    for name, shift in shifts.items():
        if shift.kind is not ShiftKind.DRAIN or not sites.issuperset(shift.sources):
            continue
        state = _state_after_action(shift, 'reverse')
        if state is not None:
            shifts[name] = replace(shift, state=state)
    after = replace(
        configuration, shifts=shifts, site_drains=configuration.site_drains - sites
    )
    return with_effective_drains(after)


def _shifts_away(
    configuration: Configuration,
    sites: tuple[str, ...],
    kind: ShiftKind,
    cap: int | None,
) -> list[Shift]:
    """Return one shift away from the sites for each service with traffic there.

    Services without servers at other, undrained sites are left out.
    """
    closed = configuration.site_drains.union(sites)
    shifts = []
    for name, service in configuration.index.services_by_name.items():
        slots_by_site = configuration.index.slots_by_site_by_service[name]
        sources = tuple(sorted(slots_by_site.keys() & set(sites)))
        share = _largest_share(configuration.cuts[name], sources)
        destinations = tuple(sorted(set(slots_by_site) - closed))
        if not share or not destinations:
            continue
        shifts.append(
            Shift(
                name=f'{kind}-{configuration.version + 1}-{name}',
                service=name,
                sources=sources,
                destinations=destinations,
                target=share,
                cap=points_of(service.shift_cap) if cap is None else cap,
                kind=kind,
            )
        )
    return shifts


def _largest_share(cut_by_home: Mapping[str, Cut], sites: tuple[str, ...]) -> int:
    return max((points_at(cut, sites) for cut in cut_by_home.values()), default=0)


def _require_traffic_can_leave(
    configuration: Configuration, sites: tuple[str, ...], shifts: list[Shift]
) -> None:
    leaving = {shift.service for shift in shifts}
    for name, cut_by_home in configuration.cuts.items():
        if name not in leaving and _largest_share(cut_by_home, sites):
            raise ChangeRefusedError(
                ChangeProblem.UNSERVABLE,
                f'service {name!r} has no servers outside {", ".join(sites)}',
            )


def _with_shifts(configuration: Configuration, shifts: list[Shift]) -> Configuration:
    kept = {**configuration.shifts, **{shift.name: shift for shift in shifts}}
    ended = [name for name, shift in kept.items() if _has_ended(shift)]
    dropped = frozenset(ended[: max(0, len(kept) - MAX_SHIFTS)])
    if len(kept) - len(dropped) > MAX_SHIFTS:
        raise ChangeRefusedError(
            ChangeProblem.TOO_MANY, f'there are more than {MAX_SHIFTS} open shifts'
        )
    after = replace(
        configuration, shifts={n: s for n, s in kept.items() if n not in dropped}
    )
    return _without_moves_of(after, dropped) if dropped else after


def _without_moves_of(
    configuration: Configuration, names: frozenset[str]
) -> Configuration:
    cuts = {
        service: {home: remove_moves(cut, names) for home, cut in by_home.items()}
        for service, by_home in configuration.cuts.items()
    }
    return replace(configuration, cuts=cuts)


def _has_ended(shift: Shift) -> bool:
    return shift.state in (ShiftState.DONE, ShiftState.REVERSED)


def _sites_of_region(configuration: Configuration, region: str) -> tuple[str, ...]:
    sites = tuple(
        site for site, r in configuration.index.region_by_site.items() if r == region
    )
    if not sites:
        raise _unknown_name(f'unknown region {region!r}')
    return sites


def _require_site(configuration: Configuration, site: str) -> None:
    if site not in configuration.index.region_by_site:
        raise _unknown_name(f'unknown site {site!r}')


def _require_served(
    configuration: Configuration, service: str, sites: Iterable[str]
) -> None:
    slots_by_site = configuration.index.slots_by_site_by_service.get(service, {})
    for site in sites:
        if site not in slots_by_site:
            raise ChangeRefusedError(
                ChangeProblem.UNSERVABLE,
                f'site {site!r} has no servers of service {service!r}',
            )


def _find(configuration: Configuration, name: str) -> Shift:
    shift = configuration.shifts.get(name)
    if shift is None:
        raise _unknown_name(f'unknown shift {name!r}')
    return shift


def _unknown_name(detail: str) -> ChangeRefusedError:
    return ChangeRefusedError(ChangeProblem.UNKNOWN_NAME, detail)
