"""Decides whether a non-idempotent request runs, waits, is replayed or refused."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from daisylift_node.request.call import Call
from daisylift_node.request.ending import Ending

Serve = Callable[[Call], Awaitable[Ending]]


class Guard(Protocol):
    """Stands between the checked call and its execution."""

    async def run(self, call: Call, serve: Serve) -> Ending:
        """Serve the call, at most once for its key, or end it otherwise."""


class OpenGuard:
    """Serves every call."""

    async def run(self, call: Call, serve: Serve) -> Ending:
        """Serve the call."""
        return await serve(call)
