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

WAIT_SECONDS = 0.2
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
class Job:
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

    def ended(self, server: ModelServer, seconds: float, now: float) -> None:
        """Record the end of a request."""

    def reported(self, server: ModelServer, in_flight: int | None, now: float) -> None:
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
        node_places: list[tuple[int, int]],
        work_seconds: float,
        seed: int,
    ) -> None:
        self.result = Result()
        self._servers = servers
        self._policies = policies
        self._places = node_places
        self._work_seconds = work_seconds
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()
        self._waiting: list[deque[Job]] = [deque() for _ in policies]
        self._warm_at = 0.0

    def run(self, rate: float, seconds: float, warm_seconds: float) -> Result:
        """Run Poisson arrivals at a rate per second, spread evenly over the nodes.

        Requests that arrive in the first ``warm_seconds`` are not counted.
        """
        now = 0.0
        self._warm_at = warm_seconds
        while now < seconds:
            now += self._random.expovariate(rate)
            self._at(now, self._arrive, Job(self._pick_node(), now))
        for number, server in enumerate(self._servers):
            start = REPORT_PERIOD_SECONDS * number / len(self._servers)
            for tick in range(int(seconds / REPORT_PERIOD_SECONDS)):
                self._at(start + tick * REPORT_PERIOD_SECONDS, self._report, server)
        while self._events:
            moment, _, call, arguments = heapq.heappop(self._events)
            call(moment, *arguments)
        return self.result

    def _pick_node(self) -> int:
        return self._random.randrange(len(self._policies))

    def _at(self, moment: float, call: Callable, *arguments: object) -> None:
        heapq.heappush(self._events, (moment, next(self._order), call, arguments))

    def _report(self, now: float, server: ModelServer) -> None:
        load = server.reports(server.in_flight)
        for policy in self._policies:
            policy.reported(server, load, now)

    def _arrive(self, now: float, job: Job) -> None:
        waiting = self._waiting[job.node]
        if waiting or not self._send(now, job):
            waiting.append(job)
            self._at(now + WAIT_SECONDS, self._give_up, job)

    def _give_up(self, now: float, job: Job) -> None:
        if job.server is None and job in self._waiting[job.node]:
            self._waiting[job.node].remove(job)
            self.result.refused += job.arrived_at >= self._warm_at

    def _send(self, now: float, job: Job) -> bool:
        server = self._policies[job.node].choose(now)
        if server is None:
            return False
        job.server = server
        job.sent_at = now
        self._at(now + self._trip(job) / 2, self._begin, job)
        return True

    def _begin(self, now: float, job: Job) -> None:
        server = job.server
        counted = job.arrived_at >= self._warm_at
        self.result.starts += counted
        if server.in_flight >= server.slots:
            self.result.overruns += counted
            server.queue.append(job)
            return
        self._work(now, job)

    def _work(self, now: float, job: Job) -> None:
        job.server.in_flight += 1
        seconds = self._random.expovariate(1.0 / self._work_seconds)
        self._at(now + seconds * job.server.slowness, self._end, job)

    def _end(self, now: float, job: Job) -> None:
        server = job.server
        server.in_flight -= 1
        if server.queue:
            self._work(now, server.queue.popleft())
        self._at(now + self._trip(job) / 2, self._answer, job)

    def _answer(self, now: float, job: Job) -> None:
        if job.arrived_at >= self._warm_at:
            self.result.latencies.append(now - job.arrived_at)
        self._policies[job.node].ended(job.server, now - job.sent_at, now)
        waiting = self._waiting[job.node]
        while waiting and self._send(now, waiting[0]):
            waiting.popleft()

    def _trip(self, job: Job) -> float:
        region, domain = self._places[job.node]
        if job.server.region != region:
            return ROUND_TRIP_SECONDS[2]
        return ROUND_TRIP_SECONDS[0 if job.server.domain == domain else 1]
