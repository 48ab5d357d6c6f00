"""Queues member updates for gossip; each is sent a bounded number of times."""

from dataclasses import dataclass

MIN_TRANSMISSIONS = 4


@dataclass(slots=True)
class News:
    """An update about a member; ``with_details`` if others may lack its details."""

    vm: str
    with_details: bool
    transmissions: int = 0
    fresh: bool = True


class NewsQueue:
    """The pending updates; those sent least often are sent first."""

    def __init__(self) -> None:
        self._by_vm: dict[str, News] = {}

    def __len__(self) -> int:
        return len(self._by_vm)

    def push(self, vm: str, *, with_details: bool) -> None:
        """Queue a member whose record has changed."""
        known = self._by_vm.get(vm)
        if known is not None:
            with_details = with_details or known.with_details
        self._by_vm[vm] = News(vm, with_details)

    def has_fresh(self) -> bool:
        """Return whether any update has not been sent yet."""
        return any(news.fresh for news in self._by_vm.values())

    def take(self, count: int, members: int) -> list[News]:
        """Return the updates for one message and count one transmission of each."""
        limit = transmission_limit(members)
        chosen = sorted(self._by_vm.values(), key=lambda n: n.transmissions)[:count]
        for news in chosen:
            news.transmissions += 1
            news.fresh = False
            if news.transmissions >= limit:
                del self._by_vm[news.vm]
        return chosen


def transmission_limit(members: int) -> int:
    """Return how often one node sends an update, given the number of members."""
    return MIN_TRANSMISSIONS + members.bit_length()
