"""One validated request of a caller."""

from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web
from returns.result import Failure, Result, Success

from daisylift import headers
from daisylift.decisions.breaking import Digest, request_digest
from daisylift.decisions.deadlines import Deadline, take_deadline
from daisylift.models import Service
from daisylift_node.request.body import CallerBody
from daisylift_node.request.problem import Reason, Refusal, did_not_run
from daisylift_node.request.response import CallerResponse, ResponseSink

SERVICES_PREFIX = '/v1/services/'
MAX_TARGET_BYTES = 8 * 1024


@dataclass(slots=True)
class Call:
    """A validated request while the node handles it.

    ``target`` is the path and query for the backend server, byte for byte as the
    caller wrote them. The response goes into ``sink``, which is ``caller`` unless a
    guard wraps it in another sink.
    """

    request: web.BaseRequest
    service: Service
    target: str
    deadline: Deadline
    body: CallerBody
    caller: CallerResponse
    sink: ResponseSink
    is_forwarded: bool = False

    @property
    def path(self) -> str:
        """Return the full path and query, byte for byte as the caller wrote them."""
        return self.request.raw_path

    @property
    def has_key(self) -> bool:
        """Return whether the request has an idempotency key or a request id."""
        return self.idempotency_key is not None or self.request_id is not None

    @property
    def method(self) -> str:
        """Return the method."""
        return self.request.method

    @property
    def is_idempotent(self) -> bool:
        """Return whether the service allows this request to run more than once."""
        return self.request.method in self.service.idempotent_methods

    def digest(self) -> Digest:
        """Return the digest that identifies repeats; the body must be read ahead."""
        return request_digest(
            service=self.service.name,
            method=self.method,
            target=self.target,
            body=self.body.head,
            length=self.request.headers.get('Content-Length', ''),
        )

    @property
    def idempotency_key(self) -> str | None:
        """Return the caller's idempotency key, if it sent one."""
        return self.request.headers.get(headers.IDEMPOTENCY_KEY)

    @property
    def request_id(self) -> str | None:
        """Return the request id that a node issued, if the caller sent one."""
        return self.request.headers.get(headers.REQUEST_ID)


def check_call(
    request: web.BaseRequest, services: Mapping[str, Service], now: float
) -> Result[Call, Refusal]:
    """Return the call for a request below SERVICES_PREFIX, or its refusal."""
    name, slash, path = request.raw_path.removeprefix(SERVICES_PREFIX).partition('/')
    service = services.get(name)
    if not slash or service is None:
        refusal = did_not_run(Reason.UNKNOWN_SERVICE, f'unknown service {name[:64]!r}')
        return Failure(refusal)
    refusal = _refuse_unusable(request, path)
    if refusal is not None:
        return Failure(refusal)
    value = request.headers.get(headers.TIMEOUT_MS)
    match take_deadline(value, service.timeout_seconds, now):
        case Failure(bad):
            detail = f'{headers.TIMEOUT_MS} must be whole milliseconds, not '
            return Failure(did_not_run(Reason.BAD_TIMEOUT, f'{detail}{bad.value!r}'))
        case Success(deadline):
            return Success(_call(request, service, f'/{path}', deadline))


def _call(
    request: web.BaseRequest, service: Service, target: str, deadline: Deadline
) -> Call:
    expects_continue = 'Expect' in request.headers
    caller = CallerResponse(request)
    return Call(
        request=request,
        service=service,
        target=target,
        deadline=deadline,
        body=CallerBody(request, expects_continue),
        caller=caller,
        sink=caller,
        is_forwarded=headers.FORWARDED_BY in request.headers,
    )


def _refuse_unusable(request: web.BaseRequest, path: str) -> Refusal | None:
    if request.method == 'CONNECT':
        return did_not_run(Reason.METHOD_NOT_ALLOWED, 'CONNECT is not served')
    if headers.wants_upgrade(request.headers):
        return did_not_run(Reason.UPGRADE_REFUSED, 'no other protocol is served here')
    if '#' in path or len(path) > MAX_TARGET_BYTES:
        return did_not_run(Reason.BAD_REQUEST, 'the path has a fragment or is too long')
    expect = request.headers.get('Expect')
    if expect is not None and expect.lower() != '100-continue':
        return did_not_run(Reason.EXPECTATION_FAILED, f'can not meet {expect!r}')
    return None
