"""Baseline policies for choosing a server; none of them uses permits."""

import itertools
import random

from bench.fleet_model import ModelServer


class RandomChoice:
    """Chooses a server at random."""

    def __init__(self, servers: list[ModelServer], seed: int) -> None:
        self._servers = servers
        self._random = random.Random(seed)

    def choose(self, now: float) -> ModelServer:
        """Return a random server."""
        return self._random.choice(self._servers)

    def ended(self, server: ModelServer, seconds: float, now: float) -> None:
        """Ignore the end of a request."""

    def reported(self, server: ModelServer, in_flight: int | None, now: float) -> None:
        """Ignore the load report."""


class RoundRobin(RandomChoice):
    """Chooses servers in turn; each node starts at a random server."""

    def __init__(self, servers: list[ModelServer], seed: int) -> None:
        super().__init__(servers, seed)
        start = self._random.randrange(len(servers))
        self._turns = itertools.cycle(servers[start:] + servers[:start])

    def choose(self, now: float) -> ModelServer:
        """Return the next server."""
        return next(self._turns)


class LeastKnownLoad(RandomChoice):
    """Chooses the server with the lowest last load report; ties at random."""

    def __init__(self, servers: list[ModelServer], seed: int) -> None:
        super().__init__(servers, seed)
        self._known = {server.name: 0.0 for server in servers}

    def choose(self, now: float) -> ModelServer:
        """Return the server with the lowest reported load."""
        return min(
            self._servers, key=lambda s: (self._known[s.name], self._random.random())
        )

    def reported(self, server: ModelServer, in_flight: int | None, now: float) -> None:
        """Store the load, unless the report is missing."""
        if in_flight is not None:
            self._known[server.name] = in_flight / server.slots
