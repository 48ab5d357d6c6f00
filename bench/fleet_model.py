"""Queueing model in virtual time: nodes send requests to backend servers by a policy.

The policy may be daisylift's own decision code or a baseline. A server queues requests
beyond its slots; each request that arrives while all slots are in use is an overrun.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

MAX_WAIT_SECONDS = 0.2
REPORT_PERIOD_SECONDS = 2.0
ROUND_TRIP_SECONDS = (0.0005, 0.002, 0.04)


@dataclass(slots=True)
class ModelServer:
    """A backend server.

    ``slowness`` multiplies the work time. ``reports`` maps the requests in flight to
    the load reported, or to None if the server does not report.
    """

    name: str
    region: int
    domain: int
    slots: int
    slowness: float = 1.0
    reports: Callable[[int], int | None] = lambda in_flight: in_flight
    in_flight: int = 0
    queue: deque = field(default_factory=deque)


@dataclass(slots=True)
class Request:
    """One request: the node and time of its arrival, and the server chosen for it."""

    node: int
    arrived_at: float
    server: ModelServer | None = None
    sent_at: float = 0.0
    permit: object = None


class Policy(Protocol):
    """Chooses backend servers for one node."""

    def choose(self, now: float) -> ModelServer | None:
        """Return a server, with a permit taken, or None if the request must wait."""

    def record_end(self, server: ModelServer, seconds: float, now: float) -> None:
        """Record the end of a request."""

    def record_report(
        self, server: ModelServer, in_flight: int | None, now: float
    ) -> None:
        """Record a load report; None if the server did not report."""


@dataclass(slots=True)
class Result:
    """The result of a run; times in seconds."""

    latencies: list[float] = field(default_factory=list)
    starts: int = 0
    overruns: int = 0
    refused: int = 0

    def quantile(self, share: float) -> float:
        """Return a quantile of the latencies."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Model:
    """Runs arrivals through nodes and servers in virtual time."""

    def __init__(
        self,
        servers: list[ModelServer],
        policies: list[Policy],
        node_locations: list[tuple[int, int]],
        work_seconds: float,
        seed: int,
    ) -> None:
        self.result = Result()
        self._servers = servers
        self._policies = policies
        self._locations = node_locations
        self._work_seconds = work_seconds
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()
        self._waiting: list[deque[Request]] = [deque() for _ in policies]
        self._warm_until = 0.0

    def run(self, rate: float, seconds: float, warm_seconds: float) -> Result:
        """Run Poisson arrivals at a rate per second, spread evenly over the nodes.

        Requests that arrive in the first ``warm_seconds`` are not counted.
        """
        now = 0.0
        self._warm_until = warm_seconds
        while now < seconds:
            now += self._random.expovariate(rate)
            self._schedule(now, self._arrive, Request(self._pick_node(), now))
        for number, server in enumerate(self._servers):
            start = REPORT_PERIOD_SECONDS * number / len(self._servers)
            for tick in range(int(seconds / REPORT_PERIOD_SECONDS)):
                self._schedule(
                    start + tick * REPORT_PERIOD_SECONDS, self._report, server
                )
        while self._events:
            due_at, _, callback, arguments = heapq.heappop(self._events)
            callback(due_at, *arguments)
        return self.result

    def _pick_node(self) -> int:
        return self._random.randrange(len(self._policies))

    def _schedule(self, due_at: float, callback: Callable, *arguments: object) -> None:
        heapq.heappush(self._events, (due_at, next(self._order), callback, arguments))

    def _report(self, now: float, server: ModelServer) -> None:
        load = server.reports(server.in_flight)
        for policy in self._policies:
            policy.record_report(server, load, now)

    def _arrive(self, now: float, request: Request) -> None:
        waiting = self._waiting[request.node]
        if waiting or not self._send(now, request):
            waiting.append(request)
            self._schedule(now + MAX_WAIT_SECONDS, self._time_out, request)

    def _time_out(self, now: float, request: Request) -> None:
        if request.server is None and request in self._waiting[request.node]:
            self._waiting[request.node].remove(request)
            self.result.refused += request.arrived_at >= self._warm_until

    def _send(self, now: float, request: Request) -> bool:
        server = self._policies[request.node].choose(now)
        if server is None:
            return False
        request.server = server
        request.sent_at = now
        self._schedule(
            now + self._round_trip_seconds(request) / 2, self._arrive_at_server, request
        )
        return True

    def _arrive_at_server(self, now: float, request: Request) -> None:
        server = request.server
        counted = request.arrived_at >= self._warm_until
        self.result.starts += counted
        if server.in_flight >= server.slots:
            self.result.overruns += counted
            server.queue.append(request)
            return
        self._start_work(now, request)

    def _start_work(self, now: float, request: Request) -> None:
        request.server.in_flight += 1
        seconds = self._random.expovariate(1.0 / self._work_seconds)
        self._schedule(
            now + seconds * request.server.slowness, self._finish_work, request
        )

    def _finish_work(self, now: float, request: Request) -> None:
        server = request.server
        server.in_flight -= 1
        if server.queue:
            self._start_work(now, server.queue.popleft())
        self._schedule(
            now + self._round_trip_seconds(request) / 2, self._receive_response, request
        )

    def _receive_response(self, now: float, request: Request) -> None:
        if request.arrived_at >= self._warm_until:
            self.result.latencies.append(now - request.arrived_at)
        self._policies[request.node].record_end(
            request.server, now - request.sent_at, now
        )
        waiting = self._waiting[request.node]
        while waiting and self._send(now, waiting[0]):
            waiting.popleft()

    def _round_trip_seconds(self, request: Request) -> float:
        region, domain = self._locations[request.node]
        if request.server.region != region:
            return ROUND_TRIP_SECONDS[2]
        return ROUND_TRIP_SECONDS[0 if request.server.domain == domain else 1]
