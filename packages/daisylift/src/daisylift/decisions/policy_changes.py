"""Replacement of the policy, which is validated as a whole and moves no traffic."""

from collections.abc import Mapping
from dataclasses import replace

from daisylift.decisions.shifts import points_of
from daisylift.decisions.state import (
    UNKNOWN_HOME,
    ChangeProblem,
    ChangeRefusedError,
    Configuration,
    PolicyIndex,
    ServerKey,
    with_effective_drains,
)
from daisylift.decisions.steering import (
    Cut,
    nearest_site,
    single_site_cut,
    weighted_cut,
)
from daisylift.models import Policy, Service


def with_policy(configuration: Configuration, policy: Policy) -> Configuration:
    """Return the configuration under another policy.

    Traffic of each home site stays where it is, as only shifts may move it. A policy
    that removes the servers from a site that still has traffic is therefore refused
    with ChangeRefusedError.
    """
    _require_servable(policy)
    index = index_of(policy)
    _require_shifts_fit(configuration, index)
    cuts = {
        service: _existing_cuts(service, configuration.cuts.get(service, {}), index)
        for service in index.services_by_name
    }
    servers = frozenset(index.domain_by_server)
    after = replace(
        configuration,
        policy=policy,
        index=index,
        cuts=cuts,
        server_drains=configuration.server_drains & servers,
        site_drains=configuration.site_drains & frozenset(index.region_by_site),
        entry_drains=configuration.entry_drains & index.ordinals,
    )
    return with_effective_drains(after)


def index_of(policy: Policy) -> PolicyIndex:
    """Build the index, which is derived from the policy alone."""
    return PolicyIndex(
        services_by_name=policy.services_by_name(),
        region_by_site=policy.regions_by_failure_domain(),
        domain_by_server={
            ServerKey(service=service.name, server=server.name): server.failure_domain
            for service in policy.services
            for server in service.servers
        },
        slots_by_site_by_service={
            service.name: _slots_by_site(service) for service in policy.services
        },
        ordinals=frozenset(entry.ordinal for entry in policy.roster),
    )


def _require_servable(policy: Policy) -> None:
    for service in policy.services:
        if not service.servers:
            raise ChangeRefusedError(
                ChangeProblem.UNSERVABLE,
                f'service {service.name!r} has no servers in any region',
            )
    if policy.services and not policy.roster:
        raise ChangeRefusedError(
            ChangeProblem.UNSERVABLE, 'the roster is empty, so nobody can hold a slot'
        )


def _require_shifts_fit(configuration: Configuration, index: PolicyIndex) -> None:
    for shift in configuration.shifts.values():
        if not shift.is_active:
            continue
        service = index.services_by_name.get(shift.service)
        slots_by_site = index.slots_by_site_by_service.get(shift.service, {})
        if service is None or any(
            site not in slots_by_site for site in (*shift.sources, *shift.destinations)
        ):
            raise ChangeRefusedError(
                ChangeProblem.WRONG_STATE,
                f'shift {shift.name!r} is active and needs what the policy leaves out',
            )
        evacuates = shift.kind == 'evacuation'
        if not evacuates and shift.cap > points_of(service.shift_cap):
            raise ChangeRefusedError(
                ChangeProblem.OVER_CAP,
                f'shift {shift.name!r} is active under a higher cap; end it first',
            )


def _existing_cuts(
    service: str, before: Mapping[str, Cut], index: PolicyIndex
) -> dict[str, Cut]:
    slots_by_site = index.slots_by_site_by_service[service]
    sites = sorted(slots_by_site)
    cuts = {}
    for home in (UNKNOWN_HOME, *index.region_by_site):
        cut = before.get(home)
        if cut is None and home == UNKNOWN_HOME:
            cut = weighted_cut(slots_by_site)
        if cut is None:
            cut = single_site_cut(nearest_site(home, sites, index.region_by_site))
        _require_served(service, home, cut, slots_by_site)
        cuts[home] = cut
    return cuts


def _require_served(
    service: str, home: str, cut: Cut, slots_by_site: Mapping[str, int]
) -> None:
    for owner in cut.owners:
        if owner.site not in slots_by_site:
            raise ChangeRefusedError(
                ChangeProblem.OVER_CAP,
                f'site {owner.site!r} would lose its servers of service {service!r} '
                f'at once while it serves callers of {home!r}; shift them away first',
            )


def _slots_by_site(service: Service) -> dict[str, int]:
    slots: dict[str, int] = {}
    for server in service.servers:
        slots[server.failure_domain] = (
            slots.get(server.failure_domain, 0) + server.slots
        )
    return slots
