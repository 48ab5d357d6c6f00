"""The program of an entry VM on the platform: checks the settings, runs until stopped.

The platform passes the path of the settings in the variable ``DAISYLIFT_CONFIG``;
operators start or check the program with ``daisyliftd --settings FILE``.
"""

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path

import uvloop
from loguru import logger

from daisylift_node.context import Environment
from daisylift_node.entry_config import EntrySettings, load_entry_settings
from daisylift_node.errors import SettingsError, StartError
from daisylift_node.process.bounded_lines import BoundedLines
from daisylift_node.process.entry_application import EntryApplication
from daisylift_node.process.logs import JsonLines, capture_library_logs
from daisylift_node.status import ExitStatus

SETTINGS_VARIABLE = 'DAISYLIFT_CONFIG'
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main(environment: Environment) -> ExitStatus:
    """Run an entry VM with the settings file named by DAISYLIFT_CONFIG."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        environment.print_error(f'{SETTINGS_VARIABLE} names no settings file')
        return ExitStatus.USAGE
    return run_entry(Path(path), environment)


def run_entry(
    path: Path, environment: Environment, *, check_only: bool = False
) -> ExitStatus:
    """Run an entry VM with the settings, or only check them."""
    try:
        settings = load_entry_settings(path)
    except SettingsError as error:
        environment.print_error(str(error))
        return ExitStatus.SETTINGS
    if check_only:
        environment.stdout.write(f'{path}: the settings are fine\n')
        return ExitStatus.SUCCESS
    lines = BoundedLines(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={'vm': settings.vm.id})
    logger.add(JsonLines(lines), level=settings.log.level)
    capture_library_logs()
    gc.freeze()
    try:
        uvloop.run(_serve(settings, lines, path))
    except (OSError, StartError) as error:
        environment.print_error(f'cannot start: {error}')
        return ExitStatus.ERROR
    return ExitStatus.SUCCESS


async def _serve(settings: EntrySettings, lines: BoundedLines, path: Path) -> None:
    try:
        await _run_until_stopped(settings, lines, path)
    finally:
        _ignore_signals()


def _ignore_signals() -> None:
    """Let nothing but SIGKILL end the rest of the process.

    The event loop gives the signals that it handles their default actions when it
    closes; they are blocked while they change hands.
    """
    numbers = (*STOP_SIGNALS, signal.SIGHUP)
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    loop = asyncio.get_running_loop()
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


async def _run_until_stopped(
    settings: EntrySettings, lines: BoundedLines, path: Path
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    application = EntryApplication(settings, lines)
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, application, path)
    try:
        has_started = await _start_unless_stopped(application, stopping)
    except BaseException:
        await application.close()
        raise
    if not has_started:
        logger.info('stopped before all ports were open')
        await application.close()
        return
    await stopping.wait()
    await application.stop()


async def _start_unless_stopped(
    application: EntryApplication, stopping: asyncio.Event
) -> bool:
    """Start the application; return False if a stop came before it had its ports."""
    starting = asyncio.ensure_future(application.start())
    stopped = asyncio.ensure_future(stopping.wait())
    await asyncio.wait((starting, stopped), return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if starting.done():
        starting.result()
        return True
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)
    return False


def _reload(application: EntryApplication, path: Path) -> None:
    try:
        application.reload(load_entry_settings(path))
    except SettingsError as error:
        logger.error('settings not reloaded, keeping the previous ones: {}', error)


def run() -> None:
    """Run the program with the settings named by the environment and exit."""
    sys.exit(main(Environment()))
