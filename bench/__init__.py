"""Benchmarks, run by hand and not in CI; each prints plain text tables."""
