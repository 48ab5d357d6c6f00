"""Forwards a call to another entry VM, once."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import aiohttp
from yarl import URL

from daisylift import headers
from daisylift.decisions.configuration import ServerKey
from daisylift.outcome import Outcome
from daisylift_node.connection.send_once import SendOnce
from daisylift_node.connection.upstream import DispatchCheck, UpstreamConnections
from daisylift_node.process.links import LinkPacer
from daisylift_node.process.members import Member
from daisylift_node.request.call import Call
from daisylift_node.request.ending import Answered, Ending, Refused
from daisylift_node.request.exchange import (
    ESTIMATED_HEAD_BYTES,
    Progress,
    ending_after_deadline,
    request_fields,
)
from daisylift_node.request.problem import Reason, did_not_run, may_have_run
from daisylift_node.request.response import response_headers, stream_response

CONNECTIONS_PER_PEER = 64
PEER_SERVICE = 'peer'
OUTCOMES = {outcome.value: outcome for outcome in Outcome}

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Forwarder:
    """Forwards calls to other entry VMs, marked so that they go no further."""

    vm: str
    connections: UpstreamConnections
    links: LinkPacer
    clock: Clock

    async def forward(self, call: Call, member: Member, region: str) -> Ending:
        """Forward the call to the member and pass its response back unchanged."""
        deadline = call.deadline
        progress = Progress(
            DispatchCheck(lambda: not deadline.has_passed(self.clock()))
        )
        try:
            async with asyncio.timeout(deadline.left(self.clock())):
                size = ESTIMATED_HEAD_BYTES + len(call.body.head)
                await self.links.upload(region, size)
                return await self._send(call, member, region, progress)
        except TimeoutError:
            return ending_after_deadline(progress)
        except (aiohttp.ClientError, OSError) as error:
            detail = f'the entry VM it was passed to failed: {type(error).__name__}'
            if progress.dispatch.may_have_been_sent:
                return Refused(may_have_run(Reason.CONNECTION_LOST, detail))
            return Refused(did_not_run(Reason.CONNECT_FAILED, detail))

    async def _send(
        self, call: Call, member: Member, region: str, progress: Progress
    ) -> Ending:
        claim = member.claim
        address = claim.caller_host, claim.caller_port
        fields = request_fields(call, self.clock())
        fields[headers.FORWARDED_BY] = self.vm
        key = ServerKey(service=PEER_SERVICE, server=member.caller_address)
        with self.connections.borrow_session(
            key, address, CONNECTIONS_PER_PEER
        ) as session:
            async with session.request(
                call.method,
                URL(f'http://{member.caller_address}{call.path}', encoded=True),
                headers=fields,
                data=call.body.payload(partial(self.links.upload, region)),
                allow_redirects=False,
                middlewares=(SendOnce(), progress.dispatch),
            ) as upstream:
                return await self._pass_back(call, upstream, region, progress)

    async def _pass_back(
        self,
        call: Call,
        upstream: aiohttp.ClientResponse,
        region: str,
        progress: Progress,
    ) -> Ending:
        stated_outcome = upstream.headers.get(headers.OUTCOME, '')
        outcome = OUTCOMES.get(stated_outcome, Outcome.UNKNOWN)
        if outcome is Outcome.DID_NOT_RUN:
            detail = 'the entry VM it was passed to refused it as well'
            return Refused(did_not_run(Reason.NO_FREE_SLOT, detail))
        progress.response_begun = True
        ending = await stream_response(
            upstream,
            call.sink,
            response_headers(upstream, outcome),
            partial(self.links.download, region),
        )
        return Answered(outcome) if isinstance(ending, Answered) else ending
