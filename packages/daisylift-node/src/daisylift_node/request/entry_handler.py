"""HTTP handler of the entry port: turns callers' requests into calls and responses."""

import asyncio
import json
import math
import random
from collections.abc import Callable

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from loguru import logger
from multidict import CIMultiDict

from daisylift.decisions.buffered_bytes import BufferedBytes
from daisylift.decisions.entry_stop import EntryStopPlan
from daisylift.decisions.placement import Placement
from daisylift.decisions.poison_requests import request_digest
from daisylift.decisions.route_table import DestinationSelector
from daisylift.decisions.tenant_keys import Credential, KeyRefusal
from daisylift.decisions.tenant_stats import TenantStats
from daisylift.decisions.wait_queue import retry_after_seconds
from daisylift.models.desired_state import CallerLimits, RequestKind
from daisylift_node.connection.pipelined_connection import EntryRequest
from daisylift_node.connection.server_connection import HOP_BY_HOP
from daisylift_node.process.entry_metrics import EntryMetrics
from daisylift_node.request.dialect import Dialect
from daisylift_node.request.learning import SERVER_ERROR
from daisylift_node.request.outcome import Answered, Failed, Outcome, Reason, Refused
from daisylift_node.request.steered_call import SteeredCall
from daisylift_node.request.steering import Steering
from daisylift_node.request.usage_admission import UsageAdmission
from daisylift_node.request.wait_limits import WaitLimits
from daisylift_node.version.fleet_view import FleetView

DEFAULT_TIMEOUT_SECONDS = 30.0  # for requests without a time limit
STATUS_BY_REASON = {
    Reason.NO_ROUTE: 404,
    Reason.KEY_MISSING: 401,
    Reason.KEY_MALFORMED: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_REVOKED: 401,
    Reason.USAGE_CAPPED: 429,
    Reason.BODY_TOO_LARGE: 413,
    Reason.UNREADABLE: 400,
    Reason.TIMED_OUT: 504,
}
REASON_BY_KEY_REFUSAL = {
    KeyRefusal.MISSING: Reason.KEY_MISSING,
    KeyRefusal.MALFORMED: Reason.KEY_MALFORMED,
    KeyRefusal.UNKNOWN: Reason.KEY_UNKNOWN,
}
STATUS_REFUSED = 503
STATUS_FAILED = 502
UNDECLARED_BODY_BYTES = 64 * 1024  # counted for a chunked body; most are far shorter
STARTUP_RETRY_AFTER_SECONDS = 0.3  # by then a node that just started has its state
INTERNAL_RETRY_AFTER_SECONDS = 0.3  # another VM may be able to handle the request
AUTHENTICATION_SCHEME = 'Bearer'  # that a 401 asks for
LOGGED_DIGEST_BYTES = 4  # tell keys apart, and do not give them away
FRAMING_HEADERS = HOP_BY_HOP | {b'content-length'}


