"""The stored object by which a VM holds a member position of the roster."""

from typing import Annotated

from pydantic import Field

from daisylift.models.policy import MAX_PORT, StrictModel

Port = Annotated[int, Field(ge=1, le=MAX_PORT)]


class Claim(StrictModel):
    """The VM process that holds an ordinal, and where it listens."""

    ordinal: Annotated[int, Field(ge=0)]
    vm: str
    incarnation: str
    failure_domain: str
    caller_host: str
    caller_port: Port
    peer_host: str
    peer_port: Port
    released: bool = False
