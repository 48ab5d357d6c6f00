"""Backend servers and entry VMs, as they register themselves."""

from dataclasses import dataclass

import xxhash

MAX_INCARNATION = 2**32 - 1  # of an entry VM; heartbeats carry 32 bits


@dataclass(frozen=True, slots=True)
class RegisteredServer:
    """A backend server as described by its own registration.

    ``cold_seconds`` is for how much longer the server is slow, counted from the time
    the registration was read. ``started_at_ms`` distinguishes incarnations under the
    same id (Unix time in milliseconds by the server's own clock). ``sequence`` counts
    the registrations of an incarnation; 0 if the server does not say.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool
    cold_seconds: float
    started_at_ms: int
    sequence: int = 0

    @property
    def incarnation_id(self) -> int:
        """Return a 64-bit number that identifies this start of the server."""
        text = f'{self.id}/{self.started_at_ms}'
        return xxhash.xxh3_64_intdigest(text.encode())


@dataclass(frozen=True, slots=True)
class EntryMember:
    """An entry VM as it registered itself for callers and peers.

    ``cores`` is the CPU time that it may use, in seconds per second. A value of 0 for
    ``cores`` or ``link_mbps`` means that the VM did not give one.
    """

    name: str
    incarnation: int
    failure_domain: str
    region: str
    caller_address: str
    peer_host: str
    peer_port: int
    link_mbps: float = 0.0
    cores: float = 0.0
