"""Tests of the usage caps of a VM that is started again while requests arrive."""

import random

import pytest

from daisylift.decisions.usage_caps import UsageBounds
from daisylift.decisions.usage_grants import (
    MIN_RETRY_AFTER_SECONDS,
    STARTING_RETRY_SECONDS,
    UsageGrants,
)

MEMBERS = {'vm-1': 'arusha', 'vm-2': 'arusha'}
PER_SECOND, BURST = 20.0, 20.0


def test_a_request_before_the_members_are_known_does_not_hold_the_vms_part_back() -> (
    None
):
    """After all VMs lost power, callers got 429 for three seconds more."""
    grants = UsageGrants('vm-1', UsageBounds(), 0.0, random.Random(1))
    assert grants.take('acme', PER_SECOND, BURST, 0.01) is None
    assert grants.retry_after('acme', 0.01) == STARTING_RETRY_SECONDS
    grants.set_members(MEMBERS, 0.02)
    taken = sum(
        grants.take('acme', PER_SECOND, BURST, 0.02 + step / 100) is not None
        for step in range(100)
    )
    assert taken >= 0.9 * PER_SECOND / len(MEMBERS)


def test_a_vm_that_the_first_members_lack_owns_nothing_though_it_was_asked() -> None:
    grants = UsageGrants('vm-3', UsageBounds(), 0.0, random.Random(1))
    assert grants.take('acme', PER_SECOND, BURST, 0.01) is None
    grants.set_members(MEMBERS, 0.02)
    grants.set_members({**MEMBERS, 'vm-3': 'arusha'}, 0.5)
    moments = [0.5 + step / 100 for step in range(250)]
    assert all(grants.take('acme', PER_SECOND, BURST, at) is None for at in moments)


def test_a_refused_caller_is_not_told_to_come_back_at_once() -> None:
    """A token that arrives as the wait ends made the time 0.000 on the wire."""
    grants = UsageGrants('vm-1', UsageBounds(), 0.0, random.Random(1))
    grants.set_members({'vm-1': 'arusha'}, 0.0)
    while grants.take('acme', PER_SECOND, BURST, 10.0) is not None:
        pass
    token_at = 10.0 + 1.0 / PER_SECOND
    assert grants.retry_after('acme', token_at + 0.001) >= MIN_RETRY_AFTER_SECONDS


@pytest.mark.parametrize('vms', [7, 25])
@pytest.mark.parametrize('seen_after', [0.2, 0.5, 1.0])
def test_vms_of_a_new_fleet_that_start_together_keep_the_cap(
    vms: int, seen_after: float
) -> None:
    """Each VM that saw no other one yet spent the whole cap."""
    bounds = UsageBounds()
    region_by_name = {f'vm-{number}': f'region-{number % 3}' for number in range(vms)}
    fleet = {
        name: UsageGrants(name, bounds, 0.0, random.Random(name))
        for name in region_by_name
    }
    for name, grants in fleet.items():
        grants.set_members({}, 0.01)
        grants.set_members({name: region_by_name[name]}, 0.05)
    ran: list[float] = []
    for moment in (0.05 + step / 100 for step in range(800)):
        for grants in fleet.values():
            if moment >= 0.05 + seen_after:
                grants.set_members(region_by_name, moment)
            while grants.take('acme', PER_SECOND, BURST, moment) is not None:
                ran.append(moment)
    most = max(
        sum(start <= each < start + bounds.window_seconds for each in ran)
        for start in set(ran)
    )
    assert most <= bounds.most(PER_SECOND, BURST)
