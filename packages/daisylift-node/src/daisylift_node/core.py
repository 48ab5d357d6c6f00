"""The node's program: parses arguments, checks the settings, runs until stopped."""

import gc
import sys

import aiomisc
from absl import flags

from daisylift.models.policy import MAX_ANSWER_TTL_SECONDS
from daisylift_node.cli import DESCRIPTION, define_flags, settings_path
from daisylift_node.config import Settings, load_settings
from daisylift_node.context import Environment
from daisylift_node.entry_config import is_entry_settings
from daisylift_node.entry_core import run_entry
from daisylift_node.errors import SettingsError, StartError
from daisylift_node.process.application import Application
from daisylift_node.process.logs import capture_library_logs, configure_logs
from daisylift_node.process.service import ApplicationService
from daisylift_node.status import ExitStatus

STOP_MARGIN_SECONDS = 10.0


def main(arguments: list[str], environment: Environment) -> ExitStatus:
    """Run the program; the first argument is the program name."""
    values = define_flags()
    try:
        rest = values(arguments)
    except flags.Error as error:
        environment.print_error(str(error))
        return ExitStatus.USAGE
    if values.help:
        environment.stdout.write(f'{DESCRIPTION}\n{values.get_help()}\n')
        return ExitStatus.SUCCESS
    path = settings_path(values)
    if path is None or len(rest) > 1:
        environment.print_error('give --settings FILE and nothing else; see --help')
        return ExitStatus.USAGE
    if is_entry_settings(path):
        return run_entry(path, environment, check_only=values.check)
    try:
        settings = load_settings(path)
    except SettingsError as error:
        environment.print_error(str(error))
        return ExitStatus.SETTINGS
    if values.check:
        environment.stdout.write(f'{path}: the settings are fine\n')
        return ExitStatus.SUCCESS
    return _serve(settings, environment)


def run() -> None:
    """Run the program with the command line arguments and exit."""
    sys.exit(main(sys.argv, Environment()))


def _serve(settings: Settings, environment: Environment) -> ExitStatus:
    configure_logs(settings.log, environment.stderr, vm=settings.vm.id)
    capture_library_logs()
    service = ApplicationService(application=Application(settings))
    stop_seconds = (
        max(settings.stop.announce_seconds, MAX_ANSWER_TTL_SECONDS)
        + settings.stop.finish_seconds
        + STOP_MARGIN_SECONDS
    )
    gc.freeze()
    try:
        with aiomisc.entrypoint(
            service,
            log_config=False,
            shutdown_timeout=stop_seconds + STOP_MARGIN_SECONDS,
            pool_size=2,
        ) as loop:
            loop.run_forever()
    except StartError as error:
        environment.print_error(str(error))
        return ExitStatus.ERROR
    return ExitStatus.SUCCESS
