"""Which broken requests go into which gossip, each a bounded number of times.

Load pattern: rare news that every node needs within a second or two, so that a caller
who sends a breaking request to another entry VM meets a node that knows it.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice

from daisylift.decisions.breaking import Digest

TELLINGS = 10  # of one node; ten rounds of gossip reach 930 nodes with a fanout of 3
MAX_PENDING = 256  # bounds memory while many servers are lost at once


@dataclass(frozen=True, slots=True)
class BreakNotice:
    """A request broke a server, or was answered (ids: see PoisonRequestRegister)."""

    digest: Digest
    break_id: int


@dataclass(slots=True)
class BreakNews:
    """The notices that a node still passes on, the newest first."""

    _left_by_notice: OrderedDict[BreakNotice, int] = field(default_factory=OrderedDict)

    def push(self, notice: BreakNotice) -> None:
        """Pass a notice on; the oldest gives way if too many are pending."""
        self._left_by_notice[notice] = TELLINGS
        while len(self._left_by_notice) > MAX_PENDING:
            self._left_by_notice.popitem(last=False)

    def take(self, count: int) -> list[BreakNotice]:
        """Return the notices for one round of gossip and count them as told."""
        chosen = list(islice(reversed(self._left_by_notice), count))
        for notice in chosen:
            self._left_by_notice[notice] -= 1
            if not self._left_by_notice[notice]:
                del self._left_by_notice[notice]
        return chosen
