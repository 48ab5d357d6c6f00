"""The choice of a backend server for one request."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server as seen at the moment of choice.

    ``distance`` is 0 in the node's own failure domain, 1 in its region, 2 elsewhere.
    """

    server: str
    distance: int
    free_slots: int


def choose_server(candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the nearest candidate with the most free slots, or None."""
    usable = [candidate for candidate in candidates if candidate.free_slots > 0]
    if not usable:
        return None
    return min(usable, key=lambda c: (c.distance, -c.free_slots, c.server))
