"""What the request path needs to know from headers, whatever their names are."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from daisylift.decisions.server_stats import LoadReport

RawHeaders = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallerTerms:
    """What a caller says of its request; the id is empty if it gave none."""

    request_id: str
    object_key: str | None
    time_left_seconds: float | None


@dataclass(frozen=True, slots=True)
class AnswerTerms:
    """What a backend server says of its answer.

    ``is_not_run`` is the server's word that it has not run the request, and
    ``is_other_server`` that another server has the address now.
    """

    request_id: str | None
    is_stamped: bool
    is_not_run: bool
    is_other_server: bool
    load: LoadReport | None


class Dialect(Protocol):
    """The headers of callers and backend servers."""

    def read_request(self, headers: Mapping[str, str]) -> CallerTerms:
        """Return what the caller says of its request."""

    def request_headers(
        self, headers: Iterable[tuple[bytes, bytes]], server_id: str, seconds: float
    ) -> RawHeaders:
        """Return the headers to send to the server, with the time that is left."""

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerTerms:
        """Return what the server says; names of the headers are in lower case."""
