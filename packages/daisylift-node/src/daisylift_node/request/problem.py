"""Refusals towards callers: problem documents with a typed outcome and reason."""

import enum
import json
from dataclasses import dataclass

from aiohttp import web

from daisylift import headers
from daisylift.outcome import Outcome

PROBLEM_CONTENT_TYPE = 'application/problem+json'


class Reason(enum.Enum):
    """Why a request was refused or got no whole answer."""

    UNKNOWN_SERVICE = 'unknown-service'
    BAD_REQUEST = 'bad-request'
    NOT_READY = 'not-ready'
    NO_FREE_SLOT = 'no-free-slot'
    CONNECT_FAILED = 'connect-failed'
    DEADLINE_PASSED = 'deadline-passed'
    SERVER_REFUSED = 'server-refused'
    CONNECTION_LOST = 'connection-lost'


STATUS_BY_REASON = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.NOT_READY: 503,
    Reason.NO_FREE_SLOT: 503,
    Reason.CONNECT_FAILED: 502,
    Reason.DEADLINE_PASSED: 504,
    Reason.SERVER_REFUSED: 503,
    Reason.CONNECTION_LOST: 502,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that got no whole answer, and what is known of its execution."""

    reason: Reason
    outcome: Outcome
    detail: str
    retry_after_seconds: int | None = None
    other_vms: tuple[str, ...] = ()


def refusal_response(refusal: Refusal) -> web.Response:
    """Return the refusal as status, headers and a machine-readable body."""
    status = STATUS_BY_REASON[refusal.reason]
    document = {
        'type': f'urn:daisylift:{refusal.reason.value}',
        'title': refusal.reason.value.replace('-', ' '),
        'status': status,
        'detail': refusal.detail,
        'outcome': refusal.outcome.value,
        'other_vms': list(refusal.other_vms),
    }
    answer_headers = {headers.OUTCOME: refusal.outcome.value}
    if refusal.retry_after_seconds is not None:
        answer_headers['Retry-After'] = str(refusal.retry_after_seconds)
    return web.Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type=PROBLEM_CONTENT_TYPE,
        headers=answer_headers,
    )
