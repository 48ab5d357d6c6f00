"""The permits of this node: which slots of which backend servers it may use."""

from dataclasses import dataclass

from daisylift.decisions.configuration import Configuration, ServerKey


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to run one request at a backend server, on one of its slots."""

    server: ServerKey
    slot: int

    def may_start(self, now: float) -> bool:
        """Say whether work may still be started on the permit."""
        return True


class PermitPool:
    """Hands out the permits that belong to this node's ordinal."""

    def __init__(self) -> None:
        self._ordinal: int | None = None
        self._configuration = Configuration()
        self._free_by_server: dict[ServerKey, set[int]] = {}
        self._used: set[Permit] = set()

    def set_ordinal(self, ordinal: int) -> None:
        """Take on the share of an ordinal."""
        self._ordinal = ordinal
        self.set_configuration(self._configuration)

    def set_configuration(self, configuration: Configuration) -> None:
        """Take on the share under another configuration."""
        self._configuration = configuration
        self._free_by_server = {}
        if self._ordinal is None:
            return
        ordinals = sorted(entry.ordinal for entry in configuration.policy.roster)
        for service in configuration.policy.services:
            for server in service.servers:
                key = ServerKey(service=service.name, server=server.name)
                own = _own_slots(key, server.slots, ordinals, self._ordinal)
                used = {p.slot for p in self._used if p.server == key}
                self._free_by_server[key] = own - used

    def free_slots(self, server: ServerKey) -> int:
        """Return how many slots of the server are free for this node."""
        return len(self._free_by_server.get(server, ()))

    def take(self, server: ServerKey) -> Permit | None:
        """Return a permit for the server, or None when no slot is free."""
        free = self._free_by_server.get(server)
        if not free:
            return None
        permit = Permit(server=server, slot=free.pop())
        self._used.add(permit)
        return permit

    def release(self, permit: Permit, in_doubt: bool = False) -> None:
        """Give a permit back after its request has ended."""
        self._used.discard(permit)
        self.set_configuration(self._configuration)


def _own_slots(
    server: ServerKey, slots: int, ordinals: list[int], ordinal: int
) -> set[int]:
    offset = sum(server.server.encode()) + sum(server.service.encode())
    return {
        slot
        for slot in range(slots)
        if ordinals and ordinals[(slot + offset) % len(ordinals)] == ordinal
    }
