"""Formats the trace of a request: text for a terminal, JSON for a pipe."""

import json
from dataclasses import asdict

from daisylift_admin.explain import LogLine, Story


def format_story(story: Story, *, as_json: bool) -> str:
    """Return the trace as text, which ends in a newline."""
    if as_json:
        return json.dumps(asdict(story), indent=2, default=str) + '\n'
    parts = [f'request {story.request_id}', *map(_text, story.own)]
    if story.context:
        parts += ['', 'state changes of these VMs at that time']
        parts += map(_text, story.context)
    if story.unreadable:
        parts += ['', f'{story.unreadable} lines could not be read']
    return '\n'.join(parts) + '\n'


def _text(line: LogLine) -> str:
    fields = ' '.join(f'{name}={value}' for name, value in line.fields.items())
    return f'{line.at.time()}  {line.vm:<18} {line.message:<28} {fields}'.rstrip()
