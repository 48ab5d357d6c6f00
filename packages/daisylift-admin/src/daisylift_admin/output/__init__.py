"""Formatters of results for terminals and for pipes."""

from daisylift_admin.output.formatters import Formatter, JsonFormatter, TextFormatter

__all__ = ['Formatter', 'JsonFormatter', 'TextFormatter']
