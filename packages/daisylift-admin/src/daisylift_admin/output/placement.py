"""Formats where a request would go: text for a terminal, JSON for a pipe."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

MAX_SERVERS_SHOWN = 20  # of each service; JSON has all of them
INDENT = '  '


def format_placement(report: Mapping[str, Any], *, as_json: bool) -> str:
    """Return the report as text, which ends in a newline."""
    if as_json:
        return json.dumps(report, indent=2) + '\n'
    lines = [_headline(report), *_facts(report)]
    for service in report.get('services', ()):
        lines += ['', *_service_lines(service)]
    return '\n'.join(lines) + '\n'


def _headline(report: Mapping[str, Any]) -> str:
    return (
        f'{report.get("host")}{report.get("path")} at {report.get("vm")} '
        f'({report.get("failure_domain")}): {report.get("verdict")}'
    )


def _facts(report: Mapping[str, Any]) -> Iterable[str]:
    for name in ('reason', 'version', 'servers_at', 'store', 'entry_vms'):
        value = report.get(name)
        if value not in (None, '', []):
            yield f'{INDENT}{name}: {_text(value)}'
    for name in ('route', 'tenant'):
        if isinstance(value := report.get(name), Mapping):
            yield f'{INDENT}{name}: {_fields(value)}'


def _service_lines(service: Mapping[str, Any]) -> list[str]:
    shown = {k: v for k, v in service.items() if k not in ('service', 'servers')}
    lines = [f'{service.get("service")}: {_fields(shown)}']
    servers = service.get('servers', ())
    lines += [_server_line(each) for each in servers[:MAX_SERVERS_SHOWN]]
    if len(servers) > MAX_SERVERS_SHOWN:
        lines.append(f'{INDENT}... {len(servers) - MAX_SERVERS_SHOWN} more')
    return lines


def _server_line(server: Mapping[str, Any]) -> str:
    mark = '>' if server.get('chosen') else ' '
    excluded = server.get('excluded')
    finish = server.get('finish_seconds')
    verdict = f'not eligible: {excluded}' if excluded else 'eligible'
    if finish is not None:
        verdict += f', ends in {finish:.3f} s'
    hidden = ('id', 'chosen', 'excluded', 'finish_seconds')
    fields = _fields({k: v for k, v in server.items() if k not in hidden})
    return f'{mark} {server.get("id"):<20} {verdict:<32} {fields}'


def _fields(values: Mapping[str, Any]) -> str:
    return ' '.join(
        f'{name}={_text(value)}' for name, value in values.items() if value is not None
    )


def _text(value: Any) -> str:
    if isinstance(value, list):
        return ','.join(map(str, value))
    return f'{value:.4g}' if isinstance(value, float) else str(value)
