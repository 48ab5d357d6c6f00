"""Limits the memory for responses that one entry VM is reading from servers.

Load pattern: faulty servers send bytes without end on many connections, while others
send responses of usual length. Everything received counts, also heads and what is no
response. When the limit is reached, the longest response is broken off: it is the most
likely to have no end, and its bytes make room for the most others. A response on its
own may exceed the limit; the maximum length of a response bounds it.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

HolderT = TypeVar('HolderT', bound=Hashable)


@dataclass(slots=True)
class ResponseMemory(Generic[HolderT]):
    """Counts the bytes received for each response; ``limit`` is for all together."""

    limit: int
    held: int = 0
    _bytes_by_holder: dict[HolderT, int] = field(default_factory=dict)

    def add(self, holder: HolderT, count: int) -> list[HolderT]:
        """Count received bytes; return the holders whose responses to break off.

        These are released already.
        """
        self._bytes_by_holder[holder] = self._bytes_by_holder.get(holder, 0) + count
        self.held += count
        broken_off: list[HolderT] = []
        while self.held > self.limit and len(self._bytes_by_holder) > 1:
            longest = max(self._bytes_by_holder, key=self._bytes_by_holder.__getitem__)
            self.release(longest)
            broken_off.append(longest)
        return broken_off

    def release(self, holder: HolderT) -> None:
        """Forget the bytes of a response that is complete or lost."""
        self.held -= self._bytes_by_holder.pop(holder, 0)
