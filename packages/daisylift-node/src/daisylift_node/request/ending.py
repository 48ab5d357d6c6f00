"""How a call, or one attempt of it, ended."""

from dataclasses import dataclass

from daisylift.outcome import Outcome
from daisylift_node.request.problem import Refusal


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete response of a backend server went into the call's sink."""

    outcome: Outcome = Outcome.ANSWERED


@dataclass(frozen=True, slots=True)
class Aborted:
    """The response had begun but was not completed; the caller's connection is reset.

    ``server_disconnected``: the backend server dropped its connection.
    """

    refusal: Refusal
    server_disconnected: bool = False

    @property
    def outcome(self) -> Outcome:
        """Return what is known of the execution."""
        return self.refusal.outcome


@dataclass(frozen=True, slots=True)
class Refused:
    """No byte of a response went to the caller.

    ``reached_server``: the backend server spent work on the attempt.
    ``server_disconnected``: the server dropped the connection during the attempt.
    """

    refusal: Refusal
    reached_server: bool = False
    server_disconnected: bool = False

    @property
    def outcome(self) -> Outcome:
        """Return what is known of the execution."""
        return self.refusal.outcome


Ending = Answered | Aborted | Refused
