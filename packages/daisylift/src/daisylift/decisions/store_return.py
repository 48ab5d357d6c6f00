"""Decides what to apply after the store came back from an older copy of itself.

Load pattern: a store that has lost the writes of its last seconds. Operators, backend
servers and entry VMs write again what they wrote last, each at a time of its own; all
VMs read the store at once. Until a writer had the time to do so, what was read before
the return takes precedence: an object that is missing is kept, and one that its writer
replaced before the return is ignored.
"""

from collections.abc import Iterator

from daisylift.models.registered_server import RegisteredServer


class HeldNames:
    """The names of objects that are kept as they were before the return."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._until_by_name: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._until_by_name

    def __iter__(self) -> Iterator[str]:
        return iter(self._until_by_name)

    def hold(self, name: str, now: float) -> None:
        """Keep the object for the time that its writer has to write it again."""
        self._until_by_name[name] = now + self._seconds

    def release(self, name: str) -> None:
        """Keep the object no longer: it was written again or removed."""
        self._until_by_name.pop(name, None)

    def take_all(self) -> set[str]:
        """Return and release all names, because the store came back once more."""
        names = set(self._until_by_name)
        self._until_by_name.clear()
        return names

    def take_expired(self, now: float) -> list[str]:
        """Return and release the names whose writers had the time to write again."""
        expired = [name for name, until in self._until_by_name.items() if until <= now]
        for name in expired:
            self.release(name)
        return expired


def is_superseded(registration: RegisteredServer, known: RegisteredServer) -> bool:
    """Return whether the server itself has replaced the registration by ``known``.

    Servers count their registrations (``sequence``), anew after each start.
    """
    if registration.started_at_ms != known.started_at_ms:
        return registration.started_at_ms < known.started_at_ms
    return registration.sequence <= known.sequence
