"""Formatters of results for terminals and for pipes."""
