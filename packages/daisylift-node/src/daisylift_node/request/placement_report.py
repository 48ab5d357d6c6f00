"""Reports where this VM would send a request now, and why, without sending it.

Nothing is sent for a report, and no slot or token is taken. It shows what this VM knows
at this moment; another VM may know something else.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from daisylift.decisions.placement import ServicePlacer, WorkEstimate
from daisylift.decisions.ranking import Candidate
from daisylift.models.desired_state import Route, Tenant
from daisylift_node.request.steered_call import home_regions
from daisylift_node.request.steering import Steering
from daisylift_node.version.fleet_view import FleetView

NO_CAPACITY = 'no free slot'
NO_COLD_CAPACITY = 'at the request rate of a cold server'

DescribeUsage = Callable[[Tenant], Mapping[str, object]]


class QuestionError(Exception):
    """The question does not describe a request."""


@dataclass(frozen=True, slots=True)
class PlacementQuestion:
    """A request to report on. ``tenant`` is a name; empty means that there is none."""

    host: str
    path: str
    tenant: str = ''
    object_key: str = ''

    @classmethod
    def from_query(cls, query: Mapping[str, str]) -> 'PlacementQuestion':
        """Return the question in a query; raise QuestionError if it is incomplete."""
        host, path = query.get('host', ''), query.get('path', '')
        if not host or not path.startswith('/'):
            raise QuestionError('a host and a path that begins with / are needed')
        return cls(host, path, query.get('tenant', ''), query.get('object', ''))


class PlacementReporter:
    """Builds reports from what this VM knows."""

    def __init__(
        self,
        view: FleetView,
        steering: Steering,
        describe_usage: DescribeUsage,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._steering = steering
        self._describe_usage = describe_usage
        self._clock = clock

    def report(self, question: PlacementQuestion) -> dict[str, Any]:
        """Return the report as a document for JSON."""
        routes = self._view.routes
        document: dict[str, Any] = {
            'host': question.host,
            'path': question.path,
            'version': routes.state.version if routes else None,
            'servers_at': self._view.servers.revision,
            'copy_age_seconds': {
                kind: _rounded(replica.age_seconds())
                for kind, replica in self._view.replicas_by_kind.items()
            },
        }
        if routes is None or not self._view.is_ready:
            return document | _refused('no desired state is known yet')
        route = routes.match(question.host, question.path)
        if route is None or not route.destinations:
            return document | _refused('no route matches host and path')
        document['route'] = _route_fields(route)
        tenant = routes.state.tenants_by_name.get(question.tenant)
        if question.tenant and tenant is None:
            return document | _refused('the desired state has no such tenant')
        if routes.state.tenants_by_name and tenant is None and not route.is_public:
            return document | _refused('the route needs a key of a tenant')
        if tenant is not None:
            document['tenant'] = self._tenant_fields(tenant)
        homes = home_regions(route, tenant)
        services = [
            self._service(route, each.service, each.weight, homes, question.object_key)
            for each in route.destinations
        ]
        verdicts = sorted({each['verdict'] for each in services})
        return document | {'verdict': ' or '.join(verdicts), 'services': services}

    def _service(
        self,
        route: Route,
        service: str,
        weight: int,
        homes: frozenset[str] | None,
        object_key: str,
    ) -> dict[str, Any]:
        now = self._clock()
        placer = self._view.placer(service)
        estimate = self._steering.estimate(route, service)
        key = (
            f'{route.kind.value}/{object_key}' if route.sticky and object_key else None
        )
        usable = self._view.cold_without_capacity(placer, now)
        chosen = placer.choose(key, estimate, homes, usable, now)
        queue = self._steering.queues_by_service.get(service)
        verdict = 'sent'
        if not placer.has_servers(homes):
            verdict = 'refused: no server may serve it'
        elif placer.resumes_at(homes, now) is not None:
            verdict = 'refused: all servers want nothing for a while'
        elif chosen is None:
            verdict = 'waits or is refused: no server has capacity'
        servers = [
            self._server(placer, each, key, estimate, homes, usable, now)
            for each in placer.candidates_by_id.values()
        ]
        for each in servers:
            each['chosen'] = chosen is not None and each['id'] == chosen.server.id
        servers.sort(key=_rank)
        servers += [
            {'id': server_id, 'excluded': reason, 'chosen': False}
            for server_id, reason in self._view.unusable_by_id(service).items()
        ]
        return {
            'service': service,
            'weight': weight,
            'verdict': verdict,
            'waiting': len(queue.waiters) if queue else 0,
            'warm_seconds': _rounded(estimate.warm_seconds),
            'cold_seconds': _rounded(estimate.cold_seconds),
            'servers': servers,
        }

    def _server(
        self,
        placer: ServicePlacer,
        candidate: Candidate,
        object_key: str | None,
        estimate: WorkEstimate,
        homes: frozenset[str] | None,
        usable: Mapping[str, bool],
        now: float,
    ) -> dict[str, Any]:
        server, stats = candidate.server, candidate.stats
        placement = placer.estimate_finish(candidate, object_key, estimate, now)
        excluded = placer.ineligibility(candidate, homes, now)
        if excluded is None and not usable.get(server.id, True):
            excluded = NO_COLD_CAPACITY
        if excluded is None and placement is None:
            excluded = NO_CAPACITY
        load = candidate.region_stats.load_per_slot(now)
        return {
            'id': server.id,
            'excluded': excluded,
            'finish_seconds': _rounded(placement.finish_seconds) if placement else None,
            'work_seconds': _rounded(placement.work_seconds) if placement else None,
            'region': candidate.region,
            'failure_domain': server.failure_domain,
            'in_flight': stats.in_flight,
            'occupancy': _rounded(stats.occupancy(now, load)),
            'slots': stats.slots,
            'load_age_seconds': _rounded(stats.load_age_seconds(now)),
            'slowness': _rounded(stats.slowness),
            'failure_rate': _rounded(stats.failure_rate(now)),
            'slowdown': _rounded(stats.slowdown(estimate.warm_seconds, now)),
            'pace': _rounded(stats.pace.share(now)),
            'cold': stats.is_cold(now),
            'seen': object_key is not None and stats.has_seen(object_key),
        }

    def _tenant_fields(self, tenant: Tenant) -> dict[str, object]:
        return {
            'name': tenant.name,
            'priority': tenant.priority,
            'home_regions': sorted(tenant.home_regions),
            'cap_per_second': tenant.requests_per_second,
            **self._describe_usage(tenant),
        }


def _route_fields(route: Route) -> dict[str, object]:
    return {
        'name': route.name,
        'kind': route.kind.value,
        'priority': route.priority,
        'home_regions': sorted(route.home_regions),
        'public': route.is_public,
        'target_seconds': route.target_seconds,
        'timeout_seconds': route.timeout_seconds,
    }


def _refused(reason: str) -> dict[str, Any]:
    return {'verdict': 'refused', 'reason': reason, 'services': []}


def _rank(server: Mapping[str, Any]) -> tuple[bool, bool, float]:
    finish = server['finish_seconds']
    excluded = server['excluded'] is not None
    return (not server['chosen'], excluded, finish if finish is not None else 0.0)


def _rounded(seconds: float) -> float | None:
    """Return the number for JSON, which has no infinity."""
    return round(seconds, 4) if abs(seconds) != float('inf') else None
