"""The operators' command: parses arguments, calls a node and prints the reply."""

import asyncio
import sys
from collections.abc import Iterator
from pathlib import Path

from absl import flags

from daisylift_admin.cli import DESCRIPTION, KEY_VARIABLE, define_flags
from daisylift_admin.client import OperatorClient
from daisylift_admin.commands import ChangeOptions, run_command
from daisylift_admin.context import Environment
from daisylift_admin.errors import AdminError
from daisylift_admin.explain import build_trace
from daisylift_admin.output import (
    Formatter,
    JsonFormatter,
    TextFormatter,
    format_placement,
    format_trace,
)
from daisylift_admin.status import ExitStatus
from daisylift_admin.where import PlacementQuestion, fetch_report

EXPLAIN = 'explain'
WHERE = 'where'


def main(arguments: list[str], environment: Environment) -> ExitStatus:
    """Run the command; the first argument is the program name."""
    values = define_flags()
    try:
        _, *words = values(arguments)
    except flags.Error as error:
        environment.print_error(str(error))
        return ExitStatus.USAGE
    if values.help or not words:
        environment.stdout.write(f'{DESCRIPTION}\n{values.get_help()}\n')
        return ExitStatus.SUCCESS if values.help else ExitStatus.USAGE
    try:
        if words[0] == EXPLAIN:
            text = _explain(words[1:], values, environment)
        elif words[0] == WHERE:
            text = _where(words[1:], values, environment)
        else:
            text = asyncio.run(_run(words, values, environment))
    except AdminError as error:
        environment.print_error(str(error))
        return error.status
    environment.stdout.write(text)
    return ExitStatus.SUCCESS


def run() -> None:
    """Run the command with the command line arguments and exit."""
    sys.exit(main(sys.argv, Environment()))


def _explain(
    words: list[str], values: flags.FlagValues, environment: Environment
) -> str:
    if not words:
        raise AdminError('explain needs a request id', ExitStatus.USAGE)
    request_id, *paths = words
    try:
        lines = _read_lines(paths) if paths else environment.stdin
        trace = build_trace(request_id, lines)
    except OSError as error:
        raise AdminError(f'cannot read log: {error}') from error
    if not trace.own:
        raise AdminError(f'no log line has request id {request_id!r}')
    as_json = values.json or not environment.stdout_is_terminal
    return format_trace(trace, as_json=as_json)


def _where(words: list[str], values: flags.FlagValues, environment: Environment) -> str:
    if len(words) != 2:
        raise AdminError('where needs a host and a path', ExitStatus.USAGE)
    question = PlacementQuestion(
        host=words[0],
        path=words[1],
        tenant=values.tenant,
        failure_domain=values.failure_domain,
        object_key=values.object,
    )
    report = asyncio.run(fetch_report(values.vm, question))
    as_json = values.json or not environment.stdout_is_terminal
    return format_placement(report, as_json=as_json)


def _read_lines(paths: list[str]) -> Iterator[str]:
    for path in paths:
        with Path(path).open(encoding='utf-8', errors='replace') as log:
            yield from log


async def _run(
    words: list[str], values: flags.FlagValues, environment: Environment
) -> str:
    key = environment.variables.get(KEY_VARIABLE, '')
    if not key:
        raise AdminError(f'set {KEY_VARIABLE} to the shared key', ExitStatus.USAGE)
    if not (key.isascii() and key.isprintable()):
        raise AdminError(
            f'{KEY_VARIABLE} may hold printable ASCII only', ExitStatus.USAGE
        )
    options = ChangeOptions(
        base_version=values.base_version,
        operation_id=values.operation_id,
        target_share=values.target_share,
    )
    async with OperatorClient(values.node, key) as client:
        reply = await run_command(words, client, options)
    return _formatter(values, environment).format(reply)


def _formatter(values: flags.FlagValues, environment: Environment) -> Formatter:
    if values.json or not environment.stdout_is_terminal:
        return JsonFormatter()
    return TextFormatter()
