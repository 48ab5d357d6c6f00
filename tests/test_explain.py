"""Tests of `daisylift explain`, which builds a request trace from logs."""

import io
import json
from pathlib import Path
from typing import Any

import pytest

from daisylift_admin import core
from daisylift_admin.context import Environment
from daisylift_admin.explain import build_trace
from daisylift_admin.status import ExitStatus


def make_line(second: float, message: str, vm: str = 'entry-1', **fields: Any) -> str:
    return json.dumps(
        {
            'time': f'2026-12-04T09:00:{second:09.6f}+00:00',
            'level': 'INFO',
            'message': message,
            'module': 'daisylift_node.request.steering',
            'vm': vm,
            **fields,
        }
    )


LOST = make_line(10.1, 'response lost', request_id='r1', server='i-1', reason='reset')
FAILED = make_line(10.2, 'failed', request_id='r1', server='i-1', status=502)
OTHER = make_line(10.15, 'answered', request_id='r2', server='i-2', status=200)
LEAVES = make_line(8.0, 'server leaves', server='i-1')
LONG_BEFORE = make_line(2.0, 'store unreachable', kind='config')
ELSEWHERE = make_line(9.0, 'store unreachable', vm='entry-2', kind='config')
LOG = [FAILED, OTHER, LONG_BEFORE, LEAVES, 'no log line', LOST, ELSEWHERE, '']


def test_trace_has_the_requests_lines_in_order_and_their_context() -> None:
    trace = build_trace('r1', LOG)
    assert [line.message for line in trace.own] == ['response lost', 'failed']
    assert [line.message for line in trace.context] == ['server leaves']
    assert trace.unreadable == 1


def test_prefix_of_a_log_collector_is_ignored() -> None:
    trace = build_trace('r1', [f'  10.2000 entry-1 {FAILED}'])
    assert [line.fields['status'] for line in trace.own] == [502]


@pytest.mark.parametrize('text', ['{', '{"time": 1}', '[]', '{"message": "x"}', '\x00'])
def test_unreadable_lines_are_counted(text: str) -> None:
    trace = build_trace('r1', [text, LOST])
    assert (len(trace.own), trace.unreadable) == (1, 1)


def run(words: list[str], stdin: str = '') -> tuple[ExitStatus, str, str]:
    environment = Environment(
        stdin=io.StringIO(stdin),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        variables={},
    )
    status = core.main(['daisylift', *words], environment)
    return status, environment.stdout.getvalue(), environment.stderr.getvalue()


def test_explain_reads_files_and_needs_no_key(tmp_path: Path) -> None:
    first, second = tmp_path / 'one.log', tmp_path / 'two.log'
    first.write_text('\n'.join(LOG))
    second.write_text(make_line(11.0, 'answered', vm='entry-2', request_id='r1') + '\n')
    status, output, _ = run(['explain', 'r1', str(first), str(second)])
    assert status is ExitStatus.SUCCESS
    assert [line['vm'] for line in json.loads(output)['own']] == [
        'entry-1',
        'entry-1',
        'entry-2',
    ]


def test_explain_reads_standard_input() -> None:
    status, output, _ = run(['explain', 'r1'], '\n'.join(LOG))
    assert status is ExitStatus.SUCCESS
    assert 'response lost' in output


@pytest.mark.parametrize(
    ('words', 'status', 'message'),
    [
        (['explain'], ExitStatus.USAGE, 'explain needs a request id'),
        (['explain', 'r9'], ExitStatus.ERROR, "no log line has request id 'r9'"),
        (['explain', 'r1', '/does/not/exist'], ExitStatus.ERROR, 'cannot read log'),
    ],
)
def test_errors_are_one_line(
    words: list[str], status: ExitStatus, message: str
) -> None:
    got, output, errors = run(words)
    assert (got, output) == (status, '')
    assert errors.startswith('daisylift: error: ')
    assert message in errors
    assert errors.count('\n') == 1


class Terminal(io.StringIO):
    """A stream that reports to be a terminal."""

    def isatty(self) -> bool:
        return True


def test_terminal_gets_text() -> None:
    stdout = Terminal()
    environment = Environment(
        stdin=io.StringIO('\n'.join(LOG)), stdout=stdout, variables={}
    )
    assert core.main(['daisylift', 'explain', 'r1'], environment) is ExitStatus.SUCCESS
    text = stdout.getvalue().splitlines()
    assert text[0] == 'request r1'
    assert text[1].startswith('09:00:10.100000  entry-1')
    assert 'server=i-1 reason=reset' in text[1]
    assert text[-1] == '1 lines could not be read'
