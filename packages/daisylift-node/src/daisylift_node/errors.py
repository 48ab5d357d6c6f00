"""Errors of the node."""

from daisylift.errors import DaisyliftError


class SettingsError(DaisyliftError):
    """The settings file can't be used; names section, key and reason."""


class StartError(DaisyliftError):
    """The node could not start, for example because a port is taken."""
