"""Makes one attempt of a call at one backend server."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from daisylift import headers
from daisylift.outcome import Outcome
from daisylift_node.connection.send_once import SecondSendError, SendOnce
from daisylift_node.connection.upstream import (
    DispatchCheck,
    DispatchRefusedError,
    UpstreamConnections,
)
from daisylift_node.process.health import HealthRegistry
from daisylift_node.process.links import LinkPacer
from daisylift_node.request.call import Call
from daisylift_node.request.ending import Aborted, Ending, Refused
from daisylift_node.request.problem import Reason, did_not_run, may_have_run
from daisylift_node.request.response import response_headers, stream_response
from daisylift_node.request.waiting import Attempt

SERVICE_UNAVAILABLE = 503
MIN_TIMEOUT_SHARE = 0.5  # of the service timeout, for a timeout to count
ESTIMATED_HEAD_BYTES = 512  # of a request, counted by the pacing of links
CONNECTION_ERRORS = (aiohttp.ClientConnectionError, SecondSendError, OSError)

Clock = Callable[[], float]


@dataclass(slots=True)
class Progress:
    """How far an attempt has come."""

    dispatch: DispatchCheck
    response_begun: bool = False


@dataclass(frozen=True, slots=True)
class Exchange:
    """Sends calls to backend servers and determines how each attempt ended."""

    connections: UpstreamConnections
    health: HealthRegistry
    links: LinkPacer
    clock: Clock

    async def run(self, call: Call, attempt: Attempt) -> Ending:
        """Send the call once; close its connection if the outcome is unknown."""
        progress = Progress(DispatchCheck(lambda: self._may_start(call, attempt)))
        started_at = self.clock()
        try:
            async with asyncio.timeout(call.deadline.remaining_seconds(started_at)):
                await self.links.upload(
                    attempt.region, ESTIMATED_HEAD_BYTES + len(call.body.head)
                )
                return await self._send(call, attempt, progress)
        except TimeoutError:
            self._record_timeout(call, attempt, started_at)
            return ending_after_deadline(progress)
        except DispatchRefusedError as error:
            return Refused(did_not_run(Reason.PERMIT_LAPSED, str(error)))
        except (aiohttp.ClientError, OSError) as error:
            return self._ending_after_error(call, attempt, progress.dispatch, error)

    async def _send(self, call: Call, attempt: Attempt, progress: Progress) -> Ending:
        started_at = self.clock()
        upload = partial(self.links.upload, attempt.region)
        download = partial(self.links.download, attempt.region)
        address = attempt.server.host, attempt.server.port
        borrowed = self.connections.borrow_session(
            attempt.key, address, attempt.connections
        )
        with borrowed as session:
            async with session.request(
                call.method,
                _url(call, attempt),
                headers=request_fields(call, started_at),
                data=call.body.payload(upload),
                allow_redirects=False,
                middlewares=(SendOnce(), progress.dispatch),
            ) as upstream:
                now = self.clock()
                seconds = now - started_at
                fields = upstream.headers
                status = upstream.status
                self.health.record_response(attempt.key, status, fields, seconds, now)
                if _refused_before_running(upstream):
                    refusal = did_not_run(
                        Reason.SERVER_REFUSED, 'the backend server took nothing on'
                    )
                    return Refused(refusal, reached_server=True)
                progress.response_begun = True
                fields_to_send = response_headers(upstream, Outcome.ANSWERED)
                ending = await stream_response(
                    upstream, call.sink, fields_to_send, download
                )
        if isinstance(ending, Aborted) and ending.server_disconnected:
            self.health.record_failure(attempt.key, self.clock())
        return ending

    def _may_start(self, call: Call, attempt: Attempt) -> bool:
        now = self.clock()
        remaining_seconds = call.deadline.remaining_seconds(now)
        return remaining_seconds > 0.0 and attempt.permit.may_start(
            now, remaining_seconds
        )

    def _record_timeout(self, call: Call, attempt: Attempt, started_at: float) -> None:
        """Count a timeout as a failure of the server only if it had enough time."""
        now = self.clock()
        if now - started_at >= call.service.timeout_seconds * MIN_TIMEOUT_SHARE:
            self.health.record_failure(attempt.key, now)

    def _ending_after_error(
        self, call: Call, attempt: Attempt, dispatch: DispatchCheck, error: Exception
    ) -> Refused:
        if call.body.failed:
            detail = 'the body of the request ended short'
            if dispatch.may_have_been_sent:
                return Refused(
                    may_have_run(Reason.BAD_BODY, detail), reached_server=True
                )
            return Refused(did_not_run(Reason.BAD_BODY, detail))
        self.health.record_failure(attempt.key, self.clock())
        if not dispatch.may_have_been_sent:
            return Refused(did_not_run(Reason.CONNECT_FAILED, _describe_error(error)))
        return Refused(
            may_have_run(Reason.CONNECTION_LOST, _describe_error(error)),
            reached_server=True,
            server_disconnected=isinstance(error, CONNECTION_ERRORS),
        )


def is_outcome_unknown(ending: Ending) -> bool:
    """Return whether the call may still be running at the backend server."""
    return ending.outcome is Outcome.UNKNOWN


def ending_after_deadline(progress: Progress) -> Ending:
    """Return the ending of an attempt whose deadline has passed."""
    if not progress.dispatch.may_have_been_sent:
        detail = 'too late to send the request'
        return Refused(did_not_run(Reason.DEADLINE_PASSED, detail))
    refusal = may_have_run(
        Reason.DEADLINE_PASSED, 'no whole answer before the deadline'
    )
    if progress.response_begun:
        return Aborted(refusal)
    return Refused(refusal, reached_server=True)


def _describe_error(error: Exception) -> str:
    """Describe the error for the caller, without addresses of backend servers."""
    return f'the backend server failed: {type(error).__name__}'


def _refused_before_running(upstream: aiohttp.ClientResponse) -> bool:
    outcome = upstream.headers.get(headers.OUTCOME)
    states_did_not_run = outcome == Outcome.DID_NOT_RUN.value
    return upstream.status == SERVICE_UNAVAILABLE and states_did_not_run


def _url(call: Call, attempt: Attempt) -> URL:
    host = attempt.server.host
    authority = f'[{host}]' if ':' in host else host
    url = f'http://{authority}:{attempt.server.port}{call.target}'
    return URL(url, encoded=True)


def request_fields(call: Call, now: float) -> CIMultiDict[str]:
    """Return the headers for the next hop; the caller's Host header is kept."""
    request = call.request
    connection = request.headers.getall('Connection', ())
    fields = CIMultiDict(headers.end_to_end(request.headers.items(), connection))
    for name in ('Expect', headers.FORWARDED_BY, headers.TIMEOUT_MS, headers.OUTCOME):
        fields.popall(name, None)
    before = fields.popall(headers.FORWARDED_FOR, [])
    fields[headers.FORWARDED_FOR] = ', '.join([*before, request.remote or 'unknown'])
    fields[headers.TIMEOUT_MS] = call.deadline.to_header(now)
    return fields
