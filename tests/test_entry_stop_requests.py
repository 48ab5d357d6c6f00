"""Requests under way at a planned stop are served or refused before they are cut.

The failure: bodies, pipelined requests and waits for a slot that went on at half of the
grace period ended with the process, without an answer.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response

GRACE_SECONDS = 3.0
ACCEPT_SECONDS = 1.5  # then the listener closes, and the last pass is over
LONG_MS, SHORT_MS = 15000, 2400
WORK_SECONDS = 0.4
BODY = b'x' * 600
PIECES = 3
NEVER = None
FRAMINGS = {
    'length': f'Content-Length: {len(BODY)}\r\n',
    'expect': f'Content-Length: {len(BODY)}\r\nExpect: 100-continue\r\n',
    'chunked': 'Transfer-Encoding: chunked\r\n',
}


@asynccontextmanager
async def a_stopping_vm(
    work_seconds: float = 0.0, slots: int = 4, count: int = 4
) -> AsyncIterator[tuple[EntryHarness, ScriptedServer]]:
    """Yield a VM whose server takes ``work_seconds`` for each response."""
    scripts = [
        Script(http_response(b'done', 'r'), after_seconds=work_seconds)
        for number in range(count)
    ]
    async with (
        ScriptedServer(scripts) as server,
        EntryHarness(grace_seconds=GRACE_SECONDS) as harness,
    ):
        rule = make_rule('/x/', 'catalogue', 'unsafe', timeout_ms=5000)
        await harness.configure(1, rule)
        await harness.register(i_1=make_registration(server, slots=slots))
        yield harness, server


def head(number: int = 1, deadline_ms: int = LONG_MS, framing: str = '') -> bytes:
    return (
        f'POST /x/{number} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\n'
        f'Deadline-Milliseconds: {deadline_ms}\r\n{framing}\r\n'
    ).encode()


async def connect(
    harness: EntryHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    assert harness.application is not None
    address = harness.application.settings.listen.caller
    return await asyncio.open_connection(address.host, address.port)


async def stop(harness: EntryHarness) -> float:
    """Stop the VM and return how long that took, in seconds."""
    assert harness.application is not None
    clock = asyncio.get_running_loop().time
    started = clock()
    await harness.application.stop()
    return clock() - started


def statuses(answer: bytes) -> list[int]:
    return [int(part[:3]) for part in answer.split(b'HTTP/1.1 ')[1:]]


BODIES = [
    (framing, *case)
    for framing in FRAMINGS
    for case in (
        (LONG_MS, 0.8 * ACCEPT_SECONDS, 200),
        (LONG_MS, 1.1 * ACCEPT_SECONDS, 503),
        (LONG_MS, 1.6 * ACCEPT_SECONDS, 503),
        (LONG_MS, NEVER, 503),
        (SHORT_MS, 1.1 * ACCEPT_SECONDS, 200),
        (SHORT_MS, NEVER, 503),
    )
]


async def send_body(
    writer: asyncio.StreamWriter, framing: str, ends_after: float | None
) -> None:
    """Send the body in pieces; only the first one if it never ends."""
    is_chunked = framing == 'chunked'
    size = len(BODY) // PIECES
    for index in range(1 if ends_after is NEVER else PIECES):
        await asyncio.sleep((ends_after or ACCEPT_SECONDS) / PIECES)
        piece = BODY[index * size : (index + 1) * size]
        writer.write(b'c8\r\n%s\r\n' % piece if is_chunked else piece)
    if is_chunked and ends_after is not NEVER:
        writer.write(b'0\r\n\r\n')


async def test_bodies_on_their_way_at_a_stop_are_run_or_refused() -> None:
    """They end before and after half of the grace period, or never."""
    async with a_stopping_vm(count=len(BODIES), slots=len(BODIES)) as (harness, server):
        connections = [await connect(harness) for _ in BODIES]
        for number, (framing, deadline_ms, _, _) in enumerate(BODIES):
            writer = connections[number][1]
            writer.write(head(number, deadline_ms, FRAMINGS[framing]))
        await asyncio.sleep(0.02)
        stopping = asyncio.create_task(stop(harness))
        sending = [
            asyncio.create_task(send_body(writer, framing, ends_after))
            for (_, writer), (framing, _, ends_after, _) in zip(
                connections, BODIES, strict=True
            )
        ]
        answers = [await reader.read() for reader, _ in connections]
        assert await stopping < GRACE_SECONDS
        await asyncio.gather(*sending)
        for _, writer in connections:
            writer.close()
    for answer, case in zip(answers, BODIES, strict=True):
        final = [each for each in statuses(answer) if each != 100]
        assert final == [case[-1]], case
    ran = [b'POST /x/%d ' % n for n, case in enumerate(BODIES) if case[-1] == 200]
    assert sorted(each[: each.index(b' H') + 1] for each in server.requests) == sorted(
        ran
    )


async def test_pipelined_requests_read_before_a_stop_all_get_answers() -> None:
    """The first is at work when the listener closes; the others were read before."""
    async with a_stopping_vm(WORK_SECONDS) as (harness, server):
        reader, writer = await connect(harness)
        stopping = asyncio.create_task(stop(harness))
        await asyncio.sleep(0.8 * ACCEPT_SECONDS)
        writer.write(b''.join(head(number) for number in (1, 2, 3)))
        answer = await reader.read()
        assert await stopping < GRACE_SECONDS
        writer.close()
    assert statuses(answer) == [200, 503, 503]
    assert answer.count(b'Connection: close') == 1
    assert len(server.requests) == 1


@pytest.mark.parametrize('waits_before', [False, True])
async def test_a_request_that_waits_for_a_slot_is_refused_when_the_last_pass_ends(
    waits_before: bool,
) -> None:
    """The server's only slot is taken until after the end of the process."""
    async with a_stopping_vm(2 * GRACE_SECONDS, slots=1) as (harness, server):
        first = await connect(harness)
        first[1].write(head(1))
        await asyncio.sleep(0.05)
        if waits_before:
            reader, writer = await connect(harness)
            writer.write(head(2))
            await asyncio.sleep(0.05)
        stopping = asyncio.create_task(stop(harness))
        if not waits_before:
            reader, writer = await connect(harness)
            writer.write(head(2))
        clock = asyncio.get_running_loop().time
        started = clock()
        answer = await reader.read()
        assert clock() - started == pytest.approx(ACCEPT_SECONDS, abs=0.2)
        assert statuses(answer) == [503]
        assert await stopping < GRACE_SECONDS
        for _, each in (first, (reader, writer)):
            each.close()
    assert len(server.requests) == 1


