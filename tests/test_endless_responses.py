"""Tests that bytes without end from servers stay inside the memory of an entry VM.

A body that was broken off stayed in memory with the error of its request, while its
bytes no longer counted; bytes that are no body never counted. The process ran out of
memory, and the requests of all callers ended with it.
"""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator

import pytest

from daisylift.decisions.buffered_bytes import (
    REQUEST_MEMORY_SHARE,
    RESPONSE_MEMORY_SHARE,
)
from tests.fakes.endless_caller import ROUNDS
from tests.fakes.endless_server import OPENING_BY_KIND

MEMORY_BYTES = 300 * 1024 * 1024  # of the smallest VM of kanga-lift
REQUESTS = 200


@contextlib.asynccontextmanager
async def run(module: str, *arguments: str) -> AsyncIterator[asyncio.StreamReader]:
    """Run a module as a process, and return its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-m', module, *arguments, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    try:
        yield process.stdout
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


@pytest.mark.parametrize('kind', sorted(OPENING_BY_KIND))
async def test_responses_without_end_stay_inside_the_memory(kind: str) -> None:
    limit_bytes = int(RESPONSE_MEMORY_SHARE * MEMORY_BYTES)
    async with run('tests.fakes.endless_server', kind) as server:
        port = (await server.readline()).decode().strip()
        arguments = (port, str(REQUESTS), str(limit_bytes))
        async with run('tests.fakes.endless_caller', *arguments) as caller:
            peak, lost = map(int, (await caller.read()).split())
    assert lost == ROUNDS * REQUESTS
    assert peak < (1.0 - REQUEST_MEMORY_SHARE) * MEMORY_BYTES
