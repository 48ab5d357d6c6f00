"""Tests of daisylift."""
