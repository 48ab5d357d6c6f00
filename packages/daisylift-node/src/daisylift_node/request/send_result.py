"""The result of sending a request to one backend server."""

from dataclasses import dataclass

from daisylift_node.connection.server_connection import ServerResponse
from daisylift_node.request.dialect import ResponseMetadata


@dataclass(frozen=True, slots=True)
class SendResult:
    """The server's response, if any, and whether a byte of the request was sent.

    ``was_withdrawn``: the server was given up for the request before it was sent.
    """

    response: ServerResponse | None
    metadata: ResponseMetadata | None
    was_sent: bool
    was_withdrawn: bool = False

    @property
    def reason(self) -> str:
        """Return why the request may have to be sent to another server."""
        if self.was_withdrawn:
            return 'withdrawn'
        if not self.was_sent:
            return 'unreachable'
        if self.response is None or self.metadata is None:
            return 'answer_lost'
        if self.metadata.is_other_server:
            return 'other_server'
        return 'shed' if self.metadata.was_not_run else 'server_failed'
