"""State that a node keeps about each server's slots, as bit masks of slot indexes."""

import math
from dataclasses import dataclass, field

from daisylift.decisions.confirmations import Masks
from daisylift.decisions.permit import Permit


@dataclass(slots=True)
class ServerSlots:
    """The node's own slots of one server, as bit masks of slot indexes."""

    own: int = 0
    blocked: int = 0
    used: int = 0
    lent: int = 0
    cold_since: float = -math.inf

    @property
    def busy(self) -> int:
        """Return the slots that are in use or lent, as bits."""
        return self.used | self.lent


@dataclass(frozen=True, slots=True)
class LostSlots:
    """Slots that this node lost with a version and that have not become idle since."""

    version: int
    masks: Masks


@dataclass(order=True, slots=True)
class PendingRelease:
    """A permit whose request may still run until the time ``until``."""

    until: float
    permit: Permit = field(compare=False)
