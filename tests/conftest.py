"""Fixtures shared by the tests."""

from collections.abc import Iterator

import pytest
from loguru import logger

from daisylift_node.process.logs import JsonLines
from tests.utils import LogCapture


@pytest.fixture
def logs() -> Iterator[LogCapture]:
    """Return the log lines that are written during the test."""
    capture = LogCapture()
    sink = logger.add(JsonLines(capture.stream))
    yield capture
    logger.remove(sink)
