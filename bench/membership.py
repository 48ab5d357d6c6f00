"""Measure what the membership costs one node, and how soon it notices a loss.

Run ``python -m bench.membership``. The first table has one node with its table filled
in, whose peers answer at once; datagrams are encoded, signed and decoded, but no socket
is used. The second has all nodes on a virtual clock.
"""

import os
import random
import statistics
import time
import tracemalloc

from daisylift.decisions.member_messages import encode_record
from daisylift.decisions.member_protocol import MemberProtocol
from daisylift.decisions.membership import (
    Health,
    MemberDetails,
    MemberRecord,
    MemberState,
)
from daisylift.decisions.probing import TICK_SECONDS
from daisylift.schema import peer_pb2 as pb
from daisylift_node.connection.datagram import DatagramCodec
from tests.member_harness import MemberHarness

SIZES = (7, 32, 128, 930)
DETECTION_SIZES = (7, 32, 128)
DOMAINS = 7
SECONDS = 60
ROUNDS = 5
FROZEN_SECONDS = 10.0
IP_AND_UDP_BYTES = 28
KEY = 'a-key-for-the-bench'


def record(number: int, health: Health = Health.ALIVE) -> MemberRecord:
    """Return the record of one of many members."""
    host = f'10.{number // 250}.{number % 250}.1'
    details = MemberDetails(
        1, f'domain-{number % DOMAINS}', (host, 7000), (host, 7200), number
    )
    return MemberRecord(f'vm-{number}', f'{number:016x}', 1, details, health)


class Bench:
    """One node whose peers answer each probe, and probe it once a second."""

    def __init__(self, size: int) -> None:
        self.codec = DatagramCodec(KEY)
        self.now = 0.0
        self.bytes = 0
        self.datagrams = 0
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        self.node = MemberProtocol(record(0), (), random.Random(1), self.now)
        for number in range(1, size):
            self.node.add_member(record(number), self.now)
        self.memory_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        self.size = size

    def run(self, seconds: float) -> tuple[float, float, float]:
        """Return us of processor time, bytes and datagrams, each a second."""
        self.bytes = self.datagrams = 0
        began = time.process_time()
        for tick in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.node.tick(self.now)
            if tick % 4 == 0:
                probe = pb.Probe(digest=self.node.table.digest())
                self._receive(1 + tick % (self.size - 1), probe)
            self._answer()
        spent = time.process_time() - began
        return (
            spent / seconds * 1e6,
            self.bytes / seconds,
            self.datagrams / seconds,
        )

    def _answer(self) -> None:
        sent, self.node.outgoing[:] = list(self.node.outgoing), []
        for message in sent:
            self._send(message.body)
            if isinstance(message.body, pb.Probe):
                a, b = (int(part) for part in message.address[0].split('.')[1:3])
                answer = pb.ProbeAnswer(digest=self.node.table.digest())
                self._receive(a * 250 + b, answer)

    def _receive(self, number: int, body: pb.Probe | pb.ProbeAnswer) -> None:
        data = self._datagram(body)
        envelope = self.codec.decode(data)
        vm = f'vm-{number}'
        self.node.on_contact(vm, f'{number:016x}', self.now)
        name = envelope.WhichOneof('body')
        address = record(number).details.peer_address
        self.node.on_message(vm, address, getattr(envelope, name), self.now)

    def _send(self, body: object) -> None:
        self._datagram(body)

    def _datagram(self, body: object) -> bytes:
        names = {f.message_type.full_name: f.name for f in _body_fields()}
        envelope = pb.Envelope(
            ordinal=500,
            vm='vm-500',
            incarnation=1 << 60,
            sequence=1 << 20,
            configuration_version=1 << 20,
            **{names[body.DESCRIPTOR.full_name]: body},
        )
        data = self.codec.encode(envelope)
        self.bytes += len(data) + IP_AND_UDP_BYTES
        self.datagrams += 1
        return data


