"""Tests of forwarding requests to an entry VM with idle slots (issue 3)."""

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest
from multidict import CIMultiDict
from returns.result import Failure, Success

from daisylift.decisions.deadlines import Deadline
from daisylift.models import Claim
from daisylift.outcome import Outcome
from daisylift.schema import peer_pb2 as pb
from daisylift_node.connection.peers import Received, TimedOut
from daisylift_node.connection.upstream import UpstreamConnections
from daisylift_node.process import clock
from daisylift_node.process.idle import CACHE_SECONDS, IdlePeers
from daisylift_node.process.members import Member
from daisylift_node.request.forward import Forwarder
from daisylift_node.request.guard import read_body
from daisylift_node.request.keyed_forward import KeyedForwarder
from daisylift_node.request.problem import Reason
from tests.fakes.relay import running_relay
from tests.fakes.wire import WireServer, abort_connection, respond_ok, stay_silent


def member(ordinal, caller_port=1):
    return Member(
        Claim(
            ordinal=ordinal,
            vm=f'vm-{ordinal}',
            incarnation='0' * 16,
            failure_domain='arusha-1',
            caller_host='127.0.0.1',
            caller_port=caller_port,
            peer_host='127.0.0.1',
            peer_port=1000 + ordinal,
        )
    )


class SinglePeerOffload:
    """Forwards every call to one entry VM."""

    def __init__(self):
        self.node = None
        self.port = 0
        self.calls = 0
        self.connections = UpstreamConnections()

    async def serve(self, call):
        self.calls += 1
        links = self.node.links
        forwarder = Forwarder('vm-0', self.connections, links, clock.now)
        return await forwarder.forward(call, member(1, self.port), 'arusha')

    def addresses(self):
        return ('127.0.0.1:9',)


class ForwardingPair:
    """An entry VM without slots, and the one that it forwards requests to."""

    def __init__(self, *scripts, peer_offload=None):
        self.scripts = scripts
        self.peer_offload = (
            peer_offload if peer_offload is not None else SinglePeerOffload()
        )
        self.local_offload = SinglePeerOffload()

    async def __aenter__(self):
        options = {'queue_timeout_seconds': 0.01}
        self.local = running_relay(respond_ok, offload=self.local_offload, **options)
        self.peer = running_relay(*self.scripts, offload=self.peer_offload, **options)
        self.local_node, self.local_servers = await self.local.__aenter__()
        self.peer_node, self.peer_servers = await self.peer.__aenter__()
        self.local_offload.node = self.local_node
        self.peer_offload.node = self.peer_node
        self.local_offload.port = self.peer_offload.port = self.peer_node.port
        self.local_node.permits.slots = 0
        self.local_node.admission.permits_changed()
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *error):
        await self.session.close()
        for one in (self.local_offload, self.peer_offload):
            await one.connections.stop()
        await self.peer.__aexit__(*error)
        await self.local.__aexit__(*error)

    async def fetch(self, method, path, **options):
        url = f'{self.local_node.url}{path}'
        async with self.session.request(method, url, **options) as answer:
            outcome = answer.headers['Daisylift-Outcome']
            return answer.status, outcome, await answer.read()


@pytest.mark.parametrize('size', [0, 10, 200_000])
async def test_request_without_a_slot_is_served_by_a_peer(size):
    async with ForwardingPair(respond_ok) as pair:
        answer = await pair.fetch('POST', '/pay%2Fx?a=1&a=2', data=b'x' * size)
        assert answer == (200, 'answered', b'POST /pay%2Fx?a=1&a=2 HTTP/1.1')
        request = pair.peer_servers[0].requests[0]
        assert len(request.body) == size
        assert request.fields()['x-forwarded-for'] == '127.0.0.1, 127.0.0.1'
        assert 'daisylift-forwarded-by' not in request.fields()
        assert pair.local_servers[0].requests == []


async def test_request_is_forwarded_only_once():
    async with ForwardingPair(respond_ok) as pair:
        pair.peer_node.permits.slots = 0
        pair.peer_node.admission.permits_changed()
        status, outcome, _ = await pair.fetch('POST', '/pay')
        assert (status, outcome) == (503, 'did-not-run')
        assert (pair.local_offload.calls, pair.peer_offload.calls) == (1, 0)


