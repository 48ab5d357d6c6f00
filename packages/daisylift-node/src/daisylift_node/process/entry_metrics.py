"""The Prometheus metrics of an entry VM."""

import time
from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from daisylift.decisions.tenant_stats import TenantReport
from daisylift_node.request.dialect import ResponseMetadata

SECONDS_BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)


class EntryMetrics:
    """All metrics of one entry VM, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            'daisylift_requests',
            'Requests by service, outcome and reason.',
            ('service', 'outcome', 'reason'),
            registry=self.registry,
        )
        self._request_seconds = Histogram(
            'daisylift_request_seconds',
            'Time from arrival to the outcome.',
            ('service', 'outcome'),
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._wait_seconds = Histogram(
            'daisylift_wait_seconds',
            'Time that requests waited for a slot.',
            ('service',),
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._retries = Counter(
            'daisylift_retries',
            'Requests sent to another server, by what happened at the one before.',
            ('service', 'reason'),
            registry=self.registry,
        )
        self._waiting = Gauge(
            'daisylift_waiting_requests',
            'Requests that wait for a slot.',
            ('service',),
            registry=self.registry,
        )
        self._early_requests = Gauge(
            'daisylift_early_requests',
            'Pipelined requests that run before the ones ahead of them are answered.',
            registry=self.registry,
        )
        self._unsent_bytes = Gauge(
            'daisylift_unsent_response_bytes',
            'Bytes of responses that callers have not taken yet.',
            registry=self.registry,
        )
        self._limited_sends = Counter(
            'daisylift_limited_sends',
            'Requests sent to servers that named a request rate limit.',
            ('service',),
            registry=self.registry,
        )
        self._lines_dropped = Gauge(
            'daisylift_log_lines_dropped',
            'Log lines left out because nobody read them in time.',
            registry=self.registry,
        )
        self._revision = Gauge(
            'daisylift_replica_revision',
            'Revision of the copy of the store, by kind.',
            ('kind',),
            registry=self.registry,
        )
        self._replica_age = Gauge(
            'daisylift_replica_age_seconds',
            'Time since the copy of the store was known to be complete, by kind.',
            ('kind',),
            registry=self.registry,
        )
        self._store_era = Gauge(
            'daisylift_store_era',
            'Latest era that the store named; it increases when the store comes back '
            'from an older copy.',
            registry=self.registry,
        )
        self._task_restarts = Counter(
            'daisylift_task_restarts',
            'Endless tasks of the process that ended and were run again.',
            ('task',),
            registry=self.registry,
        )
        self._statements = Counter(
            'daisylift_server_statements',
            'Responses in which servers said something of new requests.',
            ('service', 'statement'),
            registry=self.registry,
        )
        self._excluded_servers = Gauge(
            'daisylift_excluded_servers',
            'Registered servers that this VM sends nothing to now, by reason.',
            ('service', 'reason'),
            registry=self.registry,
        )
        self._tenant_requests = Gauge(
            'daisylift_tenant_requests',
            'Requests that ended in the last period, of the tenants with the most; '
            'all others are summed up.',
            ('tenant', 'outcome'),
            registry=self.registry,
        )
        self._tenants = Gauge(
            'daisylift_tenants',
            'Tenants that sent requests in the last period.',
            registry=self.registry,
        )
        self._worst_served_share = Gauge(
            'daisylift_worst_tenants_served_share',
            'Share of the requests of the tenth of the tenants served worst that were '
            'served in the last period; 1 without such requests.',
            registry=self.registry,
        )
        self._worst_served_share.set(1.0)
        self._usage = Counter(
            'daisylift_usage',
            'Requests under a usage cap that were admitted or refused, peers asked for '
            'tokens, and tokens granted to peers.',
            ('event',),
            registry=self.registry,
        )
        self._usage_tokens = Gauge(
            'daisylift_usage_tokens',
            'Tokens granted to peers and borrowed from them, by tenants with most.',
            ('tenant', 'direction'),
            registry=self.registry,
        )
        self._paced_servers = Gauge(
            'daisylift_paced_servers',
            'Servers that are watched since they started or recovered.',
            ('service',),
            registry=self.registry,
        )
        self._pace_withheld = Gauge(
            'daisylift_pace_withheld_placements',
            'Placements so far that passed over a server because of its pace.',
            ('service',),
            registry=self.registry,
        )
        self._connections_opened = Gauge(
            'daisylift_server_connections_opened',
            'Connections to servers opened so far, by why none was reused.',
            ('reason',),
            registry=self.registry,
        )
        self._timer_failures = Counter(
            'daisylift_timer_failures',
            'Periodic calls that ended with an unexpected error.',
            ('call',),
            registry=self.registry,
        )
        self._unreadable = Gauge(
            'daisylift_unreadable_documents',
            'Objects of the store that cannot be decoded, by kind.',
            ('kind',),
            registry=self.registry,
        )
        self.started_at = time.time()

    def record_request(
        self, service: str, outcome: str, reason: str, seconds: float
    ) -> None:
        """Record the end of a request that took ``seconds``."""
        self._requests.labels(service, outcome, reason).inc()
        self._request_seconds.labels(service, outcome).observe(seconds)

    def record_wait(self, service: str, seconds: float) -> None:
        """Observe how long a request waited for a slot."""
        self._wait_seconds.labels(service).observe(seconds)

    def count_retry(self, service: str, reason: str) -> None:
        """Count a request that is sent to another server after a failure."""
        self._retries.labels(service, reason).inc()

    def set_waiting(self, service: str, count: int) -> None:
        """Set the number of requests that wait for a slot."""
        self._waiting.labels(service).set(count)

    def set_held(self, early_requests: int, unsent_bytes: int) -> None:
        """Set how many requests run early, and the bytes that callers don't take."""
        self._early_requests.set(early_requests)
        self._unsent_bytes.set(unsent_bytes)

    def count_limited_send(self, service: str) -> None:
        """Count a request sent to a server that has named a request rate limit."""
        self._limited_sends.labels(service).inc()

    def count_task_restart(self, task: str) -> None:
        """Count a task that ended although it should not, and is run again."""
        self._task_restarts.labels(task).inc()

    def count_timer_failure(self, call: str) -> None:
        """Count a periodic call that ended with an unexpected error."""
        self._timer_failures.labels(call).inc()

    def count_usage(self, event: str, count: int = 1) -> None:
        """Count what happened under usage caps."""
        self._usage.labels(event).inc(count)

    def set_usage_tokens(self, tokens: Mapping[str, tuple[int, int]]) -> None:
        """Set the tokens granted to peers and borrowed from them, by tenant."""
        self._usage_tokens.clear()
        for tenant, (granted, borrowed) in tokens.items():
            self._usage_tokens.labels(tenant, 'granted').set(granted)
            self._usage_tokens.labels(tenant, 'borrowed').set(borrowed)

    def set_unreadable(self, kind: str, count: int) -> None:
        """Set the number of objects of a kind that cannot be decoded."""
        self._unreadable.labels(kind).set(count)

    def count_statements(self, service: str, metadata: ResponseMetadata) -> None:
        """Count what a server said of new requests in a response."""
        if metadata.is_leaving:
            self._statements.labels(service, 'leaving').inc()
        if metadata.pause_seconds is not None:
            self._statements.labels(service, 'paused').inc()
        if metadata.unreadable_statements:
            self._statements.labels(service, 'unreadable').inc()

    def set_excluded_servers(self, counts: Mapping[tuple[str, str], int]) -> None:
        """Set the numbers of servers that get nothing now, by service and reason."""
        self._excluded_servers.clear()
        for (service, reason), count in counts.items():
            self._excluded_servers.labels(service, reason).set(count)

    def set_tenants(self, report: TenantReport) -> None:
        """Set the figures of the tenants in the period that has ended."""
        self._tenant_requests.clear()
        for tenant, count_by_outcome in report.counts_by_tenant.items():
            for outcome, count in count_by_outcome.items():
                self._tenant_requests.labels(tenant, outcome).set(count)
        self._tenants.set(report.tenants)
        share = report.worst_served_share
        self._worst_served_share.set(1.0 if share is None else share)

    def set_paces(self, paced: Mapping[str, int], withheld: Mapping[str, int]) -> None:
        """Set the servers below their usual load, and the placements withheld."""
        self._paced_servers.clear()
        for service, count in paced.items():
            self._paced_servers.labels(service).set(count)
        for service, count in withheld.items():
            self._pace_withheld.labels(service).set(count)

    def set_connections_opened(self, counts: Mapping[str, int]) -> None:
        """Set the number of opened connections to servers, by reason."""
        for reason, count in counts.items():
            self._connections_opened.labels(reason).set(count)

    def set_lines_dropped(self, count: int) -> None:
        """Set the number of dropped log lines."""
        self._lines_dropped.set(count)

    def set_replica_revision(self, kind: str, revision: int) -> None:
        """Set the revision of the local copy of a kind."""
        self._revision.labels(kind).set(revision)

    def set_replica_age(self, kind: str, seconds: float) -> None:
        """Set for how long the local copy of a kind was not known to be complete."""
        self._replica_age.labels(kind).set(seconds)

    def set_store_era(self, era: int) -> None:
        """Set the latest era of the store."""
        self._store_era.set(era)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
