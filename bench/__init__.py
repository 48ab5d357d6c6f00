"""Measurements, run by command and not in CI; each prints a plain table."""
