"""Table that maps blocks of client addresses to home sites, in packed arrays.

A block extends from its first address up to the first address of the next block.
Blocks are stored in pages, which can be replaced individually. A page is named after
its family and first address; its content is identified by a digest. IPv6 blocks are
stored by the upper 64 bits of their addresses.
"""

import ipaddress
import sys
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from daisylift.errors import DaisyliftError

PAGE_BLOCKS = 4096
NO_HOME = 0xFFFF
IPV6_STORED_BITS = 64
ADDRESS_TYPE_BY_FAMILY = {4: 'I', 6: 'Q'}
END_BY_FAMILY = {4: 1 << 32, 6: 1 << IPV6_STORED_BITS}
HEX_DIGITS_BY_FAMILY = {4: 8, 6: 16}

IpAddress = ipaddress.IPv4Address | ipaddress.IPv6Address


class BlockError(DaisyliftError):
    """A block or a page of blocks is malformed."""


@dataclass(frozen=True, slots=True)
class BlockRange:
    """Addresses from ``start`` up to but excluding ``end``, and their home site."""

    family: int
    start: int
    end: int
    home: int


@dataclass(frozen=True, slots=True)
class Block:
    """The block that contains an address; ``key`` is its packed first address."""

    key: bytes
    home: int


@dataclass(frozen=True, slots=True)
class Page:
    """Blocks in ascending order: first addresses and numbers of the home sites."""

    family: int
    starts: array
    homes: array

    @property
    def name(self) -> str:
        """Return the page's name, which sorts by family, then by first address."""
        return page_name(self.family, self.starts[0])


@dataclass(frozen=True, slots=True)
class FamilyTable:
    """The pages of one address family, ordered by first address."""

    page_starts: array
    pages: tuple[Page, ...]

    def find(self, address: int) -> tuple[int, int] | None:
        """Return first address and home of the address's block, or None."""
        number = bisect_right(self.page_starts, address) - 1
        if number < 0:
            return None
        page = self.pages[number]
        index = bisect_right(page.starts, address) - 1
        return page.starts[index], page.homes[index]


@dataclass(frozen=True, slots=True)
class BlockTable:
    """All blocks; immutable. A modified copy shares the unchanged pages."""

    by_family: Mapping[int, FamilyTable]

    def find(self, address: IpAddress) -> Block | None:
        """Return the block that contains the address, or None if there is none."""
        family = address.version
        found = self.by_family[family].find(_stored_address(address))
        if found is None or found[1] == NO_HOME:
            return None
        return Block(key=_block_key(family, found[0]), home=found[1])

    def pages_by_name(self) -> dict[str, Page]:
        """Return all pages keyed by name."""
        return {
            page.name: page for table in self.by_family.values() for page in table.pages
        }

    def with_pages(self, changes: Mapping[str, Page | None]) -> 'BlockTable':
        """Return a copy with these pages replaced, or removed where None is given."""
        pages = self.pages_by_name()
        for name, page in changes.items():
            pages.pop(name, None)
            if page is not None:
                pages[name] = page
        return build_table(pages.values())


def build_table(pages: Iterable[Page]) -> BlockTable:
    """Return a table that consists of the pages."""
    by_family: dict[int, list[Page]] = {family: [] for family in END_BY_FAMILY}
    for page in pages:
        by_family[page.family].append(page)
    return BlockTable({f: _family_table(f, found) for f, found in by_family.items()})


EMPTY_TABLE = BlockTable(
    {
        family: FamilyTable(page_starts=array(type_code), pages=())
        for family, type_code in ADDRESS_TYPE_BY_FAMILY.items()
    }
)


def unknown_block_key(address: IpAddress) -> bytes:
    """Return the block key for an address in no block: its /24 (IPv4) or /48 (IPv6)."""
    prefix = 24 if address.version == 4 else 48
    network = ipaddress.ip_network((address, prefix), strict=False)
    return _block_key(address.version, _stored_address(network.network_address))


def parse_range(text: str, home: int) -> BlockRange:
    """Parse a block in CIDR notation or as START-END, both ends included.

    Raise BlockError when the text is neither.
    """
    first, dash, last = text.partition('-')
    try:
        if dash:
            start, end = ipaddress.ip_address(first), ipaddress.ip_address(last)
        else:
            network = ipaddress.ip_network(text)
            start, end = network.network_address, network.broadcast_address
    except ValueError as error:
        raise BlockError(str(error)) from error
    if start.version != end.version or start > end:
        raise BlockError(f'{text!r} does not end after it starts')
    return BlockRange(
        start.version, _stored_address(start), _stored_address(end) + 1, home
    )


def merged_pages(
    table: BlockTable, ranges: Sequence[BlockRange], *, replace_all: bool = False
) -> dict[str, Page | None]:
    """Return the pages that change when the ranges overwrite parts of the table.

    None stands for a page that is removed. With ``replace_all``, all existing pages
    are removed first. Raise BlockError when ranges overlap.
    """
    changes: dict[str, Page | None] = {}
    if replace_all:
        changes = dict.fromkeys(table.pages_by_name())
        table = EMPTY_TABLE
    for family in END_BY_FAMILY:
        family_ranges = sorted(
            (r for r in ranges if r.family == family), key=lambda r: r.start
        )
        _require_no_overlap(family_ranges)
        if family_ranges:
            changes.update(
                _merge_family(table.by_family[family], family, family_ranges)
            )
    return changes


