"""How callers ask the directory for entry VMs, and how it answers them."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class DirectoryQuestion:
    """Where the caller is; empty if it does not say."""

    region: str
    failure_domain: str


def read_question(query: Mapping[str, str]) -> DirectoryQuestion:
    """Return what the caller says in the query of its look-up."""
    return DirectoryQuestion(
        region=query.get('region', ''), failure_domain=query.get('zone', '')
    )


def answer_document(addresses: Sequence[str], ttl_seconds: float) -> dict[str, Any]:
    """Return the answer: addresses, and how long the caller may keep them."""
    return {'addresses': list(addresses), 'ttl_s': ttl_seconds}
