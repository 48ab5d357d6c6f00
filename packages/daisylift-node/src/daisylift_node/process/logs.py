"""Structured logs, as text or as JSON lines."""

import json
import logging
import traceback
from types import TracebackType
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from daisylift_node.config import LogSettings

if TYPE_CHECKING:
    from loguru import Message

TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message} {extra}\n'


def configure_logs(settings: LogSettings, stream: TextIO, vm: str = '') -> None:
    """Write the log to the stream, in the format and at the level of the settings."""
    logger.remove()
    logger.configure(extra={'vm': vm} if vm else {})
    if settings.format == 'json':
        logger.add(JsonLines(stream), level=settings.level)
        return
    logger.add(
        stream,
        level=settings.level,
        format=TEXT_FORMAT,
        backtrace=False,
        diagnose=False,
    )


class JsonLines:
    """Writes each log message as one JSON object on a line."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def __call__(self, message: 'Message') -> None:
        """Write the message with its time, level, module and bound values."""
        record = message.record
        line = {
            'time': record['time'].isoformat(),
            'level': record['level'].name,
            'message': record['message'],
            'module': record['name'],
            **record['extra'],
        }
        if record['exception'] is not None:
            line['exception'] = repr(record['exception'].value)
            line['exception_at'] = _raised_at(record['exception'].traceback)
        self._stream.write(json.dumps(line, default=str) + '\n')
        self._stream.flush()


class LibraryLogs(logging.Handler):
    """Passes what libraries report through ``logging`` on to the structured log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the record, with its exception if it has one."""
        log = logger.bind(library=record.name).opt(exception=record.exc_info)
        log.log(record.levelname, '{}', record.getMessage())


def capture_library_logs() -> None:
    """Log warnings and errors of libraries, such as those of the event loop."""
    logging.basicConfig(handlers=[LibraryLogs()], level=logging.WARNING, force=True)


def _raised_at(trace: TracebackType | None) -> str:
    frames = traceback.extract_tb(trace)
    return f'{frames[-1].name}:{frames[-1].lineno}' if frames else ''
