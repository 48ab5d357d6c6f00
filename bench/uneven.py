"""Replays many VMs that place requests on servers with few slots and uneven machines.

Load pattern: a server shares its machine with others and takes SLOW_FACTOR times as
long for short, random periods. Each VM knows a server only by its own responses, which
are rare in a large fleet. Printed for each number of VMs, for requests with and without
objects: the share of requests that
were sent to a server without a free slot while another had one (overshoot), the share
of slots that were idle while requests queued, and the mean and 99th percentile of the
time to the response, without and with the slowdown that servers report.
Run it with ``python -m bench.uneven [VMS...]``.
"""

import heapq
import itertools
import random
import sys
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from daisylift.decisions.placement import Placement, ServicePlacer, WorkEstimate
from daisylift.decisions.ranking import Candidate, Location
from daisylift.decisions.region_stats import RegionStats
from daisylift.decisions.server_stats import LoadReport, ServerStats
from daisylift.models.registered_server import RegisteredServer

VM_COUNTS = (25, 110)
SERVERS = 24
DOMAINS = 4
SLOTS = 4
OBJECTS = 200
KEPT_OBJECTS = 16
SECONDS = 60.0
UTILISATION = 0.6
WARM_SECONDS, COLD_SECONDS = 0.16, 0.54
HEAVY_SHARE, HEAVY_FACTOR = 0.2, 4.0
SLOW_SHARE, SLOW_FACTOR, SLOW_SECONDS = 0.15, 2.5, 0.6
LIGHT = WorkEstimate(WARM_SECONDS, COLD_SECONDS, 1500.0)
HEAVY = WorkEstimate(HEAVY_FACTOR * WARM_SECONDS, HEAVY_FACTOR * COLD_SECONDS, 1500.0)


@dataclass
class Server:
    """A server: slots, a queue, an object cache and the speed of its machine."""

    rng: random.Random
    running: int = 0
    queue: deque['Request'] = field(default_factory=deque)
    objects: OrderedDict[str, None] = field(default_factory=OrderedDict)
    slowdown: float = 1.0

    def work_seconds(self, request: 'Request') -> float:
        """Return how long the request takes if it starts now."""
        if request.key is None:
            return self._usual_seconds(request.estimate.warm_seconds)
        request.is_warm = request.key in self.objects
        self.objects[request.key] = None
        self.objects.move_to_end(request.key)
        while len(self.objects) > KEPT_OBJECTS:
            self.objects.popitem(last=False)
        estimate = request.estimate
        usual = estimate.warm_seconds if request.is_warm else estimate.cold_seconds
        return self._usual_seconds(usual)

    def _usual_seconds(self, usual: float) -> float:
        return usual * self.rng.uniform(0.85, 1.15) * self.slowdown


@dataclass
class Request:
    """A request of one VM."""

    vm: int
    key: str | None
    estimate: WorkEstimate
    sent_at: float
    placement: Placement | None = None
    is_warm: bool = True


