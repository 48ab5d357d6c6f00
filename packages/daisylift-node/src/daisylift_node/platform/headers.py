"""The platform's request headers of callers and response headers of servers."""

import math
from collections.abc import Iterable, Mapping

from daisylift.decisions.server_stats import LoadReport
from daisylift_node.request.dialect import AnswerTerms, CallerTerms, RawHeaders

REQUEST_ID = 'Request-Id'
OBJECT_KEY = 'Affinity-Key'
TIME_LEFT = 'Deadline-Milliseconds'  # remaining time, not a point in time
EXPECTED_SERVER = 'Target-Instance'
NOT_RUN = 'Not-Executed'  # any value: the presence of the header counts
STAMP = 'Response-Stamp'  # a MAC of the response
LOAD = 'Server-Load'  # "running,waiting,slots"
MILLISECONDS = 1000.0
MISDIRECTED = 421
SET_BY_NODE = frozenset({TIME_LEFT.lower().encode(), EXPECTED_SERVER.lower().encode()})


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read_request(self, headers: Mapping[str, str]) -> CallerTerms:
        """Return the metadata that the caller sent with its request."""
        return CallerTerms(
            request_id=headers.get(REQUEST_ID, ''),
            object_key=headers.get(OBJECT_KEY),
            time_left_seconds=_seconds(headers.get(TIME_LEFT)),
        )

    def request_headers(
        self, headers: Iterable[tuple[bytes, bytes]], server_id: str, seconds: float
    ) -> RawHeaders:
        """Return the request headers for the server; ``seconds`` is the remaining time.

        Values of the caller for the headers that the node sets are removed.
        """
        milliseconds = max(1, int(seconds * MILLISECONDS))
        return [
            *(pair for pair in headers if pair[0].lower() not in SET_BY_NODE),
            (TIME_LEFT.encode(), str(milliseconds).encode()),
            (EXPECTED_SERVER.encode(), server_id.encode()),
        ]

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerTerms:
        """Return the metadata that the server sent with its response."""
        return AnswerTerms(
            request_id=headers.get(REQUEST_ID.lower()),
            is_stamped=STAMP.lower() in headers,
            is_not_run=NOT_RUN.lower() in headers or status == MISDIRECTED,
            is_other_server=status == MISDIRECTED,
            load=_load(headers.get(LOAD.lower())),
        )


def _seconds(milliseconds: str | None) -> float | None:
    if milliseconds is None:
        return None
    try:
        seconds = float(milliseconds) / MILLISECONDS
    except ValueError:
        return None
    return max(0.0, seconds) if math.isfinite(seconds) else None


def _load(text: str | None) -> LoadReport | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in text.split(','))
    except ValueError:
        return None
    return LoadReport(running=running, waiting=waiting, slots=slots)
