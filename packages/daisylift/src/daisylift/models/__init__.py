"""Validated models of what crosses the border: policy, changes, stored objects."""

from daisylift.models.policy import (
    BackendServer,
    FailureDomain,
    Link,
    Policy,
    RosterEntry,
    Service,
)

__all__ = [
    'BackendServer',
    'FailureDomain',
    'Link',
    'Policy',
    'RosterEntry',
    'Service',
]
