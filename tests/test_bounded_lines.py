"""Tests that log lines never block and stay bounded, even if nobody reads them."""

import json
import os
import select
from collections.abc import Iterator

import pytest
from loguru import logger

from daisylift_node.process import bounded_lines
from daisylift_node.process.bounded_lines import BoundedLines
from daisylift_node.process.logs import JsonLines


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


async def test_lines_arrive_in_order(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    lines = BoundedLines(writer)
    for number in range(100):
        lines.write(f'{number}\n')
    await lines.drain()
    assert os.read(reader, 65536).decode().split() == [str(n) for n in range(100)]


async def test_a_stuck_reader_drops_lines_without_blocking(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(bounded_lines, 'MAX_LINES', 50)
    reader, writer = pipe
    lines = BoundedLines(writer)
    for _ in range(200):
        lines.write('x' * 4000 + '\n')
        await lines.drain()
    assert lines.dropped > 0
    received = b''
    while len(received) < 60_000:
        received += os.read(reader, 65536)
        await lines.drain()
    assert set(received) == {ord('x'), ord('\n')}


async def test_a_closed_reader_is_no_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    lines = BoundedLines(writer)
    lines.write('lost\n')
    await lines.drain()
    assert lines.dropped == 1
    os.close(writer)


async def test_a_decision_is_one_json_line(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    lines = BoundedLines(writer)
    sink = logger.add(JsonLines(lines), level='INFO')
    try:
        logger.bind(request_id='r-1', reason='overloaded').info('refused')
    finally:
        logger.remove(sink)
    await lines.drain()
    line = json.loads(os.read(reader, 65536))
    assert line['message'] == 'refused'
    assert (line['request_id'], line['reason']) == ('r-1', 'overloaded')


async def test_each_write_has_complete_lines_and_is_atomic(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Lines split over two writes would be torn, or mixed with other writers' lines."""
    reading, writing = os.pipe()
    writes: list[bytes] = []

    def write(descriptor: int, data: bytes) -> int:
        assert descriptor == writing
        writes.append(data)
        return len(data)

    monkeypatch.setattr(os, 'write', write)
    lines = BoundedLines(writing)
    for number in range(100):
        lines.write(f'{number} {"x" * 400}\n')
    lines.write('y' * 9000 + '\n')
    await lines.drain()
    monkeypatch.undo()
    os.close(reading)
    os.close(writing)
    assert all(data.endswith(b'\n') for data in writes)
    assert all(len(data) <= select.PIPE_BUF for data in writes[:-1])
    assert b''.join(writes).count(b'\n') == 101
