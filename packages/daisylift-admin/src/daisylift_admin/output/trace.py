"""Formats the trace of a request: text for a terminal, JSON for a pipe."""

import json
from dataclasses import asdict

from daisylift_admin.explain import LogLine, RequestTrace


def format_trace(trace: RequestTrace, *, as_json: bool) -> str:
    """Return the trace as text, which ends in a newline."""
    if as_json:
        return json.dumps(asdict(trace), indent=2, default=str) + '\n'
    parts = [f'request {trace.request_id}', *map(_format_line, trace.own)]
    if trace.context:
        parts += ['', 'state changes of these VMs at that time']
        parts += map(_format_line, trace.context)
    if trace.unreadable:
        parts += ['', f'{trace.unreadable} lines could not be read']
    return '\n'.join(parts) + '\n'


def _format_line(line: LogLine) -> str:
    fields = ' '.join(f'{name}={value}' for name, value in line.fields.items())
    return f'{line.at.time()}  {line.vm:<18} {line.message:<28} {fields}'.rstrip()
