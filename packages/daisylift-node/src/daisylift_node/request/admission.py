"""Admits requests: each gets a backend server and a permit, or waits in a queue."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.decisions.routing import (
    NO_NAMES,
    RandomSource,
    RoutedServer,
)
from daisylift.models import Policy, Service
from daisylift_node.process.health import HealthRegistry
from daisylift_node.process.permits import PermitPool
from daisylift_node.request.call import Call
from daisylift_node.request.problem import Reason
from daisylift_node.request.waiting import (
    Attempt,
    ServiceQueue,
    Waiter,
    end_all_waits,
    end_wait,
)

MAX_WAITING = 512  # requests per service
RECHECK_INTERVAL_SECONDS = 0.02

Clock = Callable[[], float]
ClosedRegions = Callable[[], frozenset[str]]


class Admission:
    """Grants attempts; the request that has waited longest is served first."""

    def __init__(
        self,
        failure_domain: str,
        permits: PermitPool,
        health: HealthRegistry,
        clock: Clock,
        random: RandomSource,
        closed_regions: ClosedRegions = lambda: NO_NAMES,
    ) -> None:
        self._failure_domain = failure_domain
        self._permits = permits
        self._health = health
        self._clock = clock
        self._random = random
        self._closed_regions = closed_regions
        self._queues: dict[str, ServiceQueue] = {}
        self._next_number = 0
        health.subscribe(self.server_changed)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the services and servers of a configuration."""
        policy = configuration.policy
        previous, self._queues = self._queues, {}
        for service in policy.services:
            queue = previous.pop(service.name, None) or ServiceQueue(service)
            self._update_queue(queue, service, configuration)
            self._queues[service.name] = queue
        for queue in previous.values():
            end_all_waits(queue)
        for queue in self._queues.values():
            self._serve_waiting(queue)

    def server_changed(self, key: ServerKey) -> None:
        """Refresh a server's routing state and serve waiting requests."""
        queue = self._queues.get(key.service)
        if queue is None:
            return
        server = queue.table.by_name.get(key.server)
        if server is None:
            return
        server.free = self._permits.free_slots(key)
        queue.table.update(server)
        self._serve_waiting(queue)

    def permits_changed(self) -> None:
        """Recount all free permits and serve waiting requests."""
        for queue in self._queues.values():
            self._count_free(queue)
            self._serve_waiting(queue)

    async def admit(
        self, call: Call, excluded: frozenset[str] = NO_NAMES
    ) -> Result[Attempt, Reason]:
        """Return an attempt, waiting up to the service's queue timeout for one.

        If all servers are excluded, the exclusion is ignored.
        """
        queue = self._queues.get(call.service.name)
        if queue is None:
            return Failure(Reason.UNKNOWN_SERVICE)
        now = self._clock()
        if call.deadline.has_passed(now):
            return Failure(Reason.DEADLINE_PASSED)
        if len(excluded) >= len(queue.table.by_name):
            excluded = NO_NAMES
        if not queue.waiting:
            attempt = self._try_admit(queue, excluded)
            if attempt is not None:
                return Success(attempt)
        if len(queue.waiting) >= MAX_WAITING:
            return Failure(Reason.QUEUE_FULL)
        wait_deadline = call.deadline.capped(call.service.queue_timeout_seconds, now)
        attempt = await self._wait(queue, excluded, wait_deadline.at)
        if attempt is not None:
            return Success(attempt)
        if call.deadline.has_passed(self._clock()):
            return Failure(Reason.DEADLINE_PASSED)
        return Failure(self._rejection_reason(queue))

    def release(
        self, attempt: Attempt, outcome_unknown: bool, remaining_seconds: float = 0.0
    ) -> None:
        """Release the attempt's permit.

        If its outcome is unknown (``outcome_unknown``), the work may continue until its
        deadline, which is ``remaining_seconds`` from now.
        """
        self._permits.release(
            attempt.permit,
            outcome_unknown=outcome_unknown,
            remaining_seconds=remaining_seconds,
        )
        queue = self._queues.get(attempt.key.service)
        if queue is None:
            return
        server = queue.table.by_name.get(attempt.key.server)
        if server is not None:
            server.in_flight = max(0, server.in_flight - 1)
            queue.table.update_work_seconds(server)
        self.server_changed(attempt.key)

    def idle_slots(self, service: str) -> int:
        """Return the number of slots that could start a request now, 0 if any wait."""
        queue = self._queues.get(service)
        if queue is None or queue.waiting:
            return 0
        now = self._clock()
        return sum(s.free for s in queue.table.by_name.values() if s.has_capacity(now))

    def in_flight(self, service: str) -> int:
        """Return the number of requests of the service in flight."""
        queue = self._queues.get(service)
        if queue is None:
            return 0
        return sum(server.in_flight for server in queue.table.by_name.values())

    def waiting(self, service: str) -> int:
        """Return the number of waiting requests of the service."""
        queue = self._queues.get(service)
        return len(queue.waiting) if queue is not None else 0

    async def _wait(
        self, queue: ServiceQueue, excluded: frozenset[str], until: float
    ) -> Attempt | None:
        loop = asyncio.get_running_loop()
        waiter = Waiter(future=loop.create_future(), excluded=excluded)
        number = self._next_number
        self._next_number += 1
        queue.waiting[number] = waiter
        expiry = loop.call_later(until - self._clock(), end_wait, waiter, None)
        self._recheck_later(queue)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._release_unused(waiter)
            raise
        finally:
            expiry.cancel()
            queue.waiting.pop(number, None)

    def _release_unused(self, waiter: Waiter) -> None:
        """Release an attempt that was granted just as the caller disconnected."""
        if waiter.future.cancelled() or not waiter.future.done():
            return
        attempt = waiter.future.result()
        if attempt is not None:
            self.release(attempt, outcome_unknown=False)

    def _serve_waiting(self, queue: ServiceQueue) -> None:
        """Grant attempts to waiting requests, the longest waiting first."""
        for number, waiter in list(queue.waiting.items()):
            if waiter.future.done():
                continue
            attempt = self._try_admit(queue, waiter.excluded)
            if attempt is not None:
                del queue.waiting[number]
                end_wait(waiter, attempt)
            elif not waiter.excluded:
                return

    def _try_admit(
        self, queue: ServiceQueue, excluded: frozenset[str]
    ) -> Attempt | None:
        """Choose a server and take a permit for it; return None if there is none."""
        closed = self._closed_regions()
        server = queue.table.choose(self._clock(), self._random, excluded, closed)
        if server is None:
            return None
        key = ServerKey(service=queue.service.name, server=server.name)
        permit = self._permits.take(key)
        server.free = self._permits.free_slots(key)
        if permit is not None:
            server.in_flight += 1
        queue.table.update(server)
        if permit is None:
            return None
        return Attempt(
            key=key,
            server=queue.servers_by_name[server.name],
            region=server.region,
            permit=permit,
            connections=server.connections,
        )

    def _recheck_later(self, queue: ServiceQueue) -> None:
        """Schedule a recheck, as capacity can also grow with time, without an event."""
        if queue.recheck is None:
            loop = asyncio.get_running_loop()
            queue.recheck = loop.call_later(
                RECHECK_INTERVAL_SECONDS, self._recheck, queue
            )

    def _recheck(self, queue: ServiceQueue) -> None:
        queue.recheck = None
        if not queue.waiting:
            return
        self._count_free(queue)
        self._serve_waiting(queue)
        self._recheck_later(queue)

    def _count_free(self, queue: ServiceQueue) -> None:
        for server in queue.table.by_name.values():
            key = ServerKey(service=queue.service.name, server=server.name)
            server.free = self._permits.free_slots(key)
            queue.table.update(server)

    def _update_queue(
        self, queue: ServiceQueue, service: Service, configuration: Configuration
    ) -> None:
        """Replace the servers; those that stay keep their in-flight count."""
        in_flight = {s.name: s.in_flight for s in queue.table.by_name.values()}
        regions = configuration.policy.regions_by_failure_domain()
        queue.service = service
        queue.servers_by_name = {server.name: server for server in service.servers}
        routed = []
        for server in service.servers:
            key = ServerKey(service=service.name, server=server.name)
            routed_server = RoutedServer(
                name=server.name,
                region=regions[server.failure_domain],
                distance=self._distance(server.failure_domain, configuration.policy),
                connections=server.connections,
                health=self._health.by_server[key],
                free=self._permits.free_slots(key),
                in_flight=in_flight.get(server.name, 0),
                draining=key in configuration.draining,
            )
            routed.append(routed_server)
        queue.table.replace(routed)

    def _distance(self, failure_domain: str, policy: Policy) -> int:
        own_domain = self._failure_domain
        if failure_domain == own_domain:
            return 0
        regions = policy.regions_by_failure_domain()
        return 1 if regions.get(failure_domain) == regions.get(own_domain) else 2

    def _rejection_reason(self, queue: ServiceQueue) -> Reason:
        """Return why a request got no slot: an exhausted link, or no free slot."""
        closed = self._closed_regions()
        if any(s.free and s.region in closed for s in queue.table.by_name.values()):
            return Reason.LINK_SPENT
        return Reason.NO_FREE_SLOT
