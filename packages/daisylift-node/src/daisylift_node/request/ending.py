"""How a call, or one try of it, ended."""

from dataclasses import dataclass

from aiohttp import web

from daisylift.outcome import Outcome
from daisylift_node.request.problem import Refusal


@dataclass(frozen=True, slots=True)
class Answered:
    """The caller got the whole answer of a backend server."""

    response: web.StreamResponse


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The answer had begun and could not be ended; the caller's connection is cut.

    ``broke_connection`` says that the backend server broke its connection off.
    """

    response: web.StreamResponse
    reason: Refusal
    broke_connection: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """No byte of an answer went to the caller yet.

    ``reached_server`` says that the backend server spent work on the try;
    ``broke_connection`` that it broke the connection in the course of it.
    """

    refusal: Refusal
    reached_server: bool = False
    broke_connection: bool = False


Ending = Answered | BrokenOff | Refused


def outcome_of(ending: Ending) -> Outcome:
    """Return what is known of the execution."""
    match ending:
        case Answered():
            return Outcome.ANSWERED
        case BrokenOff():
            return Outcome.UNKNOWN
        case Refused(refusal=refusal):
            return refusal.outcome
