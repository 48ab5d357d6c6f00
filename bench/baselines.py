"""Baseline policies for choosing a server; none of them uses permits."""

import itertools
import random

from bench.fleet_model import ModelServer


class RandomPolicy:
    """Chooses a server at random."""

    def __init__(self, servers: list[ModelServer], seed: int) -> None:
        self._servers = servers
        self._random = random.Random(seed)

    def choose(self, now: float) -> ModelServer:
        """Return a random server."""
        return self._random.choice(self._servers)

    def record_end(self, server: ModelServer, seconds: float, now: float) -> None:
        """Ignore the end of a request."""

    def record_report(
        self, server: ModelServer, in_flight: int | None, now: float
    ) -> None:
        """Ignore the load report."""


class RoundRobinPolicy(RandomPolicy):
    """Chooses servers in turn; each node starts at a random server."""

    def __init__(self, servers: list[ModelServer], seed: int) -> None:
        super().__init__(servers, seed)
        start = self._random.randrange(len(servers))
        self._cycle = itertools.cycle(servers[start:] + servers[:start])

    def choose(self, now: float) -> ModelServer:
        """Return the next server."""
        return next(self._cycle)


class LowestReportPolicy(RandomPolicy):
    """Chooses the server with the lowest last load report; ties at random."""

    def __init__(self, servers: list[ModelServer], seed: int) -> None:
        super().__init__(servers, seed)
        self._reported_loads = {server.name: 0.0 for server in servers}

    def choose(self, now: float) -> ModelServer:
        """Return the server with the lowest reported load."""
        return min(
            self._servers,
            key=lambda s: (self._reported_loads[s.name], self._random.random()),
        )

    def record_report(
        self, server: ModelServer, in_flight: int | None, now: float
    ) -> None:
        """Store the load, unless the report is missing."""
        if in_flight is not None:
            self._reported_loads[server.name] = in_flight / server.slots
