"""The headers of callers and of backend servers on the platform."""

import math
from collections.abc import Iterable, Mapping

from daisylift.decisions.server_stats import LoadReport
from daisylift_node.request.dialect import RawHeaders, RequestMetadata, ResponseMetadata

REQUEST_ID = 'Request-Id'
OBJECT_KEY = 'Affinity-Key'
TIME_LEFT = 'Deadline-Milliseconds'  # a span, not a moment
EXPECTED_SERVER = 'Target-Instance'
NOT_RUN = 'Not-Executed'  # its presence counts, not its value
STAMP = 'Response-Stamp'  # a MAC of the answer
LOAD = 'Server-Load'  # running, waiting, slots
MILLISECONDS = 1000.0
MISDIRECTED = 421
SET_BY_NODE = frozenset({TIME_LEFT.lower().encode(), EXPECTED_SERVER.lower().encode()})


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read_request(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Return what the caller says of its request."""
        return RequestMetadata(
            request_id=headers.get(REQUEST_ID, ''),
            object_key=headers.get(OBJECT_KEY),
            remaining_seconds=_seconds(headers.get(TIME_LEFT)),
        )

    def request_headers(
        self, headers: Iterable[tuple[bytes, bytes]], server_id: str, seconds: float
    ) -> RawHeaders:
        """Return the headers to send to the server, with the time that is left."""
        milliseconds = max(1, int(seconds * MILLISECONDS))
        return [
            *(pair for pair in headers if pair[0].lower() not in SET_BY_NODE),
            (TIME_LEFT.encode(), str(milliseconds).encode()),
            (EXPECTED_SERVER.encode(), server_id.encode()),
        ]

    def read_response(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseMetadata:
        """Return what the server says of its answer."""
        return ResponseMetadata(
            request_id=headers.get(REQUEST_ID.lower()),
            is_stamped=STAMP.lower() in headers,
            was_not_run=NOT_RUN.lower() in headers or status == MISDIRECTED,
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
