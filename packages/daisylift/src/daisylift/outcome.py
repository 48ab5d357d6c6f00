"""The three outcomes of a request, the same inside and towards callers."""

import enum


class Outcome(enum.Enum):
    """What is known of a request's execution at a backend server."""

    ANSWERED = 'answered'
    DID_NOT_RUN = 'did-not-run'
    UNKNOWN = 'unknown'
