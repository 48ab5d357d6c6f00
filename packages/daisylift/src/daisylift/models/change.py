"""Configuration changes, as stored in the platform's change log."""

from typing import Annotated, Literal, Self

import xxhash
from pydantic import Field, model_validator

from daisylift.models.policy import Name, Policy, Share, StrictModel

MAX_OPERATION_ID_LENGTH = 128
MAX_SITES_IN_SHIFT = 256
MAX_PAGES_IN_CHANGE = 4096
DIGEST_PATTERN = r'^[0-9a-f]{32}$'

OperationId = Annotated[str, Field(min_length=1, max_length=MAX_OPERATION_ID_LENGTH)]
Digest = Annotated[str, Field(pattern=DIGEST_PATTERN)]
Sites = Annotated[tuple[Name, ...], Field(min_length=1, max_length=MAX_SITES_IN_SHIFT)]
ShiftAction = Literal['abort', 'resume', 'reverse']


class PutPolicy(StrictModel):
    """Replace the whole policy."""

    kind: Literal['put_policy'] = 'put_policy'
    policy: Policy


class SetServerDrain(StrictModel):
    """Start or end the drain of one backend server."""

    kind: Literal['set_server_drain'] = 'set_server_drain'
    service: Name
    server: Name
    draining: bool


class SetOrdinalEpoch(StrictModel):
    """Record that an ordinal became vacant (odd epoch) or was taken again (even).

    The ordinal's claim or vacancy carries the epoch too, and is written first. An
    epoch that is not higher than the recorded one has no effect.
    """

    kind: Literal['set_ordinal_epoch'] = 'set_ordinal_epoch'
    ordinal: Annotated[int, Field(ge=0)]
    epoch: Annotated[int, Field(ge=1)]


class SetEntryDrain(StrictModel):
    """Start or end the drain of the entry VM that holds an ordinal."""

    kind: Literal['set_entry_drain'] = 'set_entry_drain'
    ordinal: Annotated[int, Field(ge=0)]
    draining: bool


class SetSiteDrain(StrictModel):
    """Start or end the drain of sites: one failure domain, or all of a region.

    For each service, a shift moves the traffic away under the service's cap. The
    servers and entry VMs of the sites are drained once no traffic is steered there.
    """

    kind: Literal['set_site_drain'] = 'set_site_drain'
    sites: Sites
    draining: bool


class StartShift(StrictModel):
    """Move a share of a service's traffic from some sites to others, in stages."""

    kind: Literal['start_shift'] = 'start_shift'
    shift: Name
    service: Name
    sources: Sites
    destinations: Sites
    target: Share = 1.0

    @model_validator(mode='after')
    def _sites_are_distinct(self) -> Self:
        if set(self.sources) & set(self.destinations):
            raise ValueError('a site is both source and destination')
        return self


class EvacuateRegion(StrictModel):
    """Move all traffic out of a lost region, under the evacuation cap."""

    kind: Literal['evacuate_region'] = 'evacuate_region'
    region: Name


class AdvanceShift(StrictModel):
    """Advance a shift to its next stage; written by nodes, not by operators."""

    kind: Literal['advance_shift'] = 'advance_shift'
    shift: Name
    stage: Annotated[int, Field(ge=0)]


class ControlShift(StrictModel):
    """Abort a shift at its current stage, resume it, or reverse it in stages."""

    kind: Literal['control_shift'] = 'control_shift'
    shift: Name
    action: ShiftAction


class SetBlockPages(StrictModel):
    """Replace pages of the client block table; pages are given by content digest.

    A page is keyed by the first address it covers, in hexadecimal; None removes the
    page. ``sites`` lists the sites that pages refer to by index; it is append-only.
    """

    kind: Literal['set_block_pages'] = 'set_block_pages'
    sites: tuple[Name, ...]
    pages: Annotated[
        dict[str, Digest | None],
        Field(min_length=1, max_length=MAX_PAGES_IN_CHANGE),
    ]


ChangeBody = Annotated[
    PutPolicy
    | SetServerDrain
    | SetEntryDrain
    | SetOrdinalEpoch
    | SetSiteDrain
    | StartShift
    | EvacuateRegion
    | AdvanceShift
    | ControlShift
    | SetBlockPages,
    Field(discriminator='kind'),
]


class Change(StrictModel):
    """An accepted change; ``version`` is that of the resulting configuration."""

    version: Annotated[int, Field(ge=1)]
    operation_id: OperationId
    operator: str = ''
    body: ChangeBody


def fingerprint(body: ChangeBody) -> str:
    """Return a short digest to detect different bodies under one operation id."""
    return xxhash.xxh3_64_hexdigest(body.model_dump_json().encode())
