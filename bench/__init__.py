"""Measurements, each run by ``python -m bench.NAME``."""