def encode_page(page: Page) -> bytes:
    """Encode the page as bytes: family, then first addresses, then homes."""
    starts, homes = _swap_on_big_endian(page.starts), _swap_on_big_endian(page.homes)
    return bytes([page.family]) + starts.tobytes() + homes.tobytes()


def decode_page(content: bytes) -> Page:
    """Decode a page from bytes; raise BlockError when they are malformed."""
    family = content[0] if content else 0
    if family not in ADDRESS_TYPE_BY_FAMILY:
        raise BlockError(f'unknown address family {family} in block page')
    starts, homes = array(ADDRESS_TYPE_BY_FAMILY[family]), array('H')
    count, rest = divmod(len(content) - 1, starts.itemsize + homes.itemsize)
    if rest or not count:
        raise BlockError(f'block page has an invalid length of {len(content)} bytes')
    middle = 1 + count * starts.itemsize
    starts.frombytes(content[1:middle])
    homes.frombytes(content[middle:])
    page = Page(family, _swap_on_big_endian(starts), _swap_on_big_endian(homes))
    if any(a >= b for a, b in zip(page.starts, page.starts[1:], strict=False)):
        raise BlockError('blocks of the page are not in ascending order')
    return page


def page_name(family: int, start: int) -> str:
    """Return the name of the page of the family that starts at the address."""
    return f'{family}.{start:0{HEX_DIGITS_BY_FAMILY[family]}x}'


def _merge_family(
    table: FamilyTable, family: int, family_ranges: Sequence[BlockRange]
) -> dict[str, Page | None]:
    if not table.pages:
        merged = _overwrite([], [], family_ranges, END_BY_FAMILY[family])
        return dict(_split_into_pages(family, *merged))
    changes: dict[str, Page | None] = {}
    limits = [0, *table.page_starts[1:], END_BY_FAMILY[family]]
    for number, page in enumerate(table.pages):
        inside = _clip(family_ranges, limits[number], limits[number + 1])
        if not inside:
            continue
        starts, homes = list(page.starts), list(page.homes)
        merged = _overwrite(starts, homes, inside, limits[number + 1])
        if merged == (starts, homes):
            continue
        changes[page.name] = None
        changes.update(_split_into_pages(family, *merged))
    return changes


def _clip(
    family_ranges: Sequence[BlockRange], start: int, end: int
) -> list[BlockRange]:
    first = max(0, bisect_right(family_ranges, start, key=lambda r: r.start) - 1)
    inside = []
    for block_range in family_ranges[first:]:
        if block_range.start >= end:
            break
        low, high = max(block_range.start, start), min(block_range.end, end)
        if low < high:
            inside.append(BlockRange(block_range.family, low, high, block_range.home))
    return inside


def _overwrite(
    starts: list[int], homes: list[int], family_ranges: Sequence[BlockRange], limit: int
) -> tuple[list[int], list[int]]:
    """Overwrite blocks of a page that ends before the limit with sorted ranges."""
    new_starts: list[int] = []
    new_homes: list[int] = []
    index = 0
    previous_home = NO_HOME
    for block_range in family_ranges:
        while index < len(starts) and starts[index] < block_range.start:
            previous_home = homes[index]
            new_starts.append(starts[index])
            new_homes.append(previous_home)
            index += 1
        if new_starts and new_starts[-1] == block_range.start:
            new_starts.pop()
            new_homes.pop()
        new_starts.append(block_range.start)
        new_homes.append(block_range.home)
        while index < len(starts) and starts[index] < block_range.end:
            previous_home = homes[index]
            index += 1
        follows = index < len(starts) and starts[index] == block_range.end
        if not follows and block_range.end < limit:
            new_starts.append(block_range.end)
            new_homes.append(previous_home)
    new_starts.extend(starts[index:])
    new_homes.extend(homes[index:])
    return new_starts, new_homes


def _split_into_pages(
    family: int, starts: list[int], homes: list[int]
) -> dict[str, Page]:
    pages = (
        Page(
            family,
            array(ADDRESS_TYPE_BY_FAMILY[family], starts[i : i + PAGE_BLOCKS]),
            array('H', homes[i : i + PAGE_BLOCKS]),
        )
        for i in range(0, len(starts), PAGE_BLOCKS)
    )
    return {page.name: page for page in pages}


def _require_no_overlap(family_ranges: Sequence[BlockRange]) -> None:
    for before, after in zip(family_ranges, family_ranges[1:], strict=False):
        if after.start < before.end:
            name = page_name(after.family, after.start)
            raise BlockError(f'two blocks overlap at {name}')


def _family_table(family: int, pages: list[Page]) -> FamilyTable:
    pages.sort(key=lambda page: page.starts[0])
    starts = array(ADDRESS_TYPE_BY_FAMILY[family], (p.starts[0] for p in pages))
    return FamilyTable(page_starts=starts, pages=tuple(pages))


def _stored_address(address: IpAddress) -> int:
    number = int(address)
    return number if address.version == 4 else number >> IPV6_STORED_BITS


def _block_key(family: int, start: int) -> bytes:
    return bytes([family]) + start.to_bytes(8, 'big')


def _swap_on_big_endian(values: array) -> array:
    if sys.byteorder == 'little':
        return values
    values = values[:]
    values.byteswap()
    return values
