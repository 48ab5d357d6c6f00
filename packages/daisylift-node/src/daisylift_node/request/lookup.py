"""Answers look-ups: which entry VMs a caller should use for a service."""

from aiohttp import web

from daisylift.outcome import Outcome
from daisylift_node.process.members import Members
from daisylift_node.process.metrics import Metrics
from daisylift_node.request.problem import Reason, Refusal, refusal_response
from daisylift_node.version.configuration import ConfigurationFollower


class LookupHandler:
    """Answers from memory, also while the platform is down."""

    def __init__(
        self, follower: ConfigurationFollower, members: Members, metrics: Metrics
    ) -> None:
        self._follower = follower
        self._members = members
        self._metrics = metrics

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer ``GET /v1/lookup?service=S&client=IP``."""
        name = request.query.get('service', '')
        service = self._follower.current.policy.services_by_name().get(name)
        if service is None:
            return refusal_response(
                Refusal(
                    reason=Reason.UNKNOWN_SERVICE,
                    outcome=Outcome.DID_NOT_RUN,
                    detail=f'unknown service {name!r}',
                )
            )
        self._metrics.lookups.labels(service=name).inc()
        return web.json_response(
            {
                'service': name,
                'entry_vms': [
                    {
                        'address': member.caller_address,
                        'failure_domain': member.claim.failure_domain,
                    }
                    for _, member in sorted(self._members.by_ordinal.items())
                ],
                'version': self._follower.current.version,
                'ttl_seconds': service.answer_ttl_seconds,
            }
        )