class EntryHandler:
    """Turns a caller's HTTP request into a call, and its outcome into a response."""

    def __init__(
        self,
        view: FleetView,
        steering: Steering,
        dialect: Dialect,
        metrics: EntryMetrics,
        clock: Callable[[], float],
        buffered_bytes: BufferedBytes,
        unsent_bytes: BufferedBytes,
    ) -> None:
        self._limits = WaitLimits()
        self._buffered_bytes = buffered_bytes
        self._unsent_bytes = unsent_bytes
        self._view = view
        self._steering = steering
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock
        self._selector = DestinationSelector()
        self.tenant_stats = TenantStats()
        self.usage: UsageAdmission | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._limits.plan is not None

    def begin_stop(self, plan: EntryStopPlan) -> None:
        """Answer all requests in time for a planned stop."""
        self._limits.begin_stop(plan)

    def may_run_early(self, message: RawRequestMessage) -> bool:
        """Return whether a request without a body may run before its turn.

        Only requests that may be repeated and have short responses do.
        """
        routes = self._view.routes
        if self.is_stopping or routes is None or 'Expect' in message.headers:
            return False
        route = routes.match(message.headers.get('Host', ''), message.path)
        return route is not None and route.kind is RequestKind.SAFE

    async def handle(self, request: EntryRequest) -> web.Response:
        """Handle one request of a caller."""
        arrived_at = request.arrived_at
        call: SteeredCall | None = None
        size = self._body_size(request)
        if self._unsent_bytes.is_full or not self._buffered_bytes.reserve(size):
            outcome: Outcome = Refused(Reason.MEMORY_FULL, STARTUP_RETRY_AFTER_SECONDS)
            self._record(request, call, outcome, 0.0)
            return _response(outcome)
        try:
            result = await self._read_call(request, arrived_at)
            if isinstance(result, SteeredCall):
                call = result
                outcome = await self._admit_and_steer(call)
            else:
                outcome = result
        except web.HTTPRequestEntityTooLarge:
            outcome = Refused(Reason.BODY_TOO_LARGE)
        except asyncio.CancelledError:
            self._record_abandoned(call, self._clock() - arrived_at)
            raise
        finally:
            self._buffered_bytes.release(size)
        self._record(request, call, outcome, self._clock() - arrived_at)
        return _response(outcome)

    async def _admit_and_steer(self, call: SteeredCall) -> Outcome:
        """Steer the call, if the usage cap of its tenant allows it."""
        if self.usage is None:
            return await self._steer(call)
        retry_after = await self.usage.admit(call)
        if retry_after is not None:
            return Refused(Reason.USAGE_CAPPED, retry_after)
        try:
            outcome = await self._steer(call)
        except asyncio.CancelledError:
            if call.placement is None:
                self.usage.give_back(call)
            raise
        if isinstance(outcome, Refused):
            self.usage.give_back(call)
        return outcome

    async def _steer(self, call: SteeredCall) -> Outcome:
        """Steer the call; an unexpected error ends this call only, and is logged."""
        try:
            return await self._steering.steer(call)
        except Exception:
            was_placed = call.placement is not None
            logger.bind(request_id=call.request_id, placed=was_placed).exception(
                'request ended by an unexpected error'
            )
            if was_placed:
                return Failed(Reason.INTERNAL)
            return Refused(Reason.INTERNAL, INTERNAL_RETRY_AFTER_SECONDS)

    def _body_size(self, request: web.BaseRequest) -> int:
        if not request.can_read_body:
            return 0
        routes = self._view.routes
        longest = (routes.state.limits if routes else CallerLimits()).body_bytes
        length = request.content_length
        return min(UNDECLARED_BODY_BYTES if length is None else length, longest)

    async def _read_call(
        self, request: web.BaseRequest, arrived_at: float
    ) -> SteeredCall | Refused:
        routes = self._view.routes
        if routes is None or not self._view.is_ready:
            return Refused(Reason.NO_DESIRED_STATE, STARTUP_RETRY_AFTER_SECONDS)
        route = routes.match(request.headers.get('Host', ''), request.raw_path)
        if route is None or not route.destinations:
            return Refused(Reason.NO_ROUTE)
        credential = self._dialect.read_credential(request.headers)
        tenant = self._view.tenant_keys.authenticate(credential, route.is_public)
        if isinstance(tenant, KeyRefusal):
            return Refused(REASON_BY_KEY_REFUSAL[tenant])
        metadata = self._dialect.read_request(request.headers)
        remaining_seconds = metadata.remaining_seconds
        if remaining_seconds is None:
            remaining_seconds = DEFAULT_TIMEOUT_SECONDS
        deadline_at = arrived_at + min(remaining_seconds, route.timeout_seconds)
        body = await self._read_body(request, deadline_at)
        if body is None:
            return self._refuse_late_body(deadline_at)
        object_key = None
        if route.sticky and metadata.object_key is not None:
            object_key = f'{route.kind.value}/{metadata.object_key}'
        service = self._selector.select(route)
        return SteeredCall(
            request_id=metadata.request_id,
            method=request.method,
            target=request.raw_path,
            headers=list(request.raw_headers),
            body=body,
            route=route,
            service=service,
            object_key=object_key,
            digest=request_digest(service, request.method, request.raw_path, body, ''),
            arrived_at=arrived_at,
            deadline_at=deadline_at,
            credential=credential,
            tenant=tenant,
        )

    async def _read_body(
        self, request: web.BaseRequest, deadline_at: float
    ) -> bytes | None:
        """Return the body; None if it comes too late, or a stop leaves no time."""
        if not request.can_read_body:
            return b''
        if self._limits.ends_by_stop_at(deadline_at) <= self._clock():
            return None
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        try:
            async with self._limits.limit(deadline_at, deadline_at):
                return await request.read()
        except TimeoutError:
            return None

    def _refuse_late_body(self, deadline_at: float) -> Refused:
        if self._limits.ends_by_stop_at(deadline_at) == math.inf:
            return Refused(Reason.TIMED_OUT)
        return Refused(Reason.STOPPING, retry_after_seconds(0.0, random.random()))

    def _request_id(self, request: web.BaseRequest) -> str:
        return self._dialect.read_request(request.headers).request_id

    def _key_fields(self, request: web.BaseRequest) -> dict[str, object]:
        if not self._view.tenant_keys.are_required:
            return {}
        return _credential_fields(self._dialect.read_credential(request.headers))

    def _usage_fields(
        self, call: SteeredCall | None, outcome: Outcome
    ) -> dict[str, object]:
        """Return the cap and this VM's part of it, for a request over the cap."""
        if call is None or call.tenant is None or self.usage is None:
            return {}
        if not isinstance(outcome, Refused) or outcome.reason != Reason.USAGE_CAPPED:
            return {}
        return {
            'tenant': call.tenant.name,
            'retry_after': round(outcome.retry_after_seconds or 0.0, 4),
            **self.usage.log_fields(call),
        }

    def _record(
        self,
        request: web.BaseRequest,
        call: SteeredCall | None,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        name, status, reason = _summary(outcome)
        service = call.service if call else ''
        self._metrics.record_request(service, name, reason, seconds)
        routes = self._view.routes
        line = logger.bind(
            request_id=call.request_id if call else self._request_id(request),
            version=routes.state.version if routes else None,
            servers_at=self._view.servers.revision,
            status=status,
            seconds=round(seconds, 4),
        )
        if call is not None:
            self._metrics.record_wait(service, call.waited_seconds)
            is_capped = reason == Reason.USAGE_CAPPED.name.lower()
            if call.tenant is not None and not is_capped:
                is_served = name == 'answered' and status < SERVER_ERROR
                self.tenant_stats.record(call.tenant.name, name, is_served=is_served)
            line = line.bind(
                route=call.route.name,
                service=service,
                **_placement_fields(call.placement),
                sends=call.sends,
                **_limit_fields(call),
                **_tenant_fields(call),
                unreachable=call.unreachable,
                waited=round(call.waited_seconds, 4),
            )
        else:
            line = line.bind(
                host=request.headers.get('Host', ''), **self._key_fields(request)
            )
        if reason:
            line = line.bind(reason=reason, **self._usage_fields(call, outcome))
        if isinstance(outcome, Refused) and outcome.waiting is not None:
            line = line.bind(
                waiting=outcome.waiting,
                expected_wait=round(outcome.expected_wait_seconds or 0.0, 4),
                retry_after=round(outcome.retry_after_seconds or 0.0, 4),
            )
        line.info(name)

    def _record_abandoned(self, call: SteeredCall | None, seconds: float) -> None:
        """Record a request whose caller left, or that the end of the process cut."""
        stage = _stage(call)
        service = call.service if call else ''
        self._metrics.record_request(service, 'abandoned', stage, seconds)
        logger.bind(
            request_id=call.request_id if call else '',
            service=service,
            stage=stage,
            stopping=self.is_stopping,
            seconds=round(seconds, 4),
        ).info('abandoned')


def _stage(call: SteeredCall | None) -> str:
    """Return how far a request came: its body, a wait for a slot, or a server."""
    if call is None:
        return 'reading'
    return 'waiting' if call.placement is None else 'sent'


def _tenant_fields(call: SteeredCall) -> dict[str, object]:
    return {} if call.tenant is None else {'tenant': call.tenant.name}


def _credential_fields(credential: Credential | None) -> dict[str, object]:
    if credential is None or credential.key_digest is None:
        return {}
    return {'key_digest': credential.key_digest[:LOGGED_DIGEST_BYTES].hex()}


def _placement_fields(placement: Placement | None) -> dict[str, object]:
    if placement is None:
        return {}
    return {
        'server': placement.server.id,
        'far': placement.is_other_region,
        'expected': round(placement.finish_seconds, 4),
        'seen': placement.was_seen,
    }


def _limit_fields(call: SteeredCall) -> dict[str, object]:
    return {} if call.server_limit is None else {'server_limit': call.server_limit}


def _summary(outcome: Outcome) -> tuple[str, int, str]:
    if isinstance(outcome, Answered):
        return 'answered', outcome.response.status, ''
    if isinstance(outcome, Failed):
        status = STATUS_BY_REASON.get(outcome.reason, STATUS_FAILED)
        return 'failed', status, outcome.reason.name.lower()
    status = STATUS_BY_REASON.get(outcome.reason, STATUS_REFUSED)
    if outcome.reason is Reason.TIMED_OUT:
        status = STATUS_REFUSED
    return 'refused', status, outcome.reason.name.lower()


def _response(outcome: Outcome) -> web.Response:
    _, status, reason = _summary(outcome)
    if isinstance(outcome, Answered):
        server_response = outcome.response
        headers: CIMultiDict[str] = CIMultiDict(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in server_response.headers
            if name.lower() not in FRAMING_HEADERS
        )
        return web.Response(
            status=status,
            reason=server_response.reason,
            headers=headers,
            body=server_response.body,
        )
    headers = CIMultiDict({'Content-Type': 'application/json'})
    if status == web.HTTPUnauthorized.status_code:
        headers['WWW-Authenticate'] = AUTHENTICATION_SCHEME
    if isinstance(outcome, Refused) and outcome.retry_after_seconds is not None:
        headers['Retry-After'] = f'{outcome.retry_after_seconds:.3f}'
    text = json.dumps({'error': reason, 'detail': outcome.reason.value})
    return web.Response(status=status, headers=headers, body=text.encode())
