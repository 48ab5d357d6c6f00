"""Measures the cost of the control traffic of one entry VM, by fleet size.

Replays the gossip of one entry VM in this process: its own rounds, and as many
datagrams from peers as it sends. Model: the members are spread evenly over seven
failure domains and all are alive. No socket is used, so the kernel's processor time is
not included. Run it with ``python -m bench.entry_control [SIZE...]``.
"""

import random
import sys
import time
import tracemalloc

from daisylift.decisions.fleet_roles import (
    SMALL_FLEET_MAX_VMS,
    gossip_targets,
    watches_store,
)
from daisylift.decisions.liveness import LARGE_FLEET_LOST_SECONDS, Heartbeat, Liveness
from daisylift.models.registered_server import EntryMember
from daisylift_node.connection.gossip_codec import decode, encode, name_hash
from daisylift_node.process.peer_exchange import GOSSIP_PERIOD_SECONDS
from daisylift_node.version.fleet_view import LONG_WATCH_SECONDS
from daisylift_node.version.replica import (
    DEFAULT_WATCH_SECONDS,
    STANDBY_PAUSE_SECONDS,
)

SIZES = (7, 24, 32, 100, 300, 930)
DOMAINS = 7
DOCUMENT_KINDS = 4
SHORT_WATCHED_KINDS = 2  # the desired state and the servers
REPLAY_SECONDS = 20.0
UDP_HEADER_BYTES = 28


def build_members(size: int) -> list[EntryMember]:
    """Return the members of a fleet."""
    return [
        EntryMember(f'entry-{n}', 1, f'd-{n % DOMAINS}', 'r', 'h:80', 'h', 7540)
        for n in range(size)
    ]


def replay(size: int) -> tuple[float, float, float]:
    """Return processor ms per second, bytes sent per second, and memory in KB."""
    rng = random.Random(1)
    members = build_members(size)
    own = members[0]
    gossip_names = [each.name for each in members]
    if size > SMALL_FLEET_MAX_VMS:
        gossip_names = [
            m.name for m in members if m.failure_domain == own.failure_domain
        ]
    tracemalloc.start()
    liveness = Liveness(own.name, 1, lost_seconds=LARGE_FLEET_LOST_SECONDS)
    names_by_hash = {name_hash(each.name): each.name for each in members}
    for member in members:
        liveness.expect(member.name, 1, 0.0)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    now, sent, counter = 0.0, 0, 0
    started = time.process_time()
    preparation_seconds = 0.0
    while now < REPLAY_SECONDS:
        now += GOSSIP_PERIOD_SECONDS
        counter += 1
        heartbeats = liveness.heartbeats_to_send(now, rng, gossip_names)
        data = encode(heartbeats, [1] * DOCUMENT_KINDS)
        targets = gossip_targets(own, members, rng)
        sent += len(targets) * (len(data) + UDP_HEADER_BYTES)
        before = time.process_time()
        peer_heartbeats = [
            Heartbeat(name, 1, counter, ready=True)
            for name in rng.sample(
                gossip_names, min(len(heartbeats), len(gossip_names))
            )
        ]
        arriving = [encode(peer_heartbeats, [1] * DOCUMENT_KINDS)] * len(targets)
        preparation_seconds += time.process_time() - before
        for datagram in arriving:
            liveness.receive(decode(datagram, names_by_hash).heartbeats, now)
    processor_seconds = time.process_time() - started - preparation_seconds
    return 1000.0 * processor_seconds / REPLAY_SECONDS, sent / REPLAY_SECONDS, memory_kb


def store_reads(size: int) -> float:
    """Return the store reads per second of all VMs while nothing changes."""
    members = build_members(size)
    live = {each.name for each in members}
    watchers = sum(watches_store(each, members, live) for each in members)
    others = size - watchers
    long_watched = DOCUMENT_KINDS - SHORT_WATCHED_KINDS
    reads_per_watcher = (
        SHORT_WATCHED_KINDS / DEFAULT_WATCH_SECONDS + long_watched / LONG_WATCH_SECONDS
    )
    return (
        watchers * reads_per_watcher + DOCUMENT_KINDS * others / STANDBY_PAUSE_SECONDS
    )


def main() -> None:
    """Print the table."""
    sizes = [int(argument) for argument in sys.argv[1:]] or SIZES
    print(
        '| entry VMs | processor ms/s | bytes/s sent | memory KB | reads/s, all VMs |'
    )
    print('| --- | --- | --- | --- | --- |')
    for size in sizes:
        processor_ms, sent, memory_kb = replay(size)
        reads = store_reads(size)
        print(
            f'| {size} | {processor_ms:.2f} | {sent:.0f} | {memory_kb:.0f} '
            f'| {reads:.0f} |'
        )


if __name__ == '__main__':
    main()
