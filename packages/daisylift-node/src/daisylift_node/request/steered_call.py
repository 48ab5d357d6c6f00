"""One caller's request on its way through an entry VM on the platform."""

from dataclasses import dataclass, field

from daisylift.decisions.placement import Placement
from daisylift.decisions.poison_requests import Digest
from daisylift.models.desired_state import Route
from daisylift_node.connection.server_connection import ServerAnswer
from daisylift_node.request.dialect import AnswerTerms, RawHeaders

SUCCESS = range(200, 300)


@dataclass(slots=True)
class Call:
    """A caller's request on its way. Moments are of the steady clock, in seconds.

    ``digest`` names the request, whoever sends it and however often.
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
    limit_at: float
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    waited_seconds: float = 0.0
    placement: Placement | None = None

    @property
    def target_at(self) -> float:
        """The moment by which an answer is worth most."""
        return self.arrived_at + self.route.target_seconds

    def owns(self, terms: AnswerTerms) -> bool:
        """Say whether the answer may be this request's, and not a crossed one."""
        return not self.request_id or terms.request_id in (None, self.request_id)

    def is_answered_by(self, answer: ServerAnswer, terms: AnswerTerms) -> bool:
        """Say whether the answer is surely this request's own."""
        if answer.status not in SUCCESS:
            return True
        is_named = not self.request_id or terms.request_id == self.request_id
        return terms.is_stamped and is_named
