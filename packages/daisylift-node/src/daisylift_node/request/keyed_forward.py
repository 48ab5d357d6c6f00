"""Forwards a call with a key, once, to the VM that decides about the key."""

import asyncio
import json

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from daisylift import headers
from daisylift.outcome import Outcome
from daisylift_node.connection.send_once import SendOnce
from daisylift_node.connection.upstream import READ_CHUNK_BYTES
from daisylift_node.request import refusals
from daisylift_node.request.call import Call
from daisylift_node.request.ending import Ending, Refused
from daisylift_node.request.problem import Reason, Refusal
from daisylift_node.request.response import response_headers, stream_response

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_CONNECTIONS = 100
MAX_PROBLEM_BYTES = 16 * 1024


class KeyedForwarder:
    """Forwards calls to other entry VMs, marked so that they go no further."""

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=(
                'User-Agent',
                'Accept',
                'Accept-Encoding',
                'Content-Type',
            ),
            read_bufsize=READ_CHUNK_BYTES,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def forward(self, call: Call, address: str, now: float) -> Ending:
        """Forward the call and pass the response or refusal back unchanged."""
        if self._session is None:
            return Refused(refusals.holder_unreachable(address))
        url = URL(f'http://{address}{call.request.raw_path}', encoded=True)
        try:
            async with (
                asyncio.timeout(call.deadline.left(now)),
                self._session.request(
                    call.method,
                    url,
                    headers=_fields(call, self._vm, now),
                    data=call.body.head or None,
                    allow_redirects=False,
                    middlewares=(SendOnce(),),
                ) as upstream,
            ):
                return await _pass_back(call, upstream)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Refused(refusals.holder_unreachable(address))
        except (TimeoutError, aiohttp.ClientError, OSError):
            return Refused(refusals.forward_lost(address))


async def _pass_back(call: Call, upstream: aiohttp.ClientResponse) -> Ending:
    outcome = upstream.headers.get(headers.OUTCOME)
    if outcome == Outcome.ANSWERED.value:
        fields = response_headers(upstream, Outcome.ANSWERED)
        return await stream_response(upstream, call.caller, fields, _no_pace)
    refusal = _read_refusal(await upstream.content.read(MAX_PROBLEM_BYTES))
    return Refused(refusal or refusals.outcome_unknown())


def _read_refusal(content: bytes) -> Refusal | None:
    try:
        document = json.loads(content)
        earlier = document.get('earlier_sends')
        return Refusal(
            reason=Reason(document['type'].removeprefix('urn:daisylift:')),
            outcome=Outcome(document['outcome']),
            detail=str(document['detail']),
            other_vms=tuple(document['other_vms']),
            earlier_sends=None if earlier is None else Outcome(earlier),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _fields(call: Call, vm: str, now: float) -> CIMultiDict[str]:
    request = call.request
    connection = request.headers.getall('Connection', ())
    fields = CIMultiDict(headers.end_to_end(request.headers.items(), connection))
    for name in ('Expect', 'Content-Length', headers.TIMEOUT_MS):
        fields.popall(name, None)
    fields[headers.FORWARDED_BY] = vm
    fields[headers.TIMEOUT_MS] = call.deadline.header(now)
    return fields


async def _no_pace(_: int) -> None:
    """Do not pace; responses between entry VMs pass without delay."""
