"""Structured logs, as text for people or as JSON for machines."""

import sys
from typing import TextIO

from loguru import logger

from daisylift_node.config import LogSettings

TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message} {extra}'


def configure_logs(settings: LogSettings, stream: TextIO = sys.stderr) -> None:
    """Send the log to the stream in the form that the settings ask for."""
    logger.remove()
    logger.add(
        stream,
        level=settings.level,
        format=TEXT_FORMAT,
        serialize=settings.format == 'json',
        backtrace=False,
        diagnose=False,
    )
