"""Formats results as text for a terminal or as JSON for a pipe."""

from daisylift_admin.output.formatters import Formatter, JsonFormatter, TextFormatter
from daisylift_admin.output.placement import format_placement
from daisylift_admin.output.trace import format_trace

__all__ = [
    'Formatter',
    'JsonFormatter',
    'TextFormatter',
    'format_placement',
    'format_trace',
]
