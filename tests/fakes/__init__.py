"""Fakes of the platform, backend servers and callers, for tests and demos."""
