"""Answers lookups: which entry VMs a caller should use for a service."""

import ipaddress
from dataclasses import dataclass

import xxhash
from aiohttp import web

from daisylift.decisions.blocks import IpAddress
from daisylift.models import Service
from daisylift.outcome import Outcome
from daisylift_node.process.members import Member
from daisylift_node.process.metrics import Metrics
from daisylift_node.request.problem import Reason, Refusal, refusal_response
from daisylift_node.request.request_ids import RequestIdIssuer
from daisylift_node.version.steering import Steering


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """The entry VMs to use, in order, and how long to cache them."""

    service: str
    site: str
    entry_vms: tuple[Member, ...]
    version: int
    stages: dict[str, int]
    ttl_seconds: float

    def document(self) -> dict[str, object]:
        """Return the answer as the JSON document for callers."""
        return {
            'service': self.service,
            'site': self.site,
            'entry_vms': [
                {
                    'address': member.caller_address,
                    'failure_domain': member.claim.failure_domain,
                }
                for member in self.entry_vms
            ],
            'version': self.version,
            'stages': self.stages,
            'ttl_seconds': self.ttl_seconds,
        }


class LookupHandler:
    """Answers lookups from memory, also while the platform is down."""

    def __init__(
        self, steering: Steering, issuer: RequestIdIssuer, metrics: Metrics
    ) -> None:
        self._steering = steering
        self._issuer = issuer
        self._metrics = metrics

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer ``GET /v1/lookup?service=S&client=IP`` (or ``block=CIDR``)."""
        name = request.query.get('service', '')
        answer = self.answer(name, _client_text(request))
        if isinstance(answer, Refusal):
            self._metrics.refusals.labels(
                service=name if self._service(name) else '', reason=answer.reason.value
            ).inc()
            return refusal_response(answer)
        self._metrics.lookups.labels(service=name).inc()
        document = {**answer.document(), 'request_id': self._issuer.issue()}
        return web.json_response(document)

    def answer(self, name: str, client: str) -> LookupAnswer | Refusal:
        """Return the answer for an address or block, or a typed refusal."""
        configuration = self._steering.configuration
        if not configuration.version:
            return _refusal(Reason.NOT_READY, 'no configuration is in force yet')
        service = self._service(name)
        if service is None:
            return _refusal(Reason.UNKNOWN_SERVICE, f'unknown service {name!r}')
        address = _parse_client(client)
        if address is None:
            return _refusal(
                Reason.BAD_REQUEST, f'{client[:80]!r} is no IP address or block'
            )
        site, _ = self._steering.site_of(name, address)
        members = self._steering.entry_vms_for(site, _rotation(name, address))
        if not members:
            return _refusal(Reason.NOT_READY, 'no entry VM is known yet')
        return LookupAnswer(
            service=name,
            site=site,
            entry_vms=tuple(members),
            version=configuration.version,
            stages=dict(self._steering.stages_by_service.get(name, {})),
            ttl_seconds=service.answer_ttl_seconds,
        )

    def _service(self, name: str) -> Service | None:
        return self._steering.configuration.index.services_by_name.get(name)


def _client_text(request: web.BaseRequest) -> str:
    query = request.query
    return query.get('client') or query.get('block') or request.remote or ''


def _parse_client(text: str) -> IpAddress | None:
    try:
        return ipaddress.ip_address(text.partition('/')[0])
    except ValueError:
        return None


def _rotation(service: str, address: IpAddress) -> int:
    return xxhash.xxh32_intdigest(address.packed + service.encode())


def _refusal(reason: Reason, detail: str) -> Refusal:
    return Refusal(reason=reason, outcome=Outcome.DID_NOT_RUN, detail=detail)