async def test_unknown_outcome_of_a_peer_stays_unknown_and_is_not_retried():
    async with ForwardingPair(abort_connection, abort_connection) as pair:
        status, outcome, _ = await pair.fetch('POST', '/pay')
        assert (status, outcome) == (502, 'unknown')
        assert sum(len(server.requests) for server in pair.peer_servers) == 1


async def test_peer_that_can_not_be_reached_ran_nothing():
    async with ForwardingPair(respond_ok) as pair:
        pair.local_offload.port = 1
        status, outcome, _ = await pair.fetch('POST', '/pay')
        assert (status, outcome) == (502, 'did-not-run')


async def test_deadline_is_forwarded_and_ends_the_wait():
    async with ForwardingPair(stay_silent) as pair:
        timeout = {'Daisylift-Timeout-Ms': '150'}
        status, outcome, _ = await pair.fetch('GET', '/x', headers=timeout)
        assert (status, outcome) == (504, 'unknown')
        remaining_ms = pair.peer_servers[0].requests[0].fields()['daisylift-timeout-ms']
        assert 0 < int(remaining_ms) < 150


async def test_request_with_a_key_stays_where_its_key_is_good():
    async with ForwardingPair(respond_ok) as pair:
        key = {'Idempotency-Key': 'order-1'}
        assert (await pair.fetch('POST', '/pay', headers=key))[0] == 503
        assert (await pair.fetch('GET', '/designs', headers=key))[0] == 200
        assert pair.local_offload.calls == 1


async def test_deadlines_follow_the_clock_of_the_node_not_the_loop():
    """The two clocks differ on a VM that was suspended (issue 3)."""
    silent = WireServer(stay_silent)
    await silent.start()
    now = 5_000_000.0
    request = SimpleNamespace(
        raw_path='/v1/services/till/pay', method='POST', headers=CIMultiDict()
    )
    call = SimpleNamespace(
        request=request,
        method='POST',
        deadline=Deadline(now + 0.1),
        body=SimpleNamespace(head=b'1', read_all=lambda _: asyncio.sleep(30.0)),
    )
    forwarder = KeyedForwarder('vm-0')
    await forwarder.start()
    async with asyncio.timeout(5.0):
        ending = await forwarder.forward(call, f'127.0.0.1:{silent.port}', now)
        refusal = await read_body(call, now)
    assert ending.outcome is Outcome.UNKNOWN
    assert refusal.reason is Reason.DEADLINE_PASSED
    await forwarder.stop()
    await silent.stop()


class IdleReportingPeers:
    """Answers idle queries for its peers and records the addresses queried."""

    def __init__(self, slots):
        self.slots = slots
        self.asked = []

    def subscribe(self, name, handler):
        self.handler = handler

    async def request(self, address, body, timeout_seconds):
        self.asked.append(address[1])
        slots = self.slots.get(address[1])
        if slots is None:
            return Failure(TimedOut())
        return Success(pb.IdleAnswer(slots=slots))


def idle_peers(slots, count=3):
    peers = IdleReportingPeers(slots)
    time = [10.0]
    idle = IdlePeers(
        peers=peers,
        others=lambda: [member(ordinal) for ordinal in range(count)],
        free_slots=lambda service: 7,
        clock=lambda: time[0],
        random=lambda: 0.0,
    )
    return idle, peers, time


async def test_idlest_peer_is_found_and_its_slots_are_counted_down():
    idle, peers, _ = idle_peers({1000: 1, 1001: 2, 1002: None})
    found = [await idle.find('till') for _ in range(4)]
    assert [one and one.claim.ordinal for one in found] == [1, 0, 1, None]
    assert len(peers.asked) == 3


async def test_peers_are_asked_once_for_all_who_want_to_know():
    idle, peers, time = idle_peers({1000: 0, 1001: 0, 1002: 0})
    await asyncio.gather(*(idle.find('till') for _ in range(50)))
    assert len(peers.asked) == 3
    time[0] += CACHE_SECONDS
    await idle.find('till')
    assert len(peers.asked) == 6


async def test_few_of_many_peers_are_asked():
    idle, peers, _ = idle_peers({}, count=900)
    assert await idle.find('till') is None
    assert len(peers.asked) == 3


def test_local_idle_slots_are_reported():
    _, peers, _ = idle_peers({})
    query = Received(sender=None, body=pb.IdleQuery(service='till'), request_id=1)
    assert peers.handler(query).slots == 7