class Replay:
    """The replay of SECONDS of load; ``is_reported``: servers report the slowdown."""

    def __init__(self, vms: int, is_reported: bool, has_objects: bool) -> None:
        self.rng = random.Random(3)
        self.is_reported = is_reported
        self.has_objects = has_objects
        self.servers = {f'i-{n}': Server(random.Random(n)) for n in range(SERVERS)}
        self.placers = [self._placer(n) for n in range(vms)]
        self.events: list[tuple[float, int, str, object]] = []
        self.count = 0
        self.sent = self.overshoot = 0
        self.idle_slots = self.samples = 0
        self.seconds: list[float] = []

    def _placer(self, vm: int) -> ServicePlacer:
        domain = f'd-{vm % DOMAINS}'
        candidates, region_stats = [], RegionStats()
        for number, server_id in enumerate(self.servers):
            server = RegisteredServer(
                server_id, 's', 'h', 80, f'd-{number % DOMAINS}', SLOTS, False, 0.0, 1
            )
            stats = ServerStats(slots=SLOTS)
            candidates.append(Candidate(server, stats, 'r', region_stats))
        return ServicePlacer(Location(domain, 'r'), candidates, random.Random(vm))

    def _add(self, at: float, kind: str, what: object = None) -> None:
        self.count += 1
        heapq.heappush(self.events, (at, self.count, kind, what))

    def run(self) -> list[float]:
        """Return overshoot, idle slots, mean and 99th percentile of the time."""
        mean = WARM_SECONDS
        if self.has_objects:
            mean = 0.5 * (WARM_SECONDS + COLD_SECONDS)
        mean *= 1.0 + HEAVY_SHARE * (HEAVY_FACTOR - 1.0)
        mean *= 1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0)
        per_second = UTILISATION * SERVERS * SLOTS / mean
        for server_id in self.servers:
            self._add(0.0, 'machine', server_id)
        self._add(0.0, 'sample')
        self._add(0.0, 'arrival')
        handlers = {
            'machine': self._change_machine,
            'sample': self._sample,
            'arrival': lambda now, _: self._arrive(now, per_second),
            'end': self._end,
        }
        while self.events:
            now, _, kind, what = heapq.heappop(self.events)
            if now > SECONDS:
                break
            handlers[kind](now, what)
        self.seconds.sort()
        return [
            self.overshoot / self.sent,
            self.idle_slots / max(1, self.samples * SERVERS * SLOTS),
            sum(self.seconds) / len(self.seconds),
            self.seconds[int(0.99 * len(self.seconds))],
        ]

    def _change_machine(self, now: float, server_id: object) -> None:
        is_slow = self.rng.random() < SLOW_SHARE
        self.servers[str(server_id)].slowdown = SLOW_FACTOR if is_slow else 1.0
        self._add(now + self.rng.expovariate(1.0 / SLOW_SECONDS), 'machine', server_id)

    def _sample(self, now: float, _: object) -> None:
        if any(server.queue for server in self.servers.values()):
            self.samples += 1
            self.idle_slots += sum(SLOTS - s.running for s in self.servers.values())
        self._add(now + 0.1, 'sample')

    def _arrive(self, now: float, per_second: float) -> None:
        self._add(now + self.rng.expovariate(per_second), 'arrival')
        vm = self.rng.randrange(len(self.placers))
        key = f'o-{self.rng.randrange(OBJECTS)}' if self.has_objects else None
        is_heavy = self.rng.random() < HEAVY_SHARE
        request = Request(vm, key, HEAVY if is_heavy else LIGHT, now)
        request.placement = self.placers[vm].choose(
            key, request.estimate, None, {}, now
        )
        if request.placement is None:
            return
        request.placement.stats.record_start(key)
        server = self.servers[request.placement.server.id]
        self.sent += 1
        if server.running < SLOTS:
            self._start(server, request, now)
            return
        has_free = any(other.running < SLOTS for other in self.servers.values())
        self.overshoot += has_free
        server.queue.append(request)

    def _start(self, server: Server, request: Request, now: float) -> None:
        server.running += 1
        self._add(now + server.work_seconds(request), 'end', (server, request))

    def _end(self, now: float, what: object) -> None:
        server, request = what  # type: ignore[misc]
        server.running -= 1
        if server.queue:
            self._start(server, server.queue.popleft(), now)
        self.seconds.append(now - request.sent_at)
        stats = request.placement.stats
        stats.record_end()
        slowdown = server.slowdown if self.is_reported else None
        report = LoadReport(server.running, len(server.queue), SLOTS, slowdown)
        stats.record_report(report, now)
        region_stats = request.placement.region_stats
        region_stats.record_report(report.per_slot, now)
        if not report.waiting:
            estimate = request.estimate
            usual = estimate.warm_seconds if request.is_warm else estimate.cold_seconds
            seconds = now - request.sent_at
            stats.record_response(seconds, usual * stats.slowdown(seconds, now))
            region_stats.record_run(request.is_warm, request.placement.was_seen)


def main() -> None:
    """Print two lines for each number of VMs."""
    counts = [int(argument) for argument in sys.argv[1:]] or VM_COUNTS
    print('VMs  objects  slowdown  overshoot  idle slots  mean s  p99 s')
    for vms, has_objects in itertools.product(counts, (True, False)):
        for is_reported in (False, True):
            replay = Replay(vms, is_reported, has_objects)
            overshoot, idle, mean, worst = replay.run()
            name = 'reported' if is_reported else 'unknown'
            print(
                f'{vms:3} {"yes" if has_objects else "no":>8} {name:>9} '
                f'{overshoot:10.3f} {idle:11.3f} {mean:7.3f} {worst:6.3f}'
            )


if __name__ == '__main__':
    main()
