"""The queries and replies of the directory in which callers look up entry VMs."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """The caller's location and the host that it wants.

    A field is empty if the caller does not state it.
    """

    region: str
    failure_domain: str
    host: str


def parse_directory_query(query: Mapping[str, str]) -> DirectoryQuery:
    """Return what the query string of a lookup states."""
    return DirectoryQuery(
        region=query.get('region', ''),
        failure_domain=query.get('zone', ''),
        host=query.get('name', ''),
    )


def directory_reply(addresses: Sequence[str], ttl_seconds: float) -> dict[str, Any]:
    """Return the reply: the addresses, and for how many seconds to cache them."""
    return {'addresses': list(addresses), 'ttl_s': ttl_seconds}
