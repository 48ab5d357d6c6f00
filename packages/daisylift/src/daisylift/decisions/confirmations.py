"""Tracking of slots that a node must not use until former owners have confirmed.

An ordinal confirms a configuration version once none of the slots that it lost up to
that version are in use or lent. The owner of a slot may use it only if no other
ordinal owned it under any layout since the version that the other ordinal confirmed.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from daisylift.decisions.apportion import Layout
from daisylift.decisions.configuration import ServerKey

Masks = dict[ServerKey, int]  # slot indexes as bits, by server


@dataclass(slots=True)
class _Loss:
    """Slots that an ordinal lost; ``version`` is the version of the latest loss."""

    version: int
    mask: int


@dataclass(slots=True)
class Confirmations:
    """The confirmed versions and unconfirmed losses of ordinals.

    This node does not know the layouts of versions below ``floor``. Until an ordinal
    has confirmed the floor version, it may be using any slot.
    """

    floor: int = 0
    _confirmed: dict[int, int] = field(default_factory=dict)
    _losses: dict[int, dict[ServerKey, _Loss]] = field(default_factory=dict)

    def confirmed(self, ordinal: int) -> int:
        """Return the highest version known to be confirmed by the ordinal, or 0."""
        return self._confirmed.get(ordinal, 0)

    def table(self) -> dict[int, int]:
        """Return all known confirmed versions, keyed by ordinal."""
        return dict(self._confirmed)

    def record(self, ordinal: int, version: int) -> bool:
        """Record a confirmed version; return whether it is higher than before."""
        if version <= self.confirmed(ordinal):
            return False
        self._confirmed[ordinal] = version
        losses = self._losses.get(ordinal, {})
        for server in [s for s, loss in losses.items() if loss.version <= version]:
            del losses[server]
        return True

    def vacate(self, ordinal: int, version: int) -> None:
        """Record that none of the ordinal's slots are in use as of the version."""
        self.record(ordinal, version)

    def record_losses(self, version: int, losses: Mapping[int, Masks]) -> None:
        """Record which slots each ordinal lost with the next version."""
        for ordinal, masks in losses.items():
            existing = self._losses.setdefault(ordinal, {})
            for server, mask in masks.items():
                loss = existing.setdefault(server, _Loss(version, 0))
                loss.version = version
                loss.mask |= mask

    def skip_to(self, version: int) -> None:
        """Record that the layouts before the version are unknown."""
        self.floor = version
        self._losses.clear()

    def below_floor(self, own_ordinal: int | None, occupied: Iterable[int]) -> set[int]:
        """Return the other ordinals that may still be using an unknown layout."""
        return {
            o for o in occupied if o != own_ordinal and self.confirmed(o) < self.floor
        }

    def blocked(self, own_ordinal: int) -> Masks:
        """Return the slots that other ordinals may still be using, by server."""
        masks: Masks = {}
        for ordinal, losses in self._losses.items():
            if ordinal == own_ordinal:
                continue
            for server, loss in losses.items():
                masks[server] = masks.get(server, 0) | loss.mask
        return masks

    def awaited(self, own_ordinal: int, own_masks: Mapping[ServerKey, int]) -> set[int]:
        """Return the ordinals that must confirm before all own slots are usable."""
        return {
            ordinal
            for ordinal, losses in self._losses.items()
            if ordinal != own_ordinal
            and any(loss.mask & own_masks.get(s, 0) for s, loss in losses.items())
        }


def losses_between(before: Layout, after: Layout) -> dict[int, Masks]:
    """Return the slots that each ordinal owned before but not after."""
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
