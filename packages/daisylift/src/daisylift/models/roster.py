"""The stored object by which a VM holds a member position of the roster."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from daisylift.models.policy import MAX_PORT, MAX_SLOTS, Name, StrictModel

Port = Annotated[int, Field(ge=1, le=MAX_PORT)]
Epoch = Annotated[int, Field(ge=0)]


class HandedOver(StrictModel):
    """Slots of one server that a holder lent before it released its ordinal.

    ``slots`` has a bit for each slot index, in hexadecimal digits. ``seconds`` is the
    longest time from the release until the last request on them has ended.
    """

    service: Name
    server: Name
    slots: Annotated[str, Field(pattern=r'^[0-9a-f]+$', max_length=MAX_SLOTS // 4)]
    lease: Annotated[int, Field(ge=0)]
    seconds: Annotated[float, Field(ge=0.0)]


class Claim(StrictModel):
    """The VM process that holds an ordinal, and where it listens.

    The epoch is even, and rises by two with each vacancy in between. ``released``
    says that the process ended with nothing of its own in use but what it handed over,
    and that it had confirmed ``confirmed_version``.
    """

    kind: Literal['claim'] = 'claim'
    ordinal: Annotated[int, Field(ge=0)]
    epoch: Epoch = 0
    vm: str
    incarnation: str
    failure_domain: str
    caller_host: str
    caller_port: Port
    peer_host: str
    peer_port: Port
    released: bool = False
    confirmed_version: Annotated[int, Field(ge=0)] = 0
    handed_over: tuple[HandedOver, ...] = ()

    @model_validator(mode='after')
    def _epoch_is_even(self) -> Self:
        if self.epoch % 2:
            raise ValueError('the epoch of a claim is even')
        return self


class Vacancy(StrictModel):
    """Says that no VM holds the ordinal; stored in place of its claim."""

    kind: Literal['vacancy'] = 'vacancy'
    ordinal: Annotated[int, Field(ge=0)]
    epoch: Epoch

    @model_validator(mode='after')
    def _epoch_is_odd(self) -> Self:
        if self.epoch % 2 == 0:
            raise ValueError('the epoch of a vacancy is odd')
        return self
