"""Tests of the log formats."""

import io
import json
import logging

import pytest
from loguru import logger

from daisylift_node.config import LogSettings
from daisylift_node.process.logs import capture_library_logs, configure_logs


@pytest.fixture(autouse=True)
def _restore_logger():
    yield
    logger.remove()
    logger.configure(extra={})


def test_json_lines_carry_bound_values():
    stream = io.StringIO()
    configure_logs(LogSettings(format='json'), stream, vm='vm-1')
    logger.bind(request_id='r-7').info('refused {}', 'till')
    line = json.loads(stream.getvalue())
    assert line['message'] == 'refused till'
    assert line['vm'] == 'vm-1'
    assert line['request_id'] == 'r-7'


def test_text_lines_show_bound_values():
    stream = io.StringIO()
    configure_logs(LogSettings(format='text'), stream, vm='vm-1')
    logger.bind(request_id='r-7').warning('slow')
    assert "'request_id': 'r-7'" in stream.getvalue()


def test_level_hides_lower_messages():
    stream = io.StringIO()
    configure_logs(LogSettings(level='WARNING'), stream)
    logger.info('not shown')
    assert stream.getvalue() == ''


def test_json_exception_is_one_line():
    stream = io.StringIO()
    configure_logs(LogSettings(format='json'), stream)
    try:
        raise ValueError('broken')
    except ValueError:
        logger.exception('failed')
    lines = stream.getvalue().splitlines()
    assert [json.loads(line)['exception'] for line in lines] == ["ValueError('broken')"]


def test_reports_of_libraries_are_json_lines(logs):
    capture_library_logs()
    try:
        raise ValueError('broken')
    except ValueError:
        logging.getLogger('asyncio').exception('in callback {x}')
    finally:
        logging.basicConfig(force=True)
    line = logs.first('in callback {x}')
    assert line['library'] == 'asyncio'
    assert line['exception'] == "ValueError('broken')"
