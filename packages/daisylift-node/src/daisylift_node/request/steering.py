"""Steers one request to a backend server: placement, queueing, sending and retries.

Each request ends with one outcome: a response of a backend server, a refusal (it has
not run), or a failure (it may have run).
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from loguru import logger

from daisylift.decisions.availability import Exclusion, retry_after_pause
from daisylift.decisions.cold_start import ColdStartLimiter
from daisylift.decisions.entry_stop import EntryStopPlan
from daisylift.decisions.placement import Placement, WorkEstimate
from daisylift.decisions.region_shift import PlacementScope, RegionShiftLimiter
from daisylift.decisions.retry_budget import RetryBudget
from daisylift.decisions.server_pace import PaceEvidence
from daisylift.decisions.server_stats import ServerStats
from daisylift.decisions.tenant_keys import KeyRefusal
from daisylift.decisions.wait_queue import (
    Waiter,
    WaitQueue,
    retry_after_seconds,
)
from daisylift.decisions.work_estimates import RouteWorkEstimator, WorkEstimates
from daisylift.models.desired_state import Route
from daisylift_node.connection.server_connection import (
    ExchangeLostError,
    NotSentError,
    ServerRequest,
    ServerResponse,
    UnsendableError,
    WithdrawnError,
)
from daisylift_node.connection.server_pool import ServerPool
from daisylift_node.process.entry_metrics import EntryMetrics
from daisylift_node.process.poison_requests import PoisonRequestRegister
from daisylift_node.request.dialect import CallerIdentity, Dialect, ResponseMetadata
from daisylift_node.request.learning import (
    RESPONSE_SOURCE,
    SERVER_ERROR,
    learn_availability,
    learn_from_response,
    learn_limit,
    pace_evidence,
)
from daisylift_node.request.outcome import Answered, Failed, Outcome, Reason, Refused
from daisylift_node.request.send_result import SendResult
from daisylift_node.request.steered_call import SteeredCall
from daisylift_node.request.wait_limits import WaitLimits
from daisylift_node.version.fleet_view import FleetView
from daisylift_node.version.server_paces import PaceReason

MIN_REMAINING_SECONDS = 0.02  # with less time remaining, a request is not sent
MAX_UNREACHABLE_SERVERS = 4  # unreachable servers per request before it is refused
# To callers these statuses promise that the request did not run, so they are passed on
# only from a server that states this.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ABANDONED_TIMEOUT_SECONDS = 10.0  # then an abandoned request's connection is closed

_PlacementFuture = asyncio.Future[Placement | None]


class _EvictedError(Exception):
    """A request that waited has left a full queue for one that goes before it."""


class Steering:
    """Steers requests based on this node's current view of the fleet."""

    def __init__(
        self,
        view: FleetView,
        pool: ServerPool,
        dialect: Dialect,
        budget: RetryBudget,
        cold_start_limiter: ColdStartLimiter,
        shift_limiter: RegionShiftLimiter,
        poison_requests: PoisonRequestRegister,
        metrics: EntryMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._pool = pool
        self._dialect = dialect
        self._budget = budget
        self._cold_start_limiter = cold_start_limiter
        self._shift_limiter = shift_limiter
        self._poison_requests = poison_requests
        self._metrics = metrics
        self._clock = clock
        self._estimates = WorkEstimates()
        self.queues_by_service: dict[str, WaitQueue] = {}
        self.admit_repeat: Callable[[SteeredCall], bool] = lambda call: True
        self._limits = WaitLimits()
        self._waiting_calls: dict[_PlacementFuture, SteeredCall] = {}
        self._applied_keys = view.tenant_keys
        view.on_change(self._apply_changes)

    async def steer(self, call: SteeredCall) -> Outcome:
        """Send the request, with retries, and return its final outcome."""
        self._record_request(call)
        while True:
            if (ended := self._end_before_placement(call)) is not None:
                return ended
            placement = await self._place_or_wait(call)
            if not isinstance(placement, Placement):
                return placement
            if self._would_be_cut_off(call):
                self._release(call.service, placement)
                return _refused_or_failed(call, Reason.STOPPING, 0.0)
            try:
                result = await self._send(call, placement)
            except UnsendableError as error:
                _log_attempt(call, placement.stats, 'request not sent', str(error))
                return _refused_or_failed(call, Reason.UNREADABLE)
            outcome = self._evaluate(call, placement, result)
            if outcome is not None:
                return outcome
            self._metrics.count_retry(call.service, result.reason)

    def _record_request(self, call: SteeredCall) -> None:
        self._budget.record_request(call.service, call.arrived_at)
        if call.tenant is not None:
            cap = call.tenant.requests_per_second
            shares = self._queue(call.service).shares
            shares.record_request(call.tenant.name, cap, self._clock())

    def _end_before_placement(self, call: SteeredCall) -> Outcome | None:
        """Return the outcome of a request that must not be sent now, else None."""
        if call.deadline_at - self._clock() < MIN_REMAINING_SECONDS:
            return _refused_or_failed(call, Reason.TIMED_OUT)
        if self._would_be_cut_off(call):
            return _refused_or_failed(call, Reason.STOPPING, 0.0)
        if self._poison_requests.is_blocked(call.digest):
            return _refused_or_failed(call, Reason.BREAKS_SERVERS)
        if not self._authenticate(call):
            return _refused_or_failed(call, Reason.KEY_REVOKED)
        return None

    def begin_stop(self, plan: EntryStopPlan) -> None:
        """Pass on no request that the end of the process might cut off."""
        self._limits.begin_stop(plan)

    def _would_be_cut_off(self, call: SteeredCall) -> bool:
        plan = self._limits.plan
        return plan is not None and not plan.can_pass_on(
            self._clock(), call.deadline_at
        )

    def wake_all(self) -> None:
        """Retry the placement of waiting requests after slots or servers changed."""
        now = self._clock()
        for queue in self.queues_by_service.values():
            queue.wake_next(now)

    def _apply_changes(self) -> None:
        """End the wait of requests whose key was taken away; wake the others."""
        if self._applied_keys is not self._view.tenant_keys:
            self._applied_keys = self._view.tenant_keys
            for future, call in self._waiting_calls.items():
                if not self._authenticate(call) and not future.done():
                    future.set_result(None)
        self.wake_all()

    def _authenticate(self, call: SteeredCall) -> bool:
        """Apply the keys in force now; return whether the request may still run."""
        tenant = self._view.tenant_keys.authenticate(
            call.credential, call.route.is_public
        )
        if isinstance(tenant, KeyRefusal):
            return False
        call.tenant = tenant
        return True

    def _identity(self, call: SteeredCall) -> CallerIdentity | None:
        if not self._view.tenant_keys.are_required:
            return None
        return CallerIdentity(call.tenant.name if call.tenant else None)

    def _queue(self, service: str) -> WaitQueue:
        return self.queues_by_service.setdefault(service, WaitQueue())

    def _work(self, call: SteeredCall) -> RouteWorkEstimator:
        return self._estimates.for_route(
            call.route.name, call.service, call.route.target_seconds
        )

    def estimate(self, route: Route, service: str) -> WorkEstimate:
        """Return the expected work of a request of the route at the service."""
        return self._estimates.for_route(
            route.name, service, route.target_seconds
        ).estimate()

    def _try_place(
        self, call: SteeredCall, has_waited: bool = False
    ) -> Placement | None:
        """Choose a server that can start the request now; return None if there is none.

        Servers tried before are not chosen again. The limit on region shifts applies
        only if a server of this region may serve the request.
        """
        now = self._clock()
        placer = self._view.placer(call.service)
        usable = self._view.cold_without_capacity(placer, now)
        usable.update(dict.fromkeys(call.tried_server_ids, False))
        home_regions = call.home_regions

        def choose(scope: PlacementScope) -> Placement | None:
            estimate = self._work(call).estimate()
            return placer.choose(
                call.object_key, estimate, home_regions, usable, now, scope, has_waited
            )

        can_serve_locally = placer.can_serve_locally(home_regions)
        placement = (
            self._choose_within_shift_limit(choose, now)
            if can_serve_locally
            else choose(PlacementScope.ANY)
        )
        if placement is not None:
            if call.tenant is not None:
                self._queue(call.service).shares.record_start(call.tenant.name, now)
            if can_serve_locally:
                self._shift_limiter.record_sent(placement.is_other_region, now)
            placement.stats.record_start(call.object_key)
            placer.record_send(placement.server.id, now)
            if placement.stats.is_cold(now):
                self._cold_start_limiter.record_send(placement.server.id, now)
        return placement

    def _choose_within_shift_limit(
        self, choose: Callable[[PlacementScope], Placement | None], now: float
    ) -> Placement | None:
        """Choose a server within the limit on shifts between regions."""
        preferred = choose(PlacementScope.ANY)
        if preferred is None:
            return None
        scope = self._shift_limiter.decide_scope(preferred.is_other_region, now)
        if scope is PlacementScope.ANY:
            return preferred
        allowed = choose(scope)
        if allowed is None and scope is PlacementScope.OTHER_REGION:
            return preferred
        return allowed

    async def _place_or_wait(self, call: SteeredCall) -> Placement | Outcome:
        queue = self._queue(call.service)
        if queue.waiters:
            queue.wake_next(self._clock())
        placement = self._try_place(call)
        if placement is not None:
            return placement
        return await self._wait(call, queue)

    async def _wait(self, call: SteeredCall, queue: WaitQueue) -> Placement | Outcome:
        now = self._clock()
        if self._is_unservable(call):
            return self._refuse_unservable(call, queue)
        future: _PlacementFuture = asyncio.get_running_loop().create_future()
        waiter = self._make_waiter(call, future)
        home_regions = call.home_regions
        max_per_second = self._view.placer(call.service).limited_per_second(
            home_regions, now
        )
        if not queue.can_wait(waiter, now, max_per_second):
            reason = Reason.OVERLOADED
            if max_per_second is not None:
                reason = Reason.RATE_LIMITED
            return self._refuse(call, reason, queue, max_per_second)
        queue.add(waiter, now)
        self._waiting_calls[future] = call
        try:
            async with self._limits.limit(waiter.latest_start_at, call.deadline_at):
                placement = await future
            return placement or self._end_wait_unserved(call, queue)
        except TimeoutError:
            self._release_unused(call, future)
            if self._would_be_cut_off(call):
                return _refused_or_failed(call, Reason.STOPPING, 0.0)
            return self._refuse(call, Reason.WAITED_IN_VAIN, queue, max_per_second)
        except _EvictedError:
            return self._refuse(call, Reason.OVERLOADED, queue, max_per_second)
        except asyncio.CancelledError:
            self._release_unused(call, future)
            raise
        finally:
            queue.remove(waiter)
            del self._waiting_calls[future]
            call.waited_seconds += self._clock() - now

    def _end_wait_unserved(self, call: SteeredCall, queue: WaitQueue) -> Outcome:
        if not self._authenticate(call):
            return _refused_or_failed(call, Reason.KEY_REVOKED)
        return self._refuse_unservable(call, queue)

    def _release_unused(self, call: SteeredCall, future: _PlacementFuture) -> None:
        """Release the slot that a request got when its wait had just ended."""
        if not future.done() or future.cancelled() or future.exception() is not None:
            return
        if (placement := future.result()) is not None:
            self._release(call.service, placement)

    def _make_waiter(self, call: SteeredCall, future: _PlacementFuture) -> Waiter:
        """Return a waiter that ends with a placement, or None if there is none now."""

        def wake() -> bool:
            if future.done():
                return False
            placement = self._try_place(call, has_waited=True)
            if placement is None and not self._is_unservable(call):
                return False
            future.set_result(placement)
            return True

        def evict() -> None:
            if not future.done():
                future.set_exception(_EvictedError)

        return Waiter(
            priority=call.priority,
            target_at=call.target_at,
            deadline_at=call.deadline_at,
            work_seconds=self._work(call).warm_seconds,
            wake=wake,
            tenant=call.tenant.name if call.tenant else None,
            evict=evict if call.tenant else None,
        )

    def _is_unservable(self, call: SteeredCall) -> bool:
        """Return whether no server is there, or all want no requests for now."""
        placer = self._view.placer(call.service)
        home_regions = call.home_regions
        if not placer.has_servers(home_regions):
            return True
        return placer.resumes_at(home_regions, self._clock()) is not None

    def _refuse_unservable(self, call: SteeredCall, queue: WaitQueue) -> Outcome:
        now = self._clock()
        home_regions = call.home_regions
        resumes_at = self._view.placer(call.service).resumes_at(home_regions, now)
        if resumes_at is None:
            return self._refuse(call, Reason.NO_SERVER, queue)
        if call.may_have_run:
            return Failed(Reason.PAUSED)
        seconds = retry_after_pause(resumes_at - now, random.random())
        return Refused(Reason.PAUSED, seconds, seconds, len(queue.waiters))

    def _refuse_shed(self, call: SteeredCall) -> Outcome:
        """Refuse a request that its servers have turned away."""
        if self._is_unservable(call):
            return self._refuse_unservable(call, self._queue(call.service))
        return _refused_or_failed(call, Reason.SHED, 0.0)

    def _refuse(
        self,
        call: SteeredCall,
        reason: Reason,
        queue: WaitQueue,
        max_per_second: float | None = None,
    ) -> Outcome:
        tenant = call.tenant.name if call.tenant else None
        wait = queue.expected_wait(self._clock(), call.priority, max_per_second, tenant)
        outcome = _refused_or_failed(call, reason, wait)
        if isinstance(outcome, Failed):
            return outcome
        waiting = len(queue.waiters)
        return replace(outcome, expected_wait_seconds=wait, waiting=waiting)

    async def _send(self, call: SteeredCall, placement: Placement) -> SendResult:
        server, stats = placement.server, placement.stats
        started = self._clock()
        seconds = call.deadline_at - started
        identity = self._identity(call)
        request = ServerRequest(
            method=call.method.encode(),
            target=call.target.encode('utf-8', 'surrogateescape'),
            headers=self._dialect.request_headers(
                call.headers, server.id, seconds, identity
            ),
            body=call.body,
        )
        call.tried_server_ids.add(server.id)
        call.placement = placement
        call.server_limit = stats.limit.per_second
        if call.server_limit is not None:
            self._metrics.count_limited_send(call.service)
        try:
            async with asyncio.timeout(seconds):
                response = await self._exchange(call, placement, request, identity)
        except WithdrawnError as error:
            _log_attempt(call, stats, 'request not sent', str(error))
            return SendResult(None, None, was_sent=False, was_withdrawn=True)
        except NotSentError as error:
            self._mark_unreachable(placement)
            _log_attempt(call, stats, 'request not sent', str(error))
            return SendResult(None, None, was_sent=False)
        except ExchangeLostError as error:
            if error.is_silent:
                self._mark_unreachable(placement)
            else:
                stats.record_failure(self._clock())
            self._record_pace(placement, PaceEvidence(is_failure=True), started)
            if error.lost_before_response:
                self._poison_requests.record_crash(call.digest, server.incarnation_id)
            _log_attempt(call, stats, 'response lost', str(error))
            return SendResult(None, None, was_sent=True)
        except TimeoutError:
            stats.record_failure(self._clock())
            self._record_pace(placement, PaceEvidence(is_refusal=True), started)
            _log_attempt(call, stats, 'response lost', 'time limit reached')
            return SendResult(None, None, was_sent=True)
        metadata = self._read_metadata(response)
        self._learn(call, placement, response, metadata, started)
        return SendResult(response, metadata, was_sent=True)

    def _learn(
        self,
        call: SteeredCall,
        placement: Placement,
        response: ServerResponse,
        metadata: ResponseMetadata,
        started: float,
    ) -> None:
        """Update what is known of the server from its response."""
        server, stats = placement.server, placement.stats
        now = self._clock()
        learn_from_response(
            placement,
            self._work(call),
            response,
            metadata,
            now - started,
            call.object_key is not None,
            now,
        )
        self._learn_pace(call, placement, response, metadata, started)
        if learn_availability(
            placement,
            metadata,
            self._view.node_count,
            random.random(),
            started,
            now,
        ):
            if stats.availability.exclusion(now) is Exclusion.PAUSED:
                resumes_at = stats.availability.resumes_at
                self._view.start_pace(server, stats, PaceReason.PAUSED, resumes_at)
            self._view.record_availability_change(server, stats.availability)
        self._metrics.count_statements(server.service, metadata)
        previous_limit = stats.limit.per_second
        if learn_limit(placement, metadata, started, now):
            self._view.record_limit_change(
                server, stats.limit, previous_limit, RESPONSE_SOURCE
            )

    def _mark_unreachable(self, placement: Placement) -> None:
        """Suspend the server; one that stays unreachable begins with a low pace."""
        server, stats = placement.server, placement.stats
        was_unreachable = stats.is_unreachable
        stats.mark_unreachable(self._clock())
        if was_unreachable:
            self._view.start_pace(
                server, stats, PaceReason.UNREACHABLE, stats.suspended_until
            )

    def _learn_pace(
        self,
        call: SteeredCall,
        placement: Placement,
        response: ServerResponse,
        metadata: ResponseMetadata,
        sent_at: float,
    ) -> None:
        """Adapt the pace of the server to its response."""
        if metadata.is_other_server:
            return
        if metadata.load is not None:
            self._view.paces.record_slowdown(metadata.load.slowdown)
        if not self._view.paces.is_enabled:
            return
        now = self._clock()
        evidence = pace_evidence(
            placement, self._work(call), response, metadata, now - sent_at, now
        )
        self._record_pace(placement, evidence, sent_at)

    def _record_pace(
        self, placement: Placement, evidence: PaceEvidence, sent_at: float
    ) -> None:
        self._view.paces.record(
            placement.server, placement.stats, evidence, sent_at, self._clock()
        )

    async def _exchange(
        self,
        call: SteeredCall,
        placement: Placement,
        request: ServerRequest,
        identity: CallerIdentity | None,
    ) -> ServerResponse:
        """Return the response; let a non-idempotent request finish when cancelled.

        Closing the connection could stop a non-idempotent request halfway. The server
        ends it by the time limit in the request's headers; its connection is closed
        after ABANDONED_TIMEOUT_SECONDS at the latest.
        """
        repeatable = call.route.kind.is_idempotent

        def may_send() -> bool:
            exclusion = placement.stats.availability.exclusion(self._clock())
            if exclusion is not None or not self._authenticate(call):
                return False
            return self._identity(call) == identity

        task = asyncio.ensure_future(
            self._pool.exchange(
                placement.server,
                request,
                repeatable,
                lambda response: call.may_own(self._read_metadata(response)),
                may_send,
            )
        )
        task.add_done_callback(lambda _: self._release(call.service, placement))
        if repeatable:
            return await task
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            loop = asyncio.get_running_loop()
            loop.call_later(ABANDONED_TIMEOUT_SECONDS, task.cancel)
            task.add_done_callback(partial(_log_late_failure, call.request_id))
            raise

    def _read_metadata(self, response: ServerResponse) -> ResponseMetadata:
        return self._dialect.read_response(
            response.status, response.headers_by_name(), response.count_headers
        )

    def _evaluate(
        self, call: SteeredCall, placement: Placement, result: SendResult
    ) -> Outcome | None:
        """Return the final outcome, or None if the request may be sent again."""
        if result.was_withdrawn:
            return None
        if not result.was_sent:
            call.unreachable += 1
            if call.unreachable < MAX_UNREACHABLE_SERVERS:
                return None
            return _refused_or_failed(call, Reason.UNREACHABLE, 0.0)
        call.sends += 1
        response, metadata = result.response, result.metadata
        if response is not None and metadata is not None and metadata.was_not_run:
            return None if self._may_send_again(call) else self._refuse_shed(call)
        call.may_have_run = True
        answered = None
        if (
            response
            and metadata
            and response.status not in NOT_RUN_STATUSES
            and call.surely_owns(response, metadata)
        ):
            answered = Answered(response, placement.server.id)
        if answered and answered.response.status < SERVER_ERROR:
            self._poison_requests.record_response(call.digest)
            return answered
        if call.route.kind.is_idempotent and self._may_send_again(call):
            return None
        if answered:
            return answered
        timed_out = self._clock() >= call.deadline_at - MIN_REMAINING_SECONDS
        return Failed(Reason.TIMED_OUT if timed_out else Reason.ANSWER_LOST)

    def _may_send_again(self, call: SteeredCall) -> bool:
        """Return whether attempts, time, retry budget and cap allow another send."""
        if call.sends >= call.route.max_servers:
            return False
        now = self._clock()
        if call.deadline_at - now < self._work(call).warm_seconds:
            return False
        if not self._budget.take(call.service, self._view.node_count, now):
            return False
        return not call.may_have_run or self.admit_repeat(call)

    def _release(self, service: str, placement: Placement) -> None:
        placement.stats.record_end()
        now = self._clock()
        queue = self._queue(service)
        queue.record_departure(now)
        if queue.waiters:
            queue.wake_next(now)


def _log_attempt(
    call: SteeredCall, stats: ServerStats, message: str, reason: str
) -> None:
    logger.bind(
        request_id=call.request_id,
        server=call.placement.server.id if call.placement else None,
        in_flight=stats.in_flight,
        sends=call.sends,
        reason=reason,
    ).info(message)


def _log_late_failure(request_id: str, task: asyncio.Future[ServerResponse]) -> None:
    if task.cancelled() or (error := task.exception()) is None:
        return
    logger.bind(request_id=request_id, reason=repr(error)).info(
        'response lost after its caller had left'
    )


def _refused_or_failed(
    call: SteeredCall, reason: Reason, expected_wait: float | None = None
) -> Refused | Failed:
    """Return Failed if an attempt may have run, else Refused."""
    if call.may_have_run:
        return Failed(reason)
    if expected_wait is None:
        return Refused(reason)
    return Refused(reason, retry_after_seconds(expected_wait, random.random()))
