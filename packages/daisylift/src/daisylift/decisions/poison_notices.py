"""Queues notices about poison requests for gossip, each for a bounded number of rounds.

Load pattern: rare notices that every node needs within a second or two, so that a
poison request is also refused if its caller sends it to another entry VM.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice

from daisylift.decisions.poison_requests import Digest

TRANSMISSIONS_PER_NOTICE = 10  # ten rounds reach 930 nodes with a fanout of 3
MAX_PENDING = 256  # bounds memory while many servers are lost at once


@dataclass(frozen=True, slots=True)
class BreakNotice:
    """A request crashed a server (with id ``break_id``), or was answered (id 0)."""

    digest: Digest
    break_id: int


@dataclass(slots=True)
class PoisonNoticeQueue:
    """The notices that a node still has to send, newest first."""

    _remaining_by_notice: OrderedDict[BreakNotice, int] = field(
        default_factory=OrderedDict
    )

    def push(self, notice: BreakNotice) -> None:
        """Queue a notice; drop the oldest if too many are pending."""
        self._remaining_by_notice[notice] = TRANSMISSIONS_PER_NOTICE
        while len(self._remaining_by_notice) > MAX_PENDING:
            self._remaining_by_notice.popitem(last=False)

    def take(self, count: int) -> list[BreakNotice]:
        """Return the notices for one round of gossip and count their transmission."""
        chosen = list(islice(reversed(self._remaining_by_notice), count))
        for notice in chosen:
            self._remaining_by_notice[notice] -= 1
            if not self._remaining_by_notice[notice]:
                del self._remaining_by_notice[notice]
        return chosen
