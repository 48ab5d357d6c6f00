"""Loads client blocks for an operator.

Blocks are checked and merged into pages, the pages are stored, and one change records
the digests of the stored pages in the configuration.
"""

from collections.abc import Iterable

from daisylift.decisions.blocks import BlockError, BlockRange, merged_pages, parse_range
from daisylift.decisions.configuration import ChangeProblem, Configuration
from daisylift.models import Change, SetBlockPages
from daisylift_node.version.block_store import BlockStore
from daisylift_node.version.change_writer import (
    ChangeOutcome,
    ChangeWriter,
    NotConfirmed,
    Refused,
)

MAX_BLOCKS_PER_CALL = 20_000

BlockWithSite = tuple[str, str]


class BlockLoader:
    """Converts blocks with home sites to stored pages and one configuration change."""

    def __init__(self, store: BlockStore, writer: ChangeWriter) -> None:
        self._store = store
        self._writer = writer

    async def load(
        self,
        configuration: Configuration,
        blocks: Iterable[BlockWithSite],
        base_version: int,
        operation_id: str,
        operator: str,
        *,
        replace_all: bool,
    ) -> ChangeOutcome:
        """Store the blocks and submit the change that refers to them.

        Each block is a pair of its text and its home site.
        """
        if not self._store.is_loaded:
            return NotConfirmed('the table of blocks is still being read', False)
        number_by_site = {
            site: number for number, site in enumerate(configuration.blocks.sites)
        }
        try:
            ranges = [
                _parse_block(block, home, number_by_site) for block, home in blocks
            ]
            pages = merged_pages(self._store.table, ranges, replace_all=replace_all)
        except BlockError as error:
            return Refused(ChangeProblem.MALFORMED, (str(error),))
        if not pages:
            return Refused(ChangeProblem.MALFORMED, ('the blocks change nothing',))
        digests: dict[str, str | None] = {}
        for name, page in pages.items():
            digests[name] = None if page is None else await self._store.write(page)
            if page is not None and digests[name] is None:
                return NotConfirmed('a page of blocks was not stored', False)
        body = SetBlockPages(sites=tuple(number_by_site), pages=digests)
        return await self._writer.submit(
            Change(
                version=base_version + 1,
                operation_id=operation_id,
                operator=operator,
                body=body,
            )
        )


def _parse_block(block: str, home: str, number_by_site: dict[str, int]) -> BlockRange:
    number = number_by_site.setdefault(home, len(number_by_site))
    return parse_range(block, number)
