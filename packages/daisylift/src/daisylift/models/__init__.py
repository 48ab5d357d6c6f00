"""Validated models of what crosses the border: policy, changes, stored objects."""

from daisylift.models.change import (
    Change,
    ChangeBody,
    PutPolicy,
    SetOrdinalEpoch,
    SetServerDrain,
)
from daisylift.models.policy import (
    BackendServer,
    FailureDomain,
    Link,
    Policy,
    RosterEntry,
    Service,
)
from daisylift.models.roster import Claim

__all__ = [
    'BackendServer',
    'Change',
    'ChangeBody',
    'Claim',
    'FailureDomain',
    'Link',
    'Policy',
    'PutPolicy',
    'RosterEntry',
    'Service',
    'SetOrdinalEpoch',
    'SetServerDrain',
]
