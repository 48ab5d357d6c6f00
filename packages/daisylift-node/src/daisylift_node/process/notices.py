"""Notices to all peers: servers that drain, requests that break servers."""

from daisylift.decisions.breaking import Digest
from daisylift.decisions.configuration import ServerKey


class Notices:
    """Tells peers what they should know within seconds."""

    def announce_drain(self, server: ServerKey, draining: bool) -> None:
        """Tell that a server drains, or no longer does."""

    def announce_break(self, digest: Digest, break_id: int) -> None:
        """Tell that a request broke its server, or was answered."""
