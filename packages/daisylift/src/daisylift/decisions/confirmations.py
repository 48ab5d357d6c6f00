"""Which slots a node must leave alone until their former owners have confirmed.

An ordinal confirms a configuration version when nothing that it lost up to that
version is in use or lent. A slot may be used by its owner only when no other ordinal
owned it under any layout from that ordinal's confirmed version on.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from daisylift.decisions.apportion import Layout
from daisylift.decisions.configuration import ServerKey

Masks = dict[ServerKey, int]


@dataclass(slots=True)
class _Loss:
    """Slots that an ordinal lost; ``version`` is that of the latest loss."""

    version: int
    mask: int


@dataclass(slots=True)
class Confirmations:
    """What is known of the other ordinals' confirmed versions and losses.

    Layouts of versions below ``floor`` are unknown here: until an ordinal has
    confirmed the floor, it may be using any slot.
    """

    floor: int = 0
    _confirmed: dict[int, int] = field(default_factory=dict)
    _losses: dict[int, dict[ServerKey, _Loss]] = field(default_factory=dict)

    def confirmed(self, ordinal: int) -> int:
        """Return the highest version that the ordinal is known to have confirmed."""
        return self._confirmed.get(ordinal, 0)

    def table(self) -> dict[int, int]:
        """Return all known confirmed versions by ordinal."""
        return dict(self._confirmed)

    def note(self, ordinal: int, version: int) -> bool:
        """Take in that the ordinal has confirmed the version; say if it was news."""
        if version <= self.confirmed(ordinal):
            return False
        self._confirmed[ordinal] = version
        losses = self._losses.get(ordinal, {})
        for server in [s for s, loss in losses.items() if loss.version <= version]:
            del losses[server]
        return True

    def vacate(self, ordinal: int, version: int) -> None:
        """Take in that from the version on nothing of the ordinal is in use."""
        self.note(ordinal, version)

    def advance(self, version: int, losses: Mapping[int, Masks]) -> None:
        """Take in what each ordinal lost by the next version."""
        for ordinal, masks in losses.items():
            known = self._losses.setdefault(ordinal, {})
            for server, mask in masks.items():
                loss = known.setdefault(server, _Loss(version, 0))
                loss.version = version
                loss.mask |= mask

    def skip(self, version: int) -> None:
        """Take in that the layouts before the version are not known."""
        self.floor = version
        self._losses.clear()

    def unsettled(self, own: int | None, occupied: Iterable[int]) -> set[int]:
        """Return the other ordinals that may still follow an unknown layout."""
        return {o for o in occupied if o != own and self.confirmed(o) < self.floor}

    def blocked(self, own: int) -> Masks:
        """Return the slots that others may still be using, by server."""
        masks: Masks = {}
        for ordinal, losses in self._losses.items():
            if ordinal == own:
                continue
            for server, loss in losses.items():
                masks[server] = masks.get(server, 0) | loss.mask
        return masks

    def awaited(self, own: int, own_masks: Mapping[ServerKey, int]) -> set[int]:
        """Return the ordinals that must confirm before the own slots are usable."""
        return {
            ordinal
            for ordinal, losses in self._losses.items()
            if ordinal != own
            and any(loss.mask & own_masks.get(s, 0) for s, loss in losses.items())
        }


def losses_between(before: Layout, after: Layout) -> dict[int, Masks]:
    """Return what each ordinal owned before and does not own after."""
    losses: dict[int, Masks] = {}
    for server, owners in before.owners_by_server.items():
        owners_after = after.owners_by_server.get(server, ())
        if owners is owners_after or owners == owners_after:
            continue
        for slot, owner in enumerate(owners):
            if slot < len(owners_after) and owners_after[slot] == owner:
                continue
            masks = losses.setdefault(owner, {})
            masks[server] = masks.get(server, 0) | 1 << slot
    return losses
