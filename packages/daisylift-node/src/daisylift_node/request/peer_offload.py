"""Offloads calls to other entry VMs when this node has no slot for them."""

from collections.abc import Callable, Sequence

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.membership import MemberState
from daisylift_node.process.idle import IdlePeers
from daisylift_node.process.members import MAX_ALTERNATIVE_VMS, Member
from daisylift_node.process.metrics import Metrics
from daisylift_node.request.call import Call
from daisylift_node.request.ending import Ending
from daisylift_node.request.forward import Forwarder

ListMembers = Callable[[], Sequence[Member]]


class PeerOffload:
    """Forwards calls to peers with idle slots, and lists VMs for callers to try."""

    def __init__(
        self,
        idle: IdlePeers,
        forwarder: Forwarder,
        others: ListMembers,
        metrics: Metrics,
    ) -> None:
        self._idle = idle
        self._forwarder = forwarder
        self._others = others
        self._metrics = metrics
        self._regions: dict[str, str] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the regions of a configuration."""
        self._regions = configuration.policy.regions_by_failure_domain()

    async def serve(self, call: Call) -> Ending | None:
        """Forward the call; return None if no peer has an idle slot."""
        member = await self._idle.find(call.service.name)
        if member is None:
            return None
        region = self._regions.get(member.claim.failure_domain, '')
        ending = await self._forwarder.forward(call, member, region)
        self._metrics.forwards.labels(
            service=call.service.name, outcome=ending.outcome.value
        ).inc()
        return ending

    def addresses(self) -> tuple[str, ...]:
        """Return up to MAX_ALTERNATIVE_VMS entry VMs for a refused caller to try."""
        members = [m for m in self._others() if m.state is MemberState.ALIVE]
        return tuple(member.caller_address for member in members[:MAX_ALTERNATIVE_VMS])
