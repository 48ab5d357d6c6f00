"""Relays callers' requests: check, guard, admission, exchange and retries."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from aiohttp import web
from loguru import logger
from returns.result import Failure, Success

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.poison_requests import Digest
from daisylift.decisions.retries import (
    FailedAttempt,
    RetryTokenBucket,
    RetryVerdict,
    decide_retry,
)
from daisylift.outcome import Outcome
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.poison_requests import PoisonRequestRegister
from daisylift_node.request.admission import Admission
from daisylift_node.request.body import CallerBodyError
from daisylift_node.request.call import Call, check_call
from daisylift_node.request.ending import (
    Aborted,
    Answered,
    Ending,
    Refused,
)
from daisylift_node.request.exchange import Exchange, is_outcome_unknown
from daisylift_node.request.guard import Guard
from daisylift_node.request.peer_offload import PeerOffload
from daisylift_node.request.problem import (
    TRANSIENT_REASONS,
    Reason,
    Refusal,
    did_not_run,
    refusal_response,
)
from daisylift_node.request.waiting import Attempt

NO_SERVICE = ''  # metric label of refusals without a valid service
FORWARDABLE_REASONS = frozenset(
    {Reason.NO_FREE_SLOT, Reason.QUEUE_FULL, Reason.LINK_SPENT}
)
# After a refusal for one of these reasons, the caller's connection is closed.
CLOSING_REASONS = frozenset({Reason.UPGRADE_REFUSED, Reason.BAD_BODY})

Clock = Callable[[], float]


class RelayHandler:
    """Handles ``/v1/services/SERVICE/PATH`` for all methods."""

    def __init__(
        self,
        guard: Guard,
        admission: Admission,
        exchange: Exchange,
        offload: PeerOffload,
        poison_requests: PoisonRequestRegister,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._guard = guard
        self._admission = admission
        self._exchange = exchange
        self._offload = offload
        self._poison_requests = poison_requests
        self._metrics = metrics
        self._clock = clock
        self._services = Configuration().policy.services_by_name()
        self._budgets: dict[str, RetryTokenBucket] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the services and retry budgets of a configuration."""
        self._services = configuration.policy.services_by_name()
        self._budgets = {
            name: self._budgets.get(name) or RetryTokenBucket(service.retry_budget)
            for name, service in self._services.items()
        }
        for name, service in self._services.items():
            self._budgets[name].share = service.retry_budget

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Relay one request, or respond with a refusal."""
        match check_call(request, self._services, self._clock()):
            case Failure(refusal):
                return self._refuse(NO_SERVICE, refusal)
            case Success(call):
                return await self._handle(call)

    async def _handle(self, call: Call) -> web.StreamResponse:
        name = call.service.name
        with self._metrics.request_seconds.labels(service=name).time():
            ending = await self._run(call)
        match ending:
            case Answered(outcome=outcome):
                self._count(name, outcome)
                return call.caller.response
            case Aborted(refusal=refusal):
                self._count_refusal(name, refusal)
                return call.caller.response
            case Refused(refusal=refusal):
                return self._refuse(name, refusal)

    async def _run(self, call: Call) -> Ending:
        try:
            async with asyncio.timeout(call.deadline.remaining_seconds(self._clock())):
                await call.body.read_ahead()
        except CallerBodyError:
            return Refused(did_not_run(Reason.BAD_BODY, 'the body ended short'))
        except TimeoutError:
            detail = 'the body was not there before the deadline'
            return Refused(did_not_run(Reason.DEADLINE_PASSED, detail))
        return await self._guard.run(call, self.serve)

    async def serve(self, call: Call) -> Ending:
        """Send the call to a backend server, and retry where that is allowed."""
        budget = self._budgets.setdefault(
            call.service.name, RetryTokenBucket(call.service.retry_budget)
        )
        budget.record_request()
        tried: frozenset[str] = frozenset()
        reported: Refused | None = None
        attempts = attempts_that_may_have_run = 0
        digest = call.digest()
        while True:
            if self._poison_requests.is_blocked(digest):
                return reported or Refused(_poison_request_refusal())
            admitted = await self._admission.admit(call, tried)
            if isinstance(admitted, Failure):
                return reported or await self._forward_or_refuse(
                    call, admitted.failure()
                )
            attempt = admitted.unwrap()
            ending = await self._attempt(call, attempt)
            self._update_poison_requests(digest, ending)
            if not isinstance(ending, Refused):
                return ending
            reported = _ending_to_report(reported, ending)
            attempts += 1
            tried |= {attempt.key.server}
            attempts_that_may_have_run += ending.outcome is not Outcome.DID_NOT_RUN
            failed_attempt = self._failed_attempt(
                call, ending, attempts, attempts_that_may_have_run
            )
            verdict = decide_retry(failed_attempt, call.is_idempotent, budget)
            self._count_retry(call, ending, verdict)
            if verdict is not RetryVerdict.GRANTED:
                return reported

    async def _forward_or_refuse(self, call: Call, reason: Reason) -> Ending:
        """Forward a call without a slot to a peer, once, or refuse it.

        A non-idempotent call with a key is not forwarded, because its key is valid
        only at the node that received the call.
        """
        refused = Refused(_not_admitted(call, reason))
        if reason not in FORWARDABLE_REASONS or call.is_forwarded:
            return refused
        if call.has_key and not call.is_idempotent:
            return refused
        ending = await self._offload.serve(call)
        return ending if ending is not None else refused

    async def _attempt(self, call: Call, attempt: Attempt) -> Ending:
        outcome_unknown = True
        try:
            ending = await self._exchange.run(call, attempt)
            outcome_unknown = is_outcome_unknown(ending)
            return ending
        finally:
            remaining_seconds = call.deadline.remaining_seconds(self._clock())
            self._admission.release(attempt, outcome_unknown, remaining_seconds)

    def _update_poison_requests(self, digest: Digest, ending: Ending) -> None:
        """Count a lost server connection for the request; a response clears it."""
        match ending:
            case Answered():
                self._poison_requests.record_response(digest)
            case Aborted(server_disconnected=True) | Refused(server_disconnected=True):
                self._poison_requests.record_crash(digest)

    def _failed_attempt(
        self,
        call: Call,
        ending: Refused,
        attempts: int,
        attempts_that_may_have_run: int,
    ) -> FailedAttempt:
        return FailedAttempt(
            outcome=ending.outcome,
            reached_server=ending.reached_server,
            response_started=False,
            body_replayable=call.body.is_replayable,
            attempts=attempts,
            possibly_run_attempts=attempts_that_may_have_run,
            remaining_seconds=call.deadline.remaining_seconds(self._clock()),
        )

    def _refuse(self, service: str, refusal: Refusal) -> web.Response:
        self._count_refusal(service, refusal)
        if refusal.reason in TRANSIENT_REASONS:
            refusal = replace(refusal, other_vms=self._offload.addresses())
        logger.info('refused a request for service {!r}: {}', service, refusal.detail)
        response = refusal_response(refusal)
        if refusal.reason in CLOSING_REASONS:
            response.force_close()
        return response

    def _count_refusal(self, service: str, refusal: Refusal) -> None:
        self._count(service, refusal.outcome)
        reason = refusal.reason.value
        self._metrics.refusals.labels(service=service, reason=reason).inc()

    def _count_retry(self, call: Call, ending: Refused, verdict: RetryVerdict) -> None:
        self._metrics.retries.labels(
            service=call.service.name,
            reason=ending.refusal.reason.value,
            verdict=verdict.value,
        ).inc()

    def _count(self, service: str, outcome: Outcome) -> None:
        self._metrics.requests.labels(service=service, outcome=outcome.value).inc()


def _ending_to_report(reported: Refused | None, ending: Refused) -> Refused:
    """Return the ending to report: the first that may have run, else the latest."""
    if reported is None or reported.outcome is Outcome.DID_NOT_RUN:
        return ending
    return reported


def _poison_request_refusal() -> Refusal:
    detail = 'backend servers broke off in the course of this request before'
    return did_not_run(Reason.BREAKS_SERVERS, detail)


def _not_admitted(call: Call, reason: Reason) -> Refusal:
    if reason is Reason.DEADLINE_PASSED:
        return did_not_run(reason, 'the deadline passed before a slot was free')
    return did_not_run(reason, f'no slot of {call.service.name!r} was free in time')
