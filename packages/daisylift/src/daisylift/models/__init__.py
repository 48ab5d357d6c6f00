"""Validated models of external data: policy, changes and stored objects."""

from daisylift.models.change import (
    AdvanceShift,
    Change,
    ChangeBody,
    ControlShift,
    EvacuateRegion,
    PutPolicy,
    SetBlockPages,
    SetEntryDrain,
    SetOrdinalEpoch,
    SetServerDrain,
    SetSiteDrain,
    StartShift,
    fingerprint,
)
from daisylift.models.policy import (
    BackendServer,
    FailureDomain,
    Link,
    Policy,
    RosterEntry,
    Service,
)
from daisylift.models.roster import Claim, HandedOver, Vacancy

__all__ = [
    'AdvanceShift',
    'BackendServer',
    'Change',
    'ChangeBody',
    'Claim',
    'ControlShift',
    'EvacuateRegion',
    'FailureDomain',
    'HandedOver',
    'Link',
    'Policy',
    'PutPolicy',
    'RosterEntry',
    'Service',
    'SetBlockPages',
    'SetEntryDrain',
    'SetOrdinalEpoch',
    'SetServerDrain',
    'SetSiteDrain',
    'StartShift',
    'fingerprint',
    'Vacancy',
]
