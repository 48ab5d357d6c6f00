"""Baselines for the choice of a server: no permits, only what each names."""

import itertools
import random

from bench.fleet_model import ModelServer


class RandomChoice:
    """Any server."""

    def __init__(self, servers: list[ModelServer], seed: int) -> None:
        self._servers = servers
        self._random = random.Random(seed)

    def choose(self, now: float) -> ModelServer:
        """Return any server."""
        return self._random.choice(self._servers)

    def ended(self, server: ModelServer, seconds: float, now: float) -> None:
        """Ignore the end."""

    def reported(self, server: ModelServer, in_flight: int | None, now: float) -> None:
        """Ignore the report."""


class RoundRobin(RandomChoice):
    """One server after the other, each node from a place of its own."""

    def __init__(self, servers: list[ModelServer], seed: int) -> None:
        super().__init__(servers, seed)
        start = self._random.randrange(len(servers))
        self._turns = itertools.cycle(servers[start:] + servers[:start])

    def choose(self, now: float) -> ModelServer:
        """Return the next server."""
        return next(self._turns)


class LeastKnownLoad(RandomChoice):
    """The server whose last report was the lowest, as told every period."""

    def __init__(self, servers: list[ModelServer], seed: int) -> None:
        super().__init__(servers, seed)
        self._known = {server.name: 0.0 for server in servers}

    def choose(self, now: float) -> ModelServer:
        """Return the least loaded by the reports."""
        return min(
            self._servers, key=lambda s: (self._known[s.name], self._random.random())
        )

    def reported(self, server: ModelServer, in_flight: int | None, now: float) -> None:
        """Keep the report."""
        if in_flight is not None:
            self._known[server.name] = in_flight / server.slots
