"""Decides whether a failed attempt of a request may be retried."""

import enum
from dataclasses import dataclass

from daisylift.outcome import Outcome

MAX_ATTEMPTS = 3
MAX_POSSIBLY_RUN_ATTEMPTS = 2
MAX_TOKENS = 10.0
MIN_REMAINING_SECONDS = 0.005


class RetryVerdict(enum.Enum):
    """Whether a retry is granted, or the reason why it is denied."""

    GRANTED = 'granted'
    NOT_IDEMPOTENT = 'not-idempotent'
    RESPONSE_STARTED = 'answer-begun'
    BODY_NOT_REPLAYABLE = 'body-spent'
    ATTEMPTS_EXHAUSTED = 'tries-spent'
    BUDGET_EXHAUSTED = 'budget-spent'
    DEADLINE_NEAR = 'deadline-near'


@dataclass(slots=True)
class RetryTokenBucket:
    """A token bucket filled by requests; bounds retries to a share of requests."""

    share: float
    tokens: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = 1.0 if self.share > 0.0 else 0.0

    def record_request(self) -> None:
        """Count one request."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def take(self) -> bool:
        """Take one retry from the budget; return whether one was available."""
        if self.share <= 0.0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """State of a request after a failed attempt.

    ``outcome`` is did-not-run only if no part of the request can have run.
    ``reached_server`` is set if a backend server did any work for it, even only to
    refuse it. ``attempts`` and ``possibly_run_attempts`` include the failed attempt.
    """

    outcome: Outcome
    reached_server: bool
    response_started: bool
    body_replayable: bool
    attempts: int
    possibly_run_attempts: int
    remaining_seconds: float


def decide_retry(
    failed: FailedAttempt, idempotent: bool, budget: RetryTokenBucket
) -> RetryVerdict:
    """Grant or deny a retry.

    A retry after an attempt that reached a server is taken from the budget.
    """
    if failed.response_started:
        return RetryVerdict.RESPONSE_STARTED
    if failed.outcome is not Outcome.DID_NOT_RUN and not idempotent:
        return RetryVerdict.NOT_IDEMPOTENT
    if not failed.body_replayable:
        return RetryVerdict.BODY_NOT_REPLAYABLE
    if failed.attempts >= MAX_ATTEMPTS:
        return RetryVerdict.ATTEMPTS_EXHAUSTED
    if failed.possibly_run_attempts >= MAX_POSSIBLY_RUN_ATTEMPTS:
        return RetryVerdict.ATTEMPTS_EXHAUSTED
    if failed.remaining_seconds < MIN_REMAINING_SECONDS:
        return RetryVerdict.DEADLINE_NEAR
    if failed.reached_server and not budget.take():
        return RetryVerdict.BUDGET_EXHAUSTED
    return RetryVerdict.GRANTED
