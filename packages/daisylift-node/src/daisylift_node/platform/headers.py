"""The platform's request headers of callers and response headers of servers."""

import math
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from multidict import MultiMapping

from daisylift.decisions.server_stats import LoadReport
from daisylift.decisions.tenant_keys import Credential, digest_key
from daisylift_node.request.dialect import (
    CallerIdentity,
    RawHeaders,
    RequestMetadata,
    ResponseMetadata,
)

REQUEST_ID = 'Request-Id'
OBJECT_KEY = 'Affinity-Key'
REMAINING_TIME = 'Deadline-Milliseconds'  # remaining time, not a point in time
EXPECTED_SERVER = 'Target-Instance'
AUTHORIZATION = 'Authorization'  # "Bearer KEY"
TENANT = 'Tenant'  # name of the tenant that holds the key
NOT_EXECUTED = 'Not-Executed'  # any value: the presence of the header counts
RESPONSE_STAMP = 'Response-Stamp'  # a MAC of the response
LOAD = 'Server-Load'  # "running,waiting,slots[,slowdown in percent]"
LEAVING = 'Server-Leaving'  # "1" in all answers of a server that leaves
PAUSE = 'Retry-After'  # in a 503: seconds for which the server wants nothing
LEAVING_KEY, PAUSE_KEY = LEAVING.lower(), PAUSE.lower()
LIMIT = 'Server-Limit'  # requests per second from all nodes together
LOAD_FIGURES = 3
USUAL_SLOWDOWN = 100.0  # percent
_SECONDS = re.compile(r'[0-9]{1,6}(\.[0-9]{1,9})?')
_FIGURE = re.compile('[0-9]{1,9}')
_BEARER = re.compile('(?i:bearer) +([!-~]+)')
MS_PER_SECOND = 1000.0
MISDIRECTED_STATUS = 421
TURNED_AWAY_STATUS = 503
MAX_PAUSE_SECONDS = 3600.0
HEADERS_SET_BY_NODE = frozenset(
    {REMAINING_TIME.lower().encode(), EXPECTED_SERVER.lower().encode()}
)
HEADERS_SET_WITH_TENANTS = HEADERS_SET_BY_NODE | {
    AUTHORIZATION.lower().encode(),
    TENANT.lower().encode(),
}


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read_request(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Return the metadata that the caller sent with its request."""
        return RequestMetadata(
            request_id=headers.get(REQUEST_ID, ''),
            object_key=headers.get(OBJECT_KEY),
            remaining_seconds=_seconds(headers.get(REMAINING_TIME)),
        )

    def read_credential(self, headers: MultiMapping[str]) -> Credential | None:
        """Return the key that the caller presents, None if it presents nothing.

        More than one credential counts as malformed.
        """
        values = headers.getall(AUTHORIZATION, [])
        if not values:
            return None
        match = _BEARER.fullmatch(values[0].strip()) if len(values) == 1 else None
        return Credential(digest_key(match[1]) if match else None)

    def request_headers(
        self,
        headers: Iterable[tuple[bytes, bytes]],
        server_id: str,
        seconds: float,
        identity: CallerIdentity | None = None,
    ) -> RawHeaders:
        """Return the request headers for the server; ``seconds`` is the remaining time.

        Values of the caller for the headers that the node sets are removed. With an
        identity, so are the caller's key and what it says of its tenant.
        """
        milliseconds = max(1, int(seconds * MS_PER_SECOND))
        removed = HEADERS_SET_BY_NODE if identity is None else HEADERS_SET_WITH_TENANTS
        sent = [
            *(pair for pair in headers if pair[0].lower() not in removed),
            (REMAINING_TIME.encode(), str(milliseconds).encode()),
            (EXPECTED_SERVER.encode(), server_id.encode()),
        ]
        if identity is not None and identity.tenant_name is not None:
            sent.append((TENANT.encode(), identity.tenant_name.encode()))
        return sent

    def read_response(
        self,
        status: int,
        headers: Mapping[str, str],
        count: Callable[[str], int] = lambda name: 1,
    ) -> ResponseMetadata:
        """Return the metadata that the server sent with its response.

        ``count`` returns how many headers of a name the response has.
        """
        limit_text = headers.get(LIMIT.lower())
        limit_per_second = _rate(limit_text)
        value_by_name = {
            name: read(headers[name]) if count(name) == 1 else None
            for name, read in STATEMENT_READERS.items()
            if name in headers and (status == TURNED_AWAY_STATUS or name != PAUSE_KEY)
        }
        return ResponseMetadata(
            request_id=headers.get(REQUEST_ID.lower()),
            is_stamped=RESPONSE_STAMP.lower() in headers,
            was_not_run=NOT_EXECUTED.lower() in headers or status == MISDIRECTED_STATUS,
            is_other_server=status == MISDIRECTED_STATUS,
            load=_load(headers.get(LOAD.lower())),
            limit_per_second=limit_per_second,
            has_unreadable_limit=limit_text is not None and limit_per_second is None,
            is_leaving=value_by_name.get(LEAVING_KEY) is True,
            pause_seconds=value_by_name.get(PAUSE_KEY),
            unreadable_statements=tuple(
                name for name, value in value_by_name.items() if value is None
            ),
        )


def _seconds(milliseconds: str | None) -> float | None:
    if milliseconds is None:
        return None
    try:
        seconds = float(milliseconds) / MS_PER_SECOND
    except ValueError:
        return None
    return max(0.0, seconds) if math.isfinite(seconds) else None


def _rate(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0.0 else None


def _leaving(text: str) -> bool | None:
    return True if text.strip() == '1' else None


def _pause(text: str) -> float | None:
    if not _SECONDS.fullmatch(text.strip()):
        return None
    seconds = float(text)
    return seconds if seconds <= MAX_PAUSE_SECONDS else None


STATEMENT_READERS: Mapping[str, Callable[[str], Any]] = {
    LEAVING_KEY: _leaving,
    PAUSE_KEY: _pause,
}


def _load(text: str | None) -> LoadReport | None:
    if text is None:
        return None
    figures = [part.strip() for part in text.split(',')]
    if len(figures) < LOAD_FIGURES or not all(
        _FIGURE.fullmatch(each) for each in figures[:LOAD_FIGURES]
    ):
        return None
    running, waiting, slots = map(int, figures[:LOAD_FIGURES])
    return LoadReport(running, waiting, slots, _slowdown(figures[LOAD_FIGURES:]))


def _slowdown(figures: list[str]) -> float | None:
    if not figures or not _FIGURE.fullmatch(figures[0]):
        return None
    return int(figures[0]) / USUAL_SLOWDOWN or None
