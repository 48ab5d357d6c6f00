"""Changes of the configuration, as kept in the platform's change log."""

from typing import Annotated, Literal

from pydantic import Field

from daisylift.models.policy import Name, Policy, StrictModel

MAX_OPERATION_ID_LENGTH = 128

OperationId = Annotated[str, Field(min_length=1, max_length=MAX_OPERATION_ID_LENGTH)]


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
    """Record that an ordinal fell vacant (odd epoch) or was taken again (even).

    The claim of the ordinal carries the epoch too, and is written first; an epoch
    that is not above the recorded one changes nothing.
    """

    kind: Literal['set_ordinal_epoch'] = 'set_ordinal_epoch'
    ordinal: Annotated[int, Field(ge=0)]
    epoch: Annotated[int, Field(ge=1)]


ChangeBody = Annotated[
    PutPolicy | SetServerDrain | SetOrdinalEpoch, Field(discriminator='kind')
]


class Change(StrictModel):
    """One accepted change; ``version`` numbers it and the configuration it makes."""

    version: Annotated[int, Field(ge=1)]
    operation_id: OperationId
    operator: str = ''
    body: ChangeBody
