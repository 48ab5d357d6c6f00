"""Asks an entry VM where it would send a request now, without sending it."""

import json
from dataclasses import dataclass
from typing import Any

import aiohttp

from daisylift_admin.client import NodeAddress
from daisylift_admin.errors import AdminError
from daisylift_admin.status import ExitStatus

PLACEMENT_PATH = '/placement'
TIMEOUT_SECONDS = 5.0
MAX_REPORT_BYTES = 16 * 1024 * 1024
HTTP_OK = 200
HTTP_BAD_REQUEST = 400


@dataclass(frozen=True, slots=True)
class PlacementQuestion:
    """A request to explain. Empty fields are not stated to the VM.

    The tenant is given by name, so that no key has to be typed.
    """

    host: str
    path: str
    tenant: str = ''
    failure_domain: str = ''
    object_key: str = ''

    def query(self) -> dict[str, str]:
        """Return the question as the query of a call."""
        fields = {
            'host': self.host,
            'path': self.path,
            'tenant': self.tenant,
            'failure_domain': self.failure_domain,
            'object': self.object_key,
        }
        return {name: value for name, value in fields.items() if value}


async def fetch_report(
    address: NodeAddress, question: PlacementQuestion
) -> dict[str, Any]:
    """Return the report of the VM that exposes its metrics at the address.

    Raise AdminError if the VM does not answer or cannot answer the question.
    """
    host = f'[{address.host}]' if ':' in address.host else address.host
    url = f'http://{host}:{address.port}{PLACEMENT_PATH}'
    try:
        async with (
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
            ) as session,
            session.get(url, params=question.query()) as response,
        ):
            body = await response.content.read(MAX_REPORT_BYTES)
            status = response.status
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        reason = str(error) or type(error).__name__
        raise AdminError(
            f'{address.host}:{address.port} does not answer: {reason}',
            ExitStatus.UNAVAILABLE,
        ) from error
    return _parse(body, status)


def _parse(body: bytes, status: int) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (RecursionError, ValueError) as error:
        raise AdminError(f'the VM sent no report: {error}') from error
    if status == HTTP_OK and isinstance(document, dict):
        return document
    detail = document.get('error') if isinstance(document, dict) else None
    reason = detail if isinstance(detail, str) else f'status {status}'
    if status == HTTP_BAD_REQUEST:
        raise AdminError(reason, ExitStatus.INVALID)
    raise AdminError(f'the VM sent no report: {reason}')
