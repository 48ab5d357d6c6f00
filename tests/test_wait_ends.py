"""Tests that a request whose wait ends gives back the slot that it was just given."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response

WORK_SECONDS = 0.2
LONG_DEADLINE = {'Deadline-Milliseconds': '6000'}


@asynccontextmanager
async def _time_out_after_the_wait(*limits: float) -> AsyncIterator[None]:
    """End as a timeout does that expires in the turn in which the slot is given."""
    yield
    raise TimeoutError


async def test_a_slot_given_in_the_moment_of_the_timeout_does_not_stay_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    script = Script(http_response(b'ok', 'r-1'), after_seconds=WORK_SECONDS)
    async with ScriptedServer([script] * 3) as server, EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue', timeout_ms=6000))
        await harness.register(i_1=make_registration(server, slots=1))
        steering = harness.application.steering
        monkeypatch.setattr(steering._limits, 'limit', _time_out_after_the_wait)
        responses = await asyncio.gather(
            *(harness.send(headers=LONG_DEADLINE) for _ in range(2))
        )
        (entry,) = harness.application.view._entries_by_id.values()
        assert sorted(each.status for each in responses) == [200, 503]
        assert entry.stats.in_flight == 0
