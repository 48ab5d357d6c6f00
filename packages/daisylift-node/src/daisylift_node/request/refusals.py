"""The refusals of requests with a key, with the texts that callers receive."""

from daisylift.outcome import Outcome
from daisylift_node.request.problem import RETRY_AFTER_SECONDS, Reason, Refusal


def not_ready() -> Refusal:
    """Refuse while this VM holds no ordinal."""
    return Refusal(
        reason=Reason.NOT_READY,
        outcome=Outcome.DID_NOT_RUN,
        detail='this VM holds no ordinal yet',
        retry_after_seconds=RETRY_AFTER_SECONDS,
        earlier_sends=Outcome.UNKNOWN,
    )


def body_too_large() -> Refusal:
    """Refuse a request whose body is too large to compare with a repeat's."""
    return Refusal(
        reason=Reason.KEYED_BODY_TOO_LARGE,
        outcome=Outcome.DID_NOT_RUN,
        detail='the body is too large for a request with a key',
    )


def deadline_passed() -> Refusal:
    """Refuse a request whose deadline passed before it was dispatched."""
    return Refusal(
        reason=Reason.DEADLINE_PASSED,
        outcome=Outcome.DID_NOT_RUN,
        detail='the deadline passed before the request was dispatched',
    )


def too_many_keys() -> Refusal:
    """Refuse a new key while the memory is full and no kept key may be removed."""
    return Refusal(
        reason=Reason.TOO_MANY_KEYS,
        outcome=Outcome.DID_NOT_RUN,
        detail='this VM remembers as many keys as it can',
        retry_after_seconds=RETRY_AFTER_SECONDS,
        earlier_sends=Outcome.UNKNOWN,
    )


def records_unavailable() -> Refusal:
    """Refuse a caller's key while the platform can't store its record."""
    return Refusal(
        reason=Reason.RECORDS_UNAVAILABLE,
        outcome=Outcome.DID_NOT_RUN,
        detail=(
            'the platform could not record the key, so the request was not run;'
            ' send it again with the same key, or with a fresh Daisylift-Request-Id'
            ' if it was never sent before'
        ),
        retry_after_seconds=RETRY_AFTER_SECONDS,
        earlier_sends=Outcome.UNKNOWN,
    )


def holder_unreachable(address: str) -> Refusal:
    """Refuse a key when the VM that decides about it can't be reached."""
    return Refusal(
        reason=Reason.HOLDER_UNREACHABLE,
        outcome=Outcome.DID_NOT_RUN,
        detail='another VM decides about this key; send the request there',
        retry_after_seconds=RETRY_AFTER_SECONDS,
        other_vms=(address,),
        earlier_sends=Outcome.UNKNOWN,
    )


def forward_lost(address: str) -> Refusal:
    """Report that the VM to which the call was forwarded did not answer in time."""
    return Refusal(
        reason=Reason.OUTCOME_UNKNOWN,
        outcome=Outcome.UNKNOWN,
        detail='the VM that decides about this key did not answer in time',
        retry_after_seconds=RETRY_AFTER_SECONDS,
        other_vms=(address,),
        earlier_sends=Outcome.UNKNOWN,
    )


def key_reused() -> Refusal:
    """Refuse a different request under a key that is in use."""
    return Refusal(
        reason=Reason.KEY_REUSED,
        outcome=Outcome.DID_NOT_RUN,
        detail='the key was used before, for a different request',
    )


def in_progress() -> Refusal:
    """Report that the first request under the key is still running."""
    return Refusal(
        reason=Reason.IN_PROGRESS,
        outcome=Outcome.UNKNOWN,
        detail='the first request with this key is still running',
        retry_after_seconds=RETRY_AFTER_SECONDS,
        earlier_sends=Outcome.UNKNOWN,
    )


def outcome_unknown() -> Refusal:
    """Report that it is unknown whether the request ran."""
    return Refusal(
        reason=Reason.OUTCOME_UNKNOWN,
        outcome=Outcome.UNKNOWN,
        detail='whether the request with this key ran can not be known; it will not'
        ' be run again',
        earlier_sends=Outcome.UNKNOWN,
    )


def answer_not_kept() -> Refusal:
    """Report that the request ran and that its response is no longer kept."""
    return Refusal(
        reason=Reason.ANSWER_NOT_KEPT,
        outcome=Outcome.ANSWERED,
        detail='the request with this key was answered; the answer is no longer kept',
        earlier_sends=Outcome.ANSWERED,
    )


def request_id_expired() -> Refusal:
    """Refuse a request id that its issuer no longer remembers."""
    return Refusal(
        reason=Reason.REQUEST_ID_EXPIRED,
        outcome=Outcome.UNKNOWN,
        detail='the request id has expired and will not be run; whether it was run'
        ' before is no longer known',
        earlier_sends=Outcome.UNKNOWN,
    )
