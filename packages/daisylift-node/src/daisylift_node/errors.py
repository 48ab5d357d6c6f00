"""Errors of the node."""

from daisylift.errors import DaisyliftError


class SettingsError(DaisyliftError):
    """The settings file is not usable; the message has section, key and reason."""


class StartError(DaisyliftError):
    """The node could not start, for example because a port is taken."""


class PeerMessageError(DaisyliftError):
    """A message to a peer cannot be sent, for example because it is too large."""
