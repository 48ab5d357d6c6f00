"""Helpers that build test data and wait for conditions."""

import asyncio
import io
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

WAIT_POLLS = 4000
POLL_SECONDS = 0.005


@dataclass(slots=True)
class LogCapture:
    """The log lines of a test, as JSON on ``stream``."""

    stream: io.StringIO = field(default_factory=io.StringIO)

    @property
    def lines(self) -> list[dict[str, Any]]:
        """Return all lines so far."""
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def with_message(self, text: str) -> list[dict[str, Any]]:
        """Return the lines whose message contains the text."""
        return [line for line in self.lines if text in line['message']]

    def first(self, text: str) -> dict[str, Any]:
        """Return the first line whose message contains the text."""
        found = self.with_message(text)
        assert found, f'no line contains {text!r}'
        return found[0]


def policy_document() -> dict[str, Any]:
    """Return a small valid policy: two regions, one service, three ordinals."""
    servers = [
        {
            'name': f'till-{number}',
            'host': '127.0.0.1',
            'port': 9000 + number,
            'failure_domain': domain,
            'slots': 4,
            'connections': 8,
        }
        for number, domain in enumerate(('arusha-1', 'arusha-2', 'dar-1'))
    ]
    return {
        'failure_domains': [
            {'name': 'arusha-1', 'region': 'arusha'},
            {'name': 'arusha-2', 'region': 'arusha'},
            {'name': 'dar-1', 'region': 'dar'},
        ],
        'roster': [
            {'ordinal': 0, 'failure_domain': 'arusha-1'},
            {'ordinal': 1, 'failure_domain': 'arusha-2'},
            {'ordinal': 2, 'failure_domain': 'dar-1'},
        ],
        'services': [{'name': 'till', 'servers': servers}],
    }


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until the condition is true; fail the test after WAIT_POLLS polls."""
    for _ in range(WAIT_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_SECONDS)
    raise AssertionError(f'condition not met after {WAIT_POLLS} polls')
