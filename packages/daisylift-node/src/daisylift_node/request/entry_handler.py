"""HTTP handler of the entry port: turns callers' requests into calls and responses."""

import asyncio
import json
from collections.abc import Callable

from aiohttp import web
from loguru import logger
from multidict import CIMultiDict

from daisylift.decisions.buffered_bytes import BufferedBytes
from daisylift.decisions.placement import Placement
from daisylift.decisions.poison_requests import request_digest
from daisylift.decisions.route_table import DestinationSelector
from daisylift.models.desired_state import CallerLimits
from daisylift_node.connection.server_connection import HOP_BY_HOP
from daisylift_node.process.entry_metrics import EntryMetrics
from daisylift_node.request.dialect import Dialect
from daisylift_node.request.outcome import Answered, Failed, Outcome, Reason, Refused
from daisylift_node.request.steered_call import SteeredCall
from daisylift_node.request.steering import Steering
from daisylift_node.request.usage_admission import UsageAdmission
from daisylift_node.version.fleet_view import FleetView

DEFAULT_TIMEOUT_SECONDS = 30.0  # for requests without a time limit
STATUS_BY_REASON = {
    Reason.NO_ROUTE: 404,
    Reason.USAGE_CAPPED: 429,
    Reason.BODY_TOO_LARGE: 413,
    Reason.UNREADABLE: 400,
    Reason.TIMED_OUT: 504,
}
STATUS_REFUSED = 503
STATUS_FAILED = 502
UNDECLARED_BODY_BYTES = 64 * 1024  # counted for a chunked body; most are far shorter
STARTUP_RETRY_AFTER_SECONDS = 0.3  # by then a node that just started has its state
INTERNAL_RETRY_AFTER_SECONDS = 0.3  # another VM may be able to handle the request
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
    ) -> None:
        self.is_stopping = False
        self._buffered_bytes = buffered_bytes
        self._view = view
        self._steering = steering
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock
        self._selector = DestinationSelector()
        self.usage: UsageAdmission | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a caller."""
        arrived_at = self._clock()
        call: SteeredCall | None = None
        size = self._body_size(request)
        if not self._buffered_bytes.reserve(size):
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
        finally:
            self._buffered_bytes.release(size)
        self._record(request, call, outcome, self._clock() - arrived_at)
        response = _response(outcome)
        if self.is_stopping:
            response.force_close()
        return response

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
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        body = await request.read() if request.can_read_body else b''
        metadata = self._dialect.read_request(request.headers)
        remaining_seconds = metadata.remaining_seconds
        if remaining_seconds is None:
            remaining_seconds = DEFAULT_TIMEOUT_SECONDS
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
            deadline_at=arrived_at + min(remaining_seconds, route.timeout_seconds),
        )

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
            request_id=call.request_id if call else '',
            version=routes.state.version if routes else None,
            servers_at=self._view.servers.revision,
            status=status,
            seconds=round(seconds, 4),
        )
        if call is not None:
            self._metrics.record_wait(service, call.waited_seconds)
            line = line.bind(
                route=call.route.name,
                service=service,
                **_placement_fields(call.placement),
                sends=call.sends,
                **_limit_fields(call),
                unreachable=call.unreachable,
                waited=round(call.waited_seconds, 4),
            )
        else:
            line = line.bind(host=request.headers.get('Host', ''))
        if reason:
            line = line.bind(reason=reason, **self._usage_fields(call, outcome))
        if isinstance(outcome, Refused) and outcome.waiting is not None:
            line = line.bind(
                waiting=outcome.waiting,
                expected_wait=round(outcome.expected_wait_seconds or 0.0, 4),
                retry_after=round(outcome.retry_after_seconds or 0.0, 4),
            )
        line.info(name)


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
    if isinstance(outcome, Refused) and outcome.retry_after_seconds is not None:
        headers['Retry-After'] = f'{outcome.retry_after_seconds:.3f}'
    text = json.dumps({'error': reason, 'detail': outcome.reason.value})
    return web.Response(status=status, headers=headers, body=text.encode())