def _body_fields() -> list:
    return pb.Envelope.DESCRIPTOR.oneofs_by_name['body'].fields


def lose_a_domain(bench: Bench) -> None:
    """Let the node hear that a whole failure domain is suspected."""
    lost = [record(n, Health.SUSPECT) for n in range(1, bench.size) if n % DOMAINS == 3]
    for start in range(0, len(lost), 4):
        updates = [
            encode_record(one, with_details=False) for one in lost[start : start + 4]
        ]
        body = pb.MemberUpdates(updates=updates)
        bench.node.on_message('vm-1', ('10.0.1.1', 7200), body, bench.now)


def measure_cost() -> None:
    """Print the cost of one node by the number of members."""
    print('one node: processor us/s, bytes/s both ways, datagrams/s, table KB;')
    print('then the same in the 30 s after a failure domain was lost')
    for size in SIZES:
        bench = Bench(size)
        bench.run(30)
        cpu, rate, datagrams = bench.run(SECONDS)
        lose_a_domain(bench)
        lost = bench.run(30)
        print(
            f'{size:>5} {cpu:8.0f} {rate:8.0f} {datagrams:6.1f} '
            f'{bench.memory_bytes / 1024:8.0f}   |{lost[0]:8.0f} {lost[1]:8.0f} '
            f'{lost[2]:6.1f}'
        )


def measure_detection() -> None:
    """Print the virtual seconds until all others suspect a killed member."""
    print('seconds until the first and until all suspect a killed member: median, most')
    for size in DETECTION_SIZES:
        firsts, alls = [], []
        for seed in range(ROUNDS):
            world = started_world(size, seed)
            world.kill('vm-3')
            began = world.now
            first = 0.0
            while not all(knows(p, 'vm-3') for p in world.processes.values()):
                world.run(TICK_SECONDS)
                if not first and any(
                    knows(p, 'vm-3') for p in world.processes.values()
                ):
                    first = world.now - began
            firsts.append(first)
            alls.append(world.now - began)
        print(
            f'{size:>5} first {statistics.median(firsts):5.2f} {max(firsts):5.2f}   '
            f'all {statistics.median(alls):5.2f} {max(alls):5.2f}'
        )


def measure_false_alarms() -> None:
    """Print whom a process accuses that was frozen and wakes."""
    print(f'accusations in the 5 s after waking from {FROZEN_SECONDS:.0f} s frozen')
    for size in DETECTION_SIZES:
        by_frozen = by_others = 0
        for seed in range(ROUNDS):
            world = started_world(size, seed)
            frozen = world.processes['vm-3']
            frozen.frozen = True
            world.run(FROZEN_SECONDS)
            frozen.frozen = False
            for process in world.processes.values():
                process.protocol.events.clear()
            world.run(5)
            for process in world.processes.values():
                count = sum(e.name == 'suspected' for e in process.protocol.events)
                by_frozen += count if process is frozen else 0
                by_others += 0 if process is frozen else count
        print(f'{size:>5} by the frozen {by_frozen}, by the others {by_others}')


def started_world(size: int, seed: int) -> MemberHarness:
    """Return a harness in which all members know each other."""
    world = MemberHarness(random.Random(seed))
    for number in range(size):
        world.start(f'vm-{number}', f'domain-{number % DOMAINS}')
    for process in world.processes.values():
        for other in world.processes.values():
            process.protocol.add_member(other.protocol.table.own, world.now)
    world.run(5)
    return world


def knows(process: object, vm: str) -> bool:
    """Say whether the process holds the member for not alive."""
    known = process.protocol.table.by_vm.get(vm)
    return known is not None and known.state is not MemberState.ALIVE


def main() -> None:
    """Print all tables."""
    print(f'{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}')
    measure_cost()
    measure_detection()
    measure_false_alarms()


if __name__ == '__main__':
    main()
