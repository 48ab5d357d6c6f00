"""Issues and reads request ids."""

import itertools
import time

from aiohttp import web

from daisylift import headers
from daisylift.decisions.request_ids import (
    ID_LIFE_SECONDS,
    RequestId,
    is_expired,
    read_request_id,
    write_request_id,
)
from daisylift.outcome import Outcome
from daisylift_node.process.members import Members
from daisylift_node.request import refusals
from daisylift_node.request.problem import refusal_response


class RequestIdIssuer:
    """Issues ids that are valid only at this node's ordinal and incarnation."""

    def __init__(self, members: Members, key: bytes) -> None:
        self._members = members
        self._key = key
        self._sequence = itertools.count(1)
        self._started_at = time.monotonic()

    def issue(self) -> str | None:
        """Return a new id, or None while this node holds no ordinal."""
        own = self._members.own
        if own is None:
            return None
        request_id = RequestId(
            ordinal=own.ordinal,
            incarnation=own.incarnation,
            sequence=next(self._sequence),
            issued_ms=self._now_ms(),
        )
        return write_request_id(self._key, request_id)

    def read(self, text: str) -> RequestId | None:
        """Return the id, or None if no node of the fleet issued it."""
        return read_request_id(self._key, text)

    def is_expired(self, request_id: RequestId) -> bool:
        """Return whether an id of this incarnation is too old to be run."""
        return is_expired(request_id, self._now_ms())

    async def handle(self, _: web.BaseRequest) -> web.Response:
        """Answer ``POST /v1/request-ids``."""
        request_id = self.issue()
        if request_id is None:
            return refusal_response(refusals.not_ready())
        document = {'request_id': request_id, 'life_seconds': ID_LIFE_SECONDS}
        return web.json_response(
            document, headers={headers.OUTCOME: Outcome.ANSWERED.value}
        )

    def _now_ms(self) -> int:
        return int((time.monotonic() - self._started_at) * 1000)
