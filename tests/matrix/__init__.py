"""The fault matrix: every fault at every step of each operation."""
