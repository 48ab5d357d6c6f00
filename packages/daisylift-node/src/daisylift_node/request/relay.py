"""Passes a request to a backend server and its answer back, both as streams."""

import asyncio
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from loguru import logger
from multidict import CIMultiDict

from daisylift import headers
from daisylift.decisions.configuration import ServerKey
from daisylift.decisions.routing import Candidate, choose_server
from daisylift.models import BackendServer, Service
from daisylift.outcome import Outcome
from daisylift_node.config import Settings
from daisylift_node.connection.send_once import SendOnce
from daisylift_node.connection.upstream import READ_CHUNK_BYTES, UpstreamConnections
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.permits import Permit, PermitPool
from daisylift_node.request.problem import Reason, Refusal, refusal_response
from daisylift_node.version.configuration import ConfigurationFollower

RETRY_AFTER_SECONDS = 1
SLOT_POLL_SECONDS = 0.005


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a request at one backend server."""

    server: BackendServer
    permit: Permit
    timeout_seconds: float


class RelayHandler:
    """Handles ``/v1/services/SERVICE/PATH`` in any method."""

    def __init__(
        self,
        settings: Settings,
        follower: ConfigurationFollower,
        permits: PermitPool,
        connections: UpstreamConnections,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._permits = permits
        self._connections = connections
        self._metrics = metrics

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Relay one request, or refuse it."""
        name = request.match_info['service']
        service = self._follower.current.policy.services_by_name().get(name)
        if service is None:
            return refusal_response(
                Refusal(
                    reason=Reason.UNKNOWN_SERVICE,
                    outcome=Outcome.DID_NOT_RUN,
                    detail=f'unknown service {name!r}',
                )
            )
        with self._metrics.request_seconds.labels(service=name).time():
            result = await self._relay(request, service)
        if isinstance(result, Refusal):
            return self._refuse(service, result)
        self._count(service, Outcome.ANSWERED)
        return result

    async def _relay(
        self, request: web.Request, service: Service
    ) -> web.StreamResponse | Refusal:
        deadline = asyncio.get_running_loop().time() + service.timeout_seconds
        attempt = await self._admit(service, deadline)
        if attempt is None:
            return Refusal(
                reason=Reason.NO_FREE_SLOT,
                outcome=Outcome.DID_NOT_RUN,
                detail=f'no slot of {service.name!r} was free in time',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        try:
            return await self._exchange(request, attempt)
        finally:
            self._permits.release(attempt.permit)

    async def _admit(self, service: Service, deadline: float) -> Attempt | None:
        loop = asyncio.get_running_loop()
        give_up = min(deadline, loop.time() + service.queue_timeout_seconds)
        while True:
            attempt = self._try_admit(service, deadline - loop.time())
            if attempt is not None or loop.time() >= give_up:
                return attempt
            await asyncio.sleep(SLOT_POLL_SECONDS)

    def _try_admit(self, service: Service, timeout_seconds: float) -> Attempt | None:
        configuration = self._follower.current
        server_by_name = {}
        candidates = []
        for server in service.servers:
            key = ServerKey(service=service.name, server=server.name)
            if key in configuration.draining:
                continue
            server_by_name[server.name] = server
            candidates.append(
                Candidate(
                    server=server.name,
                    distance=self._distance(server.failure_domain),
                    free_slots=self._permits.free_slots(key),
                )
            )
        choice = choose_server(candidates)
        if choice is None:
            return None
        permit = self._permits.take(ServerKey(service.name, choice.server))
        if permit is None:
            return None
        return Attempt(server_by_name[choice.server], permit, timeout_seconds)

    def _distance(self, failure_domain: str) -> int:
        own = self._settings.vm.failure_domain
        if failure_domain == own:
            return 0
        regions = self._follower.current.policy.regions_by_failure_domain()
        return 1 if regions.get(failure_domain) == regions.get(own) else 2

    async def _exchange(
        self, request: web.Request, attempt: Attempt
    ) -> web.StreamResponse | Refusal:
        server = attempt.server
        url = f'http://{server.host}:{server.port}/{request.match_info["path"]}'
        body = request.content.iter_chunked(READ_CHUNK_BYTES)
        try:
            async with self._connections.session.request(
                request.method,
                url,
                params=request.query,
                headers=_upstream_headers(request, attempt),
                data=body if request.can_read_body else None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=attempt.timeout_seconds),
                middlewares=(SendOnce(),),
            ) as upstream:
                return await _pass_answer(request, upstream)
        except aiohttp.ClientConnectorError as error:
            return Refusal(Reason.CONNECT_FAILED, Outcome.DID_NOT_RUN, str(error))
        except TimeoutError:
            return Refusal(
                Reason.DEADLINE_PASSED, Outcome.UNKNOWN, 'no answer before the deadline'
            )
        except aiohttp.ClientError as error:
            return Refusal(Reason.CONNECTION_LOST, Outcome.UNKNOWN, repr(error))

    def _refuse(self, service: Service, refusal: Refusal) -> web.Response:
        self._count(service, refusal.outcome)
        reason = refusal.reason.value
        self._metrics.refusals.labels(service=service.name, reason=reason).inc()
        logger.info('refused a request of {}: {}', service.name, refusal.detail)
        return refusal_response(refusal)

    def _count(self, service: Service, outcome: Outcome) -> None:
        self._metrics.requests.labels(service=service.name, outcome=outcome.value).inc()


def _upstream_headers(request: web.Request, attempt: Attempt) -> CIMultiDict[str]:
    passed = CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in headers.HOP_BY_HOP
    )
    passed[headers.TIMEOUT_MS] = str(int(attempt.timeout_seconds * 1000))
    return passed


async def _pass_answer(
    request: web.Request, upstream: aiohttp.ClientResponse
) -> web.StreamResponse:
    answer = web.StreamResponse(status=upstream.status, reason=upstream.reason)
    for name, value in upstream.headers.items():
        if name.lower() not in headers.HOP_BY_HOP:
            answer.headers.add(name, value)
    answer.headers[headers.OUTCOME] = Outcome.ANSWERED.value
    await answer.prepare(request)
    try:
        async for chunk in upstream.content.iter_chunked(READ_CHUNK_BYTES):
            await answer.write(chunk)
    except (TimeoutError, aiohttp.ClientError):
        _break_off(request)
        return answer
    await answer.write_eof()
    return answer


def _break_off(request: web.Request) -> None:
    """Cut the caller's connection, so that a short answer can't pass as whole."""
    if request.transport is not None:
        request.transport.abort()
