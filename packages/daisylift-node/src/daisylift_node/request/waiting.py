"""Attempts at backend servers, and the queue of requests that wait for one."""

import asyncio
from dataclasses import dataclass, field

from daisylift.decisions.configuration import ServerKey
from daisylift.decisions.routing import RoutingTable
from daisylift.models import BackendServer, Service
from daisylift_node.process.permits import Permit


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request at one backend server."""

    key: ServerKey
    server: BackendServer
    region: str
    permit: Permit
    connections: int


@dataclass(slots=True)
class Waiter:
    """A request that waits for a permit."""

    future: asyncio.Future[Attempt | None]
    excluded: frozenset[str]


@dataclass(slots=True)
class ServiceQueue:
    """The routing table of a service and its waiting requests, oldest first."""

    service: Service
    table: RoutingTable = field(default_factory=RoutingTable)
    servers_by_name: dict[str, BackendServer] = field(default_factory=dict)
    waiting: dict[int, Waiter] = field(default_factory=dict)
    recheck: asyncio.TimerHandle | None = None


def end_wait(waiter: Waiter, attempt: Attempt | None) -> None:
    """End a wait with an attempt or None, unless it has already ended."""
    if not waiter.future.done():
        waiter.future.set_result(attempt)


def end_all_waits(queue: ServiceQueue) -> None:
    """End all waits of a service that was removed, without an attempt."""
    for waiter in queue.waiting.values():
        end_wait(waiter, None)
