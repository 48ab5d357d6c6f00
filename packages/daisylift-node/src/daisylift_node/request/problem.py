"""Refusals for callers: problem documents with a typed outcome and reason."""

import enum
import json
from dataclasses import dataclass

from aiohttp import web

from daisylift import headers
from daisylift.outcome import Outcome

PROBLEM_CONTENT_TYPE = 'application/problem+json'
RETRY_AFTER_SECONDS = 1


class Reason(enum.Enum):
    """Why a request was refused or got no complete response."""

    UNKNOWN_PATH = 'unknown-path'
    UNKNOWN_SERVICE = 'unknown-service'
    METHOD_NOT_ALLOWED = 'method-not-allowed'
    BAD_REQUEST = 'bad-request'
    BAD_TIMEOUT = 'bad-timeout'
    BAD_BODY = 'bad-body'
    HEADERS_TOO_LARGE = 'headers-too-large'
    EXPECTATION_FAILED = 'expectation-failed'
    UPGRADE_REFUSED = 'upgrade-refused'
    NOT_READY = 'not-ready'
    STOPPING = 'stopping'
    NO_FREE_SLOT = 'no-free-slot'
    QUEUE_FULL = 'queue-full'
    LINK_SPENT = 'link-spent'
    PERMIT_LAPSED = 'permit-lapsed'
    CONNECT_FAILED = 'connect-failed'
    DEADLINE_PASSED = 'deadline-passed'
    SERVER_REFUSED = 'server-refused'
    CONNECTION_LOST = 'connection-lost'
    BREAKS_SERVERS = 'breaks-servers'
    BAD_KEY = 'bad-key'
    KEY_REUSED = 'key-reused'
    IN_PROGRESS = 'in-progress'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    ANSWER_NOT_KEPT = 'answer-not-kept'
    REQUEST_ID_EXPIRED = 'request-id-expired'
    HOLDER_UNREACHABLE = 'holder-unreachable'
    RECORDS_UNAVAILABLE = 'records-unavailable'
    KEYED_BODY_TOO_LARGE = 'keyed-body-too-large'
    TOO_MANY_KEYS = 'too-many-keys'
    INTERNAL = 'internal-error'


STATUS_BY_REASON = {
    Reason.UNKNOWN_PATH: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.BAD_REQUEST: 400,
    Reason.BAD_TIMEOUT: 400,
    Reason.BAD_BODY: 400,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.EXPECTATION_FAILED: 417,
    Reason.UPGRADE_REFUSED: 501,
    Reason.NOT_READY: 503,
    Reason.STOPPING: 503,
    Reason.NO_FREE_SLOT: 503,
    Reason.QUEUE_FULL: 503,
    Reason.LINK_SPENT: 503,
    Reason.PERMIT_LAPSED: 503,
    Reason.CONNECT_FAILED: 502,
    Reason.DEADLINE_PASSED: 504,
    Reason.SERVER_REFUSED: 503,
    Reason.CONNECTION_LOST: 502,
    Reason.BREAKS_SERVERS: 422,
    Reason.BAD_KEY: 400,
    Reason.KEY_REUSED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.REQUEST_ID_EXPIRED: 410,
    Reason.HOLDER_UNREACHABLE: 421,
    Reason.RECORDS_UNAVAILABLE: 503,
    Reason.KEYED_BODY_TOO_LARGE: 413,
    Reason.TOO_MANY_KEYS: 503,
    Reason.INTERNAL: 500,
}

TRANSIENT_REASONS = frozenset(
    {
        Reason.NOT_READY,
        Reason.STOPPING,
        Reason.NO_FREE_SLOT,
        Reason.QUEUE_FULL,
        Reason.LINK_SPENT,
        Reason.PERMIT_LAPSED,
        Reason.CONNECT_FAILED,
        Reason.SERVER_REFUSED,
    }
)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request without a complete response, and what is known of its execution.

    ``outcome`` is about this request; ``earlier_sends`` is about requests that the
    caller may have sent before under the same key.
    """

    reason: Reason
    outcome: Outcome
    detail: str
    retry_after_seconds: int | None = None
    other_vms: tuple[str, ...] = ()
    earlier_sends: Outcome | None = None


def did_not_run(
    reason: Reason, detail: str, other_vms: tuple[str, ...] = ()
) -> Refusal:
    """Return the refusal of a request that did not run."""
    return Refusal(
        reason=reason,
        outcome=Outcome.DID_NOT_RUN,
        detail=detail,
        retry_after_seconds=RETRY_AFTER_SECONDS
        if reason in TRANSIENT_REASONS
        else None,
        other_vms=other_vms,
    )


def may_have_run(reason: Reason, detail: str) -> Refusal:
    """Return the refusal of a request that may have run."""
    return Refusal(reason=reason, outcome=Outcome.UNKNOWN, detail=detail)


def refusal_response(refusal: Refusal) -> web.Response:
    """Return the refusal as a response with a problem document (JSON) as its body."""
    status = STATUS_BY_REASON[refusal.reason]
    document = {
        'type': f'urn:daisylift:{refusal.reason.value}',
        'title': refusal.reason.value.replace('-', ' '),
        'status': status,
        'detail': refusal.detail,
        'outcome': refusal.outcome.value,
        'other_vms': list(refusal.other_vms),
    }
    if refusal.earlier_sends is not None:
        document['earlier_sends'] = refusal.earlier_sends.value
    response_headers = {headers.OUTCOME: refusal.outcome.value}
    if refusal.retry_after_seconds is not None:
        response_headers['Retry-After'] = str(refusal.retry_after_seconds)
    return web.Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type=PROBLEM_CONTENT_TYPE,
        headers=response_headers,
    )
