"""Queues member updates for gossip; each is sent a bounded number of times."""

from dataclasses import dataclass

MIN_TRANSMISSIONS = 4


@dataclass(slots=True)
class GossipUpdate:
    """An update about a member; ``with_details`` if others may lack its details."""

    vm: str
    with_details: bool
    transmissions: int = 0
    unsent: bool = True


class GossipUpdateQueue:
    """The pending updates; those sent least often are sent first."""

    def __init__(self) -> None:
        self._by_vm: dict[str, GossipUpdate] = {}

    def __len__(self) -> int:
        return len(self._by_vm)

    def push(self, vm: str, *, with_details: bool) -> None:
        """Queue a member whose record has changed."""
        existing = self._by_vm.get(vm)
        if existing is not None:
            with_details = with_details or existing.with_details
        self._by_vm[vm] = GossipUpdate(vm, with_details)

    def has_unsent(self) -> bool:
        """Return whether any update has not been sent yet."""
        return any(update.unsent for update in self._by_vm.values())

    def take(self, count: int, member_count: int) -> list[GossipUpdate]:
        """Return the updates for one message and count one transmission of each."""
        limit = transmission_limit(member_count)
        chosen = sorted(self._by_vm.values(), key=lambda u: u.transmissions)[:count]
        for update in chosen:
            update.transmissions += 1
            update.unsent = False
            if update.transmissions >= limit:
                del self._by_vm[update.vm]
        return chosen


def transmission_limit(member_count: int) -> int:
    """Return how often one node sends an update, given the number of members."""
    return MIN_TRANSMISSIONS + member_count.bit_length()
