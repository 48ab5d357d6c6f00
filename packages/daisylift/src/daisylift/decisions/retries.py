"""Decides whether a failed attempt of a request may be retried."""

import enum
from dataclasses import dataclass

from daisylift.outcome import Outcome

MAX_TRIES = 3
MAX_TRIES_THAT_MAY_RUN = 2
MAX_SAVED_RETRIES = 10.0
MIN_LEFT_SECONDS = 0.005


class RetryVerdict(enum.Enum):
    """Whether a retry is granted, or the reason why it is denied."""

    GRANTED = 'granted'
    NOT_IDEMPOTENT = 'not-idempotent'
    ANSWER_BEGUN = 'answer-begun'
    BODY_SPENT = 'body-spent'
    TRIES_SPENT = 'tries-spent'
    BUDGET_SPENT = 'budget-spent'
    DEADLINE_NEAR = 'deadline-near'


@dataclass(slots=True)
class RetryBudget:
    """A token bucket filled by requests; bounds retries to a share of requests."""

    share: float
    tokens: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = 1.0 if self.share > 0.0 else 0.0

    def earn(self) -> None:
        """Count one request."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether one was available."""
        if self.share <= 0.0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class FailedTry:
    """State of a request after a failed attempt.

    ``outcome`` is did-not-run only if no part of the request can have run.
    ``reached_server`` is set if a backend server did any work for it, even only to
    refuse it. ``tries`` and ``tries_that_may_have_run`` include the failed attempt.
    """

    outcome: Outcome
    reached_server: bool
    answer_begun: bool
    body_replayable: bool
    tries: int
    tries_that_may_have_run: int
    left_seconds: float


def judge_retry(
    failed: FailedTry, idempotent: bool, budget: RetryBudget
) -> RetryVerdict:
    """Grant or deny a retry.

    A retry after an attempt that reached a server is taken from the budget.
    """
    if failed.answer_begun:
        return RetryVerdict.ANSWER_BEGUN
    if failed.outcome is not Outcome.DID_NOT_RUN and not idempotent:
        return RetryVerdict.NOT_IDEMPOTENT
    if not failed.body_replayable:
        return RetryVerdict.BODY_SPENT
    if failed.tries >= MAX_TRIES:
        return RetryVerdict.TRIES_SPENT
    if failed.tries_that_may_have_run >= MAX_TRIES_THAT_MAY_RUN:
        return RetryVerdict.TRIES_SPENT
    if failed.left_seconds < MIN_LEFT_SECONDS:
        return RetryVerdict.DEADLINE_NEAR
    if failed.reached_server and not budget.spend():
        return RetryVerdict.BUDGET_SPENT
    return RetryVerdict.GRANTED
