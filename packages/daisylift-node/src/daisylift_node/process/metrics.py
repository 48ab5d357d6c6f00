"""The Prometheus metrics of a node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
)


class Metrics:
    """All metrics of one node, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.lookups = Counter(
            'daisylift_lookups',
            'Look-ups answered.',
            ['service'],
            registry=self.registry,
        )
        self.requests = Counter(
            'daisylift_requests',
            'Requests by service and outcome.',
            ['service', 'outcome'],
            registry=self.registry,
        )
        self.refusals = Counter(
            'daisylift_refusals',
            'Refused requests by service and reason.',
            ['service', 'reason'],
            registry=self.registry,
        )
        self.retries = Counter(
            'daisylift_retries',
            'Failed tries by service, reason, and whether another was granted.',
            ['service', 'reason', 'verdict'],
            registry=self.registry,
        )
        self.forwards = Counter(
            'daisylift_forwards',
            'Requests passed on to another entry VM, by outcome.',
            ['service', 'outcome'],
            registry=self.registry,
        )
        self.link_bytes = Counter(
            'daisylift_link_bytes',
            'Bytes sent or asked for over a link between regions.',
            ['source', 'destination'],
            registry=self.registry,
        )
        self.load_polls = Counter(
            'daisylift_load_polls',
            'Polls of backend servers by result.',
            ['result'],
            registry=self.registry,
        )
        self.notices = Counter(
            'daisylift_notices',
            'Notices to and from peers by kind and direction.',
            ['kind', 'direction'],
            registry=self.registry,
        )
        self.platform_calls = Counter(
            'daisylift_platform_calls',
            'Calls to the platform by call and result.',
            ['call', 'result'],
            registry=self.registry,
        )
        self.peer_datagrams = Counter(
            'daisylift_peer_datagrams',
            'Datagrams sent to peers and accepted from them, by direction.',
            ['direction'],
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            'daisylift_peer_bytes',
            'Bytes of datagrams sent to peers and accepted from them, by direction.',
            ['direction'],
            registry=self.registry,
        )
        self.peer_drops = Counter(
            'daisylift_peer_drops',
            'Datagrams of the peer port dropped, by reason.',
            ['reason'],
            registry=self.registry,
        )
        self.changes = Counter(
            'daisylift_changes',
            'Changes of the configuration asked of this node, by kind and outcome.',
            ['kind', 'outcome'],
            registry=self.registry,
        )
        self.shift_holds = Counter(
            'daisylift_shift_holds',
            'Decisions to hold a shift, by reason.',
            ['reason'],
            registry=self.registry,
        )
        self.peer_pulls = Counter(
            'daisylift_peer_pulls',
            'Fetches of the configuration from peers, by result.',
            ['result'],
            registry=self.registry,
        )
        self.member_events = Counter(
            'daisylift_member_events',
            'Events of the membership by sort.',
            ['event'],
            registry=self.registry,
        )
        self.keyed_requests = Counter(
            'daisylift_keyed_requests',
            'Non-idempotent requests by sort of key and what was decided.',
            ['key', 'decision'],
            registry=self.registry,
        )
        self.idempotency_writes = Counter(
            'daisylift_idempotency_writes',
            'Later writes to idempotency records by sort and result.',
            ['write', 'result'],
            registry=self.registry,
        )
        self.leases = Counter(
            'daisylift_leases',
            'Steps of permit leases, by service and step.',
            ['service', 'step'],
            registry=self.registry,
        )
        self.unconfirmed_ordinals = Gauge(
            'daisylift_unconfirmed_ordinals',
            'Ordinals whose confirmation own slots wait for.',
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            'daisylift_request_seconds',
            'Time from the request to the end of its answer.',
            ['service'],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self._task_restarts = Counter(
            'daisylift_task_restarts',
            'Endless tasks of the process that ended and were run again.',
            ['task'],
            registry=self.registry,
        )
        self._timer_failures = Counter(
            'daisylift_timer_failures',
            'Periodic calls that ended with an unexpected error.',
            ['call'],
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            'daisylift_configuration_version',
            'The configuration version in force.',
            registry=self.registry,
        )

    def count_task_restart(self, task: str) -> None:
        """Count a task that ended although it should not, and is run again."""
        self._task_restarts.labels(task=task).inc()

    def count_timer_failure(self, call: str) -> None:
        """Count a periodic call that ended with an unexpected error."""
        self._timer_failures.labels(call=call).inc()