@pytest.mark.parametrize('completed_after', [1.3 * ACCEPT_SECONDS, NEVER])
async def test_a_head_read_in_part_at_a_stop_is_refused(
    completed_after: float | None,
) -> None:
    async with a_stopping_vm() as (harness, server):
        reader, writer = await connect(harness)
        writer.write(head()[:40])
        await asyncio.sleep(0.02)
        stopping = asyncio.create_task(stop(harness))
        if completed_after is not NEVER:
            await asyncio.sleep(completed_after)
            writer.write(head()[40:])
        answer = await reader.read()
        assert await stopping < GRACE_SECONDS
        writer.close()
    assert statuses(answer) == [503]
    assert not server.requests


async def test_a_body_that_stalls_is_refused_at_its_time_limit() -> None:
    """Without a stop; the request was held until its caller left."""
    async with a_stopping_vm() as (harness, _):
        reader, writer = await connect(harness)
        writer.write(head(1, 300, FRAMINGS['length']) + BODY[:200])
        async with asyncio.timeout(1.0):
            answer = await reader.readuntil(b'\r\n\r\n')
        assert statuses(answer) == [503]
        writer.close()


async def test_idle_connections_do_not_prolong_a_stop() -> None:
    async with a_stopping_vm() as (harness, _):
        connections = [await connect(harness) for _ in itertools.repeat(None, 3)]
        assert await stop(harness) < ACCEPT_SECONDS + 0.3
        for reader, writer in connections:
            assert await reader.read() == b''
            writer.close()
