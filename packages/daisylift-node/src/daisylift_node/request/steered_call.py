"""The state of one caller's request in an entry VM on the platform."""

from dataclasses import dataclass, field

from daisylift.decisions.placement import Placement
from daisylift.decisions.poison_requests import Digest
from daisylift.decisions.tenant_keys import Credential
from daisylift.decisions.usage_grants import UsageTicket
from daisylift.models.desired_state import Route, Tenant
from daisylift_node.connection.server_connection import ServerResponse
from daisylift_node.request.dialect import RawHeaders, ResponseMetadata

SUCCESS_STATUSES = range(200, 300)


@dataclass(slots=True)
class SteeredCall:
    """A caller's request while it is steered. Times are monotonic, in seconds.

    ``digest`` identifies the request across callers and repeats. ``tenant`` holds the
    key of ``credential`` in the desired state by which the request was placed last.
    ``server_limit`` is the request rate limit of the server that it was sent to last,
    per second.
    ``usage_tickets`` are the tokens that it took of its tenant's usage cap.
    """

    request_id: str
    method: str
    target: str
    headers: RawHeaders
    body: bytes
    route: Route
    service: str
    object_key: str | None
    digest: Digest
    arrived_at: float
    deadline_at: float
    credential: Credential | None = None
    tenant: Tenant | None = None
    tried_server_ids: set[str] = field(default_factory=set)
    sends: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    waited_seconds: float = 0.0
    placement: Placement | None = None
    server_limit: float | None = None
    usage_tickets: list[UsageTicket] = field(default_factory=list)

    @property
    def target_at(self) -> float:
        """Return the time by which the response should arrive."""
        return self.arrived_at + self.route.target_seconds

    @property
    def priority(self) -> int:
        """Return the priority, 0 being the highest; that of a tenant goes first."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority

    @property
    def home_regions(self) -> frozenset[str] | None:
        """Return the regions that may serve the request, None if all may.

        The set is empty if the route and the tenant have no region in common.
        """
        return home_regions(self.route, self.tenant)

    def may_own(self, metadata: ResponseMetadata) -> bool:
        """Return whether the response may belong to this request, not to another.

        A refusal must name its request: it may be an earlier one, written once more.
        """
        if not self.request_id or metadata.request_id == self.request_id:
            return True
        return metadata.request_id is None and not metadata.was_not_run

    def surely_owns(self, response: ServerResponse, metadata: ResponseMetadata) -> bool:
        """Return whether the response certainly belongs to this request."""
        if response.status not in SUCCESS_STATUSES:
            return True
        is_named = not self.request_id or metadata.request_id == self.request_id
        return metadata.is_stamped and is_named


def home_regions(route: Route, tenant: Tenant | None) -> frozenset[str] | None:
    """Return the regions that may serve requests of the tenant, None if all may."""
    tenant_homes = tenant.home_regions if tenant else frozenset()
    if route.home_regions and tenant_homes:
        return route.home_regions & tenant_homes
    return route.home_regions or tenant_homes or None
