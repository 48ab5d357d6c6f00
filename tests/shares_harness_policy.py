"""Builds policies and configurations for the tests of slot shares."""

from daisylift.decisions.configuration import Configuration, apply_change
from daisylift.models import (
    BackendServer,
    Change,
    ChangeBody,
    FailureDomain,
    Policy,
    PutPolicy,
    RosterEntry,
    Service,
)

REGIONS = ('arusha', 'dar', 'mwanza')
DOMAINS = tuple(f'{region}-{n}' for n in (1, 2) for region in REGIONS)


def make_policy(
    ordinals: int = 7,
    slots_by_server: dict[str, int] | None = None,
    service: str = 'till',
    timeout_seconds: float = 5.0,
) -> Policy:
    """Return a policy with one service, spread over six failure domains."""
    slots_by_server = slots_by_server or {f'till-{n}': 4 for n in range(12)}
    servers = [
        BackendServer(
            name=name,
            host='127.0.0.1',
            port=9000 + number,
            failure_domain=DOMAINS[number % len(DOMAINS)],
            slots=slots,
            connections=330,
        )
        for number, (name, slots) in enumerate(slots_by_server.items())
    ]
    return Policy(
        failure_domains=tuple(
            FailureDomain(name=name, region=name.split('-')[0]) for name in DOMAINS
        ),
        roster=tuple(
            RosterEntry(ordinal=o, failure_domain=DOMAINS[o % len(DOMAINS)])
            for o in range(ordinals)
        ),
        services=(
            Service(name=service, servers=servers, timeout_seconds=timeout_seconds),
        ),
    )


def make_configurations(*bodies: ChangeBody | Policy) -> list[Configuration]:
    """Return the configuration after each of the changes."""
    current = Configuration()
    made = []
    for body in bodies:
        if isinstance(body, Policy):
            body = PutPolicy(policy=body)
        version = current.version + 1
        change = Change(version=version, operation_id=f'op-{version}', body=body)
        current = apply_change(current, change)
        made.append(current)
    return made
