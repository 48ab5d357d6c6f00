"""How a call, or one try of it, ended."""

from dataclasses import dataclass

from daisylift.outcome import Outcome
from daisylift_node.request.problem import Refusal


@dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer of a backend server went into the call's sink."""

    outcome: Outcome = Outcome.ANSWERED


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The answer had begun and could not be ended; the caller's connection is cut.

    ``broke_connection`` says that the backend server broke its connection off.
    """

    refusal: Refusal
    broke_connection: bool = False

    @property
    def outcome(self) -> Outcome:
        """Return what is known of the execution."""
        return self.refusal.outcome


@dataclass(frozen=True, slots=True)
class Refused:
    """No byte of an answer went to the caller.

    ``reached_server`` says that the backend server spent work on the try;
    ``broke_connection`` that it broke the connection in the course of it.
    """

    refusal: Refusal
    reached_server: bool = False
    broke_connection: bool = False

    @property
    def outcome(self) -> Outcome:
        """Return what is known of the execution."""
        return self.refusal.outcome


Ending = Answered | BrokenOff | Refused
