"""Stored records of ordinals: the claim of the VM that holds one, or a vacancy."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from daisylift.models.policy import MAX_PORT, MAX_SLOTS, Name, StrictModel

Port = Annotated[int, Field(ge=1, le=MAX_PORT)]
Epoch = Annotated[int, Field(ge=0)]


class HandedOver(StrictModel):
    """Slots of one server that were lent or in use when a holder released its ordinal.

    ``slots`` is a bit mask of slot indexes in hexadecimal. ``seconds`` is the longest
    time from the release until the last request on the slots has ended.
    """

    service: Name
    server: Name
    slots: Annotated[str, Field(pattern=r'^[0-9a-f]+$', max_length=MAX_SLOTS // 4)]
    lease: Annotated[int, Field(ge=0)]
    seconds: Annotated[float, Field(ge=0.0)]


class Claim(StrictModel):
    """The VM process that holds an ordinal, and the addresses it listens on.

    The epoch is even and increases by two with each vacancy in between. ``released``
    means that the process has stopped, that none of its own slots are in use except
    those in ``handed_over``, and that it had confirmed ``confirmed_version``.
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
            raise ValueError('the epoch of a claim must be even')
        return self


class Vacancy(StrictModel):
    """Marker that no VM holds the ordinal; stored in place of a claim."""

    kind: Literal['vacancy'] = 'vacancy'
    ordinal: Annotated[int, Field(ge=0)]
    epoch: Epoch

    @model_validator(mode='after')
    def _epoch_is_odd(self) -> Self:
        if self.epoch % 2 == 0:
            raise ValueError('the epoch of a vacancy must be odd')
        return self
