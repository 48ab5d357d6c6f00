"""Interface between the request path and the headers of callers and servers."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from multidict import MultiMapping

from daisylift.decisions.server_stats import LoadReport
from daisylift.decisions.tenant_keys import Credential

RawHeaders = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller states about its request; the id is empty if it sent none."""

    request_id: str
    object_key: str | None
    remaining_seconds: float | None


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """Whose request it is, while tenants are in use; None is no tenant's."""

    tenant_name: str | None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a backend server states about its response.

    ``was_not_run``: the server states that it has not run the request.
    ``is_other_server``: another server has the address now. ``limit_per_second``: the
    requests per second that the server accepts from all nodes together, None if it
    names no limit; ``has_unreadable_limit``: it names one that cannot be decoded.
    ``is_leaving``: the server takes no new requests until it starts again.
    ``pause_seconds``: it turned the request away and wants nothing for so long.
    ``unreadable_statements`` are the header names of those that make no sense.
    """

    request_id: str | None
    is_stamped: bool
    was_not_run: bool
    is_other_server: bool
    load: LoadReport | None
    limit_per_second: float | None = None
    has_unreadable_limit: bool = False
    is_leaving: bool = False
    pause_seconds: float | None = None
    unreadable_statements: tuple[str, ...] = ()

    @property
    def says_something(self) -> bool:
        """Return whether the server says something of new requests."""
        return (
            self.is_leaving
            or self.pause_seconds is not None
            or bool(self.unreadable_statements)
        )


class Dialect(Protocol):
    """Reads and writes the headers of callers and backend servers."""

    def read_request(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Return what the caller states about its request."""

    def read_credential(self, headers: MultiMapping[str]) -> Credential | None:
        """Return the key that the caller presents, None if it presents nothing."""

    def request_headers(
        self,
        headers: Iterable[tuple[bytes, bytes]],
        server_id: str,
        seconds: float,
        identity: CallerIdentity | None = None,
    ) -> RawHeaders:
        """Return the headers to send to the server, with the remaining time.

        With an identity, the caller's key is left out and the tenant is named.
        """

    def read_response(
        self,
        status: int,
        headers: Mapping[str, str],
        count: Callable[[str], int] = lambda name: 1,
    ) -> ResponseMetadata:
        """Return what the server states; the header names are in lower case.

        ``count`` returns how many headers of a name the response has.
        """
