"""Randomised soak test: real entry VM processes with faults injected from outside."""
