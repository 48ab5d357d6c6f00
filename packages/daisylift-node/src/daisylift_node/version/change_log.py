"""The change log in the platform: changes by version, each version created once."""

from loguru import logger
from pydantic import ValidationError
from returns.result import Failure, Result, Success

from daisylift.models import Change
from daisylift_node.process.platform import (
    Conflict,
    PlatformClient,
    PlatformFailure,
    StoredObject,
    Uncertain,
)

KIND = 'changes'
NAME_DIGITS = 12
PAGE_SIZE = 500


def change_name(version: int) -> str:
    """Return the object name of a change; names sort in the order of versions."""
    return f'{version:0{NAME_DIGITS}d}'


class ChangeLog:
    """Appends changes to the log and reads them."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self.revision = 0  # of the store, at the last complete read

    async def append(self, change: Change) -> Result[Change, PlatformFailure]:
        """Create the change under its version.

        A Conflict failure carries the change already stored under the version. If the
        platform's response is lost, the change is read back; if that fails too, the
        result is an Uncertain failure.
        """
        name = change_name(change.version)
        value = change.model_dump(mode='json')
        result = await self._platform.create(KIND, name, value)
        match result:
            case Success():
                return Success(change)
            case Failure(Conflict(current=current)) if _is_same(current, change):
                return Success(change)
            case Failure(Uncertain() as uncertain):
                return await self._read_back(change, uncertain)
        return result

    async def read_after(
        self, version: int
    ) -> Result[tuple[Change, ...], PlatformFailure]:
        """Return the changes after the version, in the order of versions."""
        changes: list[Change] = []
        revision: int | None = None
        after = change_name(version)
        while True:
            page = await self._platform.list(KIND, after=after, limit=PAGE_SIZE)
            if isinstance(page, Failure):
                return page
            objects = page.unwrap().objects
            if revision is None:
                revision = page.unwrap().revision
            changes.extend(parsed for o in objects if (parsed := parse_change(o)))
            if len(objects) < PAGE_SIZE:
                self.revision = revision
                return Success(tuple(changes))
            after = objects[-1].name

    async def _read_back(
        self, change: Change, uncertain: Uncertain
    ) -> Result[Change, PlatformFailure]:
        found = await self._platform.get(KIND, change_name(change.version))
        match found:
            case Success(stored) if _is_same(stored, change):
                return Success(change)
            case Success(stored):
                return Failure(Conflict(current=stored))
        return Failure(uncertain)


def parse_change(stored: StoredObject) -> Change | None:
    """Return the change in a stored object, or None if it cannot be decoded."""
    try:
        return Change.model_validate(stored.value)
    except ValidationError as error:
        logger.error(
            'cannot decode change {} of the change log: {}', stored.name, error
        )
        return None


def _is_same(stored: StoredObject | None, change: Change) -> bool:
    if stored is None:
        return False
    found = parse_change(stored)
    return found is not None and found.operation_id == change.operation_id
