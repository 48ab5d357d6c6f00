"""What a node keeps of each server's slots, as sets of slot indexes in bits."""

import math
from dataclasses import dataclass, field

from daisylift.decisions.confirmations import Masks
from daisylift.decisions.permit import Permit


@dataclass(slots=True)
class ServerSlots:
    """The node's own slots of one server, each field a set of slot indexes as bits."""

    own: int = 0
    blocked: int = 0
    used: int = 0
    lent: int = 0
    cold_since: float = -math.inf

    @property
    def busy(self) -> int:
        """Return the slots that are in use or lent."""
        return self.used | self.lent


@dataclass(frozen=True, slots=True)
class LostSlots:
    """What this node lost by a version and has not seen idle since."""

    version: int
    masks: Masks


@dataclass(order=True, slots=True)
class DoubtfulEnd:
    """A permit whose request may still run until a time."""

    until: float
    permit: Permit = field(compare=False)
