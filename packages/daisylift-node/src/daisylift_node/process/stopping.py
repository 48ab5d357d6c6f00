"""The planned stop of this node, and the gate that refuses requests meanwhile."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from loguru import logger

from daisylift.decisions.stopping import StopPhase, StopPlan, announce_seconds
from daisylift.models import Policy
from daisylift_node.config import StopSettings
from daisylift_node.process.metrics import Metrics
from daisylift_node.request.problem import (
    Reason,
    did_not_run,
    refusal_response,
)

POLL_SECONDS = 0.05
NO_SERVICE = ''

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class StopGate:
    """Counts the requests in flight, and refuses new ones once it is closed.

    While ``is_leaving`` is set, each response asks the caller to close its
    connection.
    """

    def __init__(
        self,
        handler: Handler,
        metrics: Metrics,
        other_vms: Callable[[], tuple[str, ...]],
    ) -> None:
        self.in_flight = 0
        self.is_leaving = False
        self.is_closed = False
        self._handler = handler
        self._metrics = metrics
        self._other_vms = other_vms

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Pass the request to the handler, or refuse it as not run."""
        if self.is_closed:
            return self._refuse()
        self.in_flight += 1
        try:
            return await self._handler(request)
        finally:
            self.in_flight -= 1

    def _refuse(self) -> web.Response:
        reason = Reason.STOPPING
        self._metrics.refusals.labels(service=NO_SERVICE, reason=reason.value).inc()
        refusal = did_not_run(
            reason, 'this VM stops; use another one', other_vms=self._other_vms()
        )
        response = refusal_response(refusal)
        response.force_close()
        return response


class PlannedStop:
    """Takes the node through the phases of a planned stop."""

    def __init__(
        self,
        settings: StopSettings,
        gate: StopGate,
        clock: Callable[[], float],
        has_others: Callable[[], bool],
    ) -> None:
        self.phase = StopPhase.SERVING
        self._settings = settings
        self._gate = gate
        self._clock = clock
        self._has_others = has_others

    async def run(self, policy: Policy) -> bool:
        """Run all phases; return whether all requests in flight have ended."""
        plan = StopPlan(
            started_at=self._clock(),
            announce_seconds=announce_seconds(self._settings.announce_seconds, policy),
            finish_seconds=self._settings.finish_seconds,
        )
        self._gate.is_leaving = True
        while self.phase is not StopPhase.DONE:
            self._enter_phase(
                plan.phase(
                    self._clock(), self._gate.in_flight, has_others=self._has_others()
                )
            )
            await asyncio.sleep(POLL_SECONDS)
        remaining = self._gate.in_flight
        if remaining:
            logger.warning(
                'planned stop timed out: cutting off {} requests in flight', remaining
            )
        return remaining == 0

    def _enter_phase(self, phase: StopPhase) -> None:
        if phase is self.phase or self._has_passed(phase):
            return
        self.phase = phase
        self._gate.is_closed = phase is not StopPhase.ANNOUNCING
        logger.info('planned stop: entering phase {}', phase.value)

    def _has_passed(self, phase: StopPhase) -> bool:
        """Return whether the phase has passed; a VM that appears does not reopen it."""
        phases = list(StopPhase)
        return phases.index(phase) < phases.index(self.phase)
