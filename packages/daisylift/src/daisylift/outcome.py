"""The three outcomes of a request, used internally and towards callers."""

import enum


class Outcome(enum.Enum):
    """What is known about a request's execution on a backend server."""

    ANSWERED = 'answered'
    DID_NOT_RUN = 'did-not-run'
    UNKNOWN = 'unknown'
