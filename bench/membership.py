"""Measures the cost of membership on one node, and the time to detect a failure.

Run it with ``python -m bench.membership``. The first table is for one node with a full
member table, whose peers reply at once; datagrams are encoded, signed and decoded, but
no socket is used. The other tables are for all nodes on a virtual clock.
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
MEASURED_SECONDS = 60
ROUNDS = 5
FROZEN_SECONDS = 10.0
IP_AND_UDP_BYTES = 28
KEY = 'a-key-for-the-bench'


def make_record(number: int, health: Health = Health.ALIVE) -> MemberRecord:
    """Return the record of one of many members."""
    host = f'10.{number // 250}.{number % 250}.1'
    details = MemberDetails(
        1, f'domain-{number % DOMAINS}', (host, 7000), (host, 7200), number
    )
    return MemberRecord(f'vm-{number}', f'{number:016x}', 1, details, health)


class SingleNode:
    """One node whose peers reply to each probe, and probe it once per second."""

    def __init__(self, size: int) -> None:
        self.codec = DatagramCodec(KEY)
        self.now = 0.0
        self.bytes = 0
        self.datagrams = 0
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        self.protocol = MemberProtocol(make_record(0), (), random.Random(1), self.now)
        for number in range(1, size):
            self.protocol.add_member(make_record(number), self.now)
        self.memory_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        self.size = size

    def run(self, seconds: float) -> tuple[float, float, float]:
        """Return processor time in us, bytes and datagrams, each per second."""
        self.bytes = self.datagrams = 0
        started = time.process_time()
        for tick in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.protocol.tick(self.now)
            if tick % 4 == 0:
                probe = pb.Probe(digest=self.protocol.table.digest())
                self._receive(1 + tick % (self.size - 1), probe)
            self._reply_to_probes()
        processor_seconds = time.process_time() - started
        return (
            processor_seconds / seconds * 1e6,
            self.bytes / seconds,
            self.datagrams / seconds,
        )

    def _reply_to_probes(self) -> None:
        messages, self.protocol.outgoing[:] = list(self.protocol.outgoing), []
        for message in messages:
            self._send(message.body)
            if isinstance(message.body, pb.Probe):
                a, b = (int(part) for part in message.address[0].split('.')[1:3])
                answer = pb.ProbeAnswer(digest=self.protocol.table.digest())
                self._receive(a * 250 + b, answer)

    def _receive(self, number: int, body: pb.Probe | pb.ProbeAnswer) -> None:
        data = self._datagram(body)
        envelope = self.codec.decode(data)
        vm = f'vm-{number}'
        self.protocol.on_contact(vm, f'{number:016x}', self.now)
        name = envelope.WhichOneof('body')
        address = make_record(number).details.peer_address
        self.protocol.on_message(vm, address, getattr(envelope, name), self.now)

    def _send(self, body: object) -> None:
        self._datagram(body)

    def _datagram(self, body: object) -> bytes:
        names = {f.message_type.full_name: f.name for f in _envelope_body_fields()}
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


def _envelope_body_fields() -> list:
    return pb.Envelope.DESCRIPTOR.oneofs_by_name['body'].fields


def suspect_a_domain(node: SingleNode) -> None:
    """Send the node updates that a complete failure domain is suspected."""
    lost = [
        make_record(n, Health.SUSPECT) for n in range(1, node.size) if n % DOMAINS == 3
    ]
    for start in range(0, len(lost), 4):
        updates = [
            encode_record(one, with_details=False) for one in lost[start : start + 4]
        ]
        body = pb.MemberUpdates(updates=updates)
        node.protocol.on_message('vm-1', ('10.0.1.1', 7200), body, node.now)


def measure_cost() -> None:
    """Print the cost of one node by the number of members."""
    print(
        'one node: processor us/s, bytes/s in both directions, datagrams/s, table KB;'
    )
    print('then the same in the 30 s after the loss of a failure domain')
    for size in SIZES:
        node = SingleNode(size)
        node.run(30)
        cpu, rate, datagrams = node.run(MEASURED_SECONDS)
        suspect_a_domain(node)
        lost = node.run(30)
        print(
            f'{size:>5} {cpu:8.0f} {rate:8.0f} {datagrams:6.1f} '
            f'{node.memory_bytes / 1024:8.0f}   |{lost[0]:8.0f} {lost[1]:8.0f} '
            f'{lost[2]:6.1f}'
        )


def measure_detection() -> None:
    """Print the virtual seconds until one and until all suspect a killed member."""
    print(
        'seconds until the first and until all suspect a killed member: median, maximum'
    )
    for size in DETECTION_SIZES:
        first_times, all_times = [], []
        for seed in range(ROUNDS):
            harness = start_harness(size, seed)
            harness.kill('vm-3')
            started = harness.now
            first = 0.0
            while not all(
                considers_lost(p, 'vm-3') for p in harness.processes.values()
            ):
                harness.run(TICK_SECONDS)
                if not first and any(
                    considers_lost(p, 'vm-3') for p in harness.processes.values()
                ):
                    first = harness.now - started
            first_times.append(first)
            all_times.append(harness.now - started)
        print(
            f'{size:>5} first {statistics.median(first_times):5.2f} '
            f'{max(first_times):5.2f}   '
            f'all {statistics.median(all_times):5.2f} {max(all_times):5.2f}'
        )


def measure_false_alarms() -> None:
    """Print the false suspicions after a frozen process resumes."""
    print(f'false suspicions in the 5 s after a freeze of {FROZEN_SECONDS:.0f} s')
    for size in DETECTION_SIZES:
        by_frozen = by_others = 0
        for seed in range(ROUNDS):
            harness = start_harness(size, seed)
            frozen = harness.processes['vm-3']
            frozen.frozen = True
            harness.run(FROZEN_SECONDS)
            frozen.frozen = False
            for process in harness.processes.values():
                process.protocol.events.clear()
            harness.run(5)
            for process in harness.processes.values():
                count = sum(e.name == 'suspected' for e in process.protocol.events)
                by_frozen += count if process is frozen else 0
                by_others += 0 if process is frozen else count
        print(f'{size:>5} by the frozen process {by_frozen}, by the others {by_others}')


def start_harness(size: int, seed: int) -> MemberHarness:
    """Return a harness in which each member has all the others in its table."""
    harness = MemberHarness(random.Random(seed))
    for number in range(size):
        harness.start(f'vm-{number}', f'domain-{number % DOMAINS}')
    for process in harness.processes.values():
        for other in harness.processes.values():
            process.protocol.add_member(other.protocol.table.own, harness.now)
    harness.run(5)
    return harness


def considers_lost(process: object, vm: str) -> bool:
    """Return whether the process considers the member not alive."""
    record = process.protocol.table.by_vm.get(vm)
    return record is not None and record.state is not MemberState.ALIVE


def main() -> None:
    """Print all tables."""
    print(f'{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}')
    measure_cost()
    measure_detection()
    measure_false_alarms()


if __name__ == '__main__':
    main()
