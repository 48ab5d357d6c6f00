"""Builds the trace of one request from the logs of entry VMs.

Logs are JSON objects, one per line, of any number of VMs in any order. Text before the
object on a line, such as the prefix of a log collector, is ignored.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

# State changes more than 5 s before a request have usually taken effect by then.
CONTEXT_BEFORE = timedelta(seconds=5)
HIDDEN_FIELDS = frozenset({'time', 'vm', 'message', 'level', 'module', 'request_id'})


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a log; ``fields`` are the bound values except time, VM and message."""

    at: datetime
    vm: str
    message: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The log lines about one request.

    ``own`` are the lines with the id of the request. ``context`` are lines of the same
    VMs without a request id, such as changes of their state, from 5 s before the first
    line of the request to its last. Both are in the order of time. ``unreadable`` is
    the number of lines that are not valid log lines.
    """

    request_id: str
    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    unreadable: int


def build_trace(request_id: str, lines: Iterable[str]) -> RequestTrace:
    """Return the trace of the request from the log lines."""
    own: list[LogLine] = []
    state_lines: list[LogLine] = []
    unreadable = 0
    for text in lines:
        document = _parse_document(text)
        if document is None:
            unreadable += bool(text.strip())
            continue
        line = _parse_line(document)
        if line is None:
            unreadable += 1
        elif document.get('request_id') == request_id:
            own.append(line)
        elif 'request_id' not in document:
            state_lines.append(line)
    own.sort(key=lambda line: line.at)
    return RequestTrace(
        request_id, tuple(own), _context_lines(own, state_lines), unreadable
    )


def _context_lines(
    own: list[LogLine], state_lines: list[LogLine]
) -> tuple[LogLine, ...]:
    if not own:
        return ()
    vms = {line.vm for line in own}
    start, end = own[0].at - CONTEXT_BEFORE, own[-1].at
    in_range = [
        line for line in state_lines if line.vm in vms and start <= line.at <= end
    ]
    return tuple(sorted(in_range, key=lambda line: line.at))


def _parse_document(text: str) -> dict[str, Any] | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
    except (RecursionError, ValueError):
        return None
    return document if isinstance(document, dict) else None


def _parse_line(document: dict[str, Any]) -> LogLine | None:
    try:
        at = datetime.fromisoformat(document['time'])
        message = str(document['message'])
    except (KeyError, TypeError, ValueError):
        return None
    fields = {k: v for k, v in document.items() if k not in HIDDEN_FIELDS}
    return LogLine(at, str(document.get('vm', '')), message, fields)
