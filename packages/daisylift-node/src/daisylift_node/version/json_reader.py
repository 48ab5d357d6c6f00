"""Reads JSON in which some values may be impossible to read.

Whoever may write an object to the store decides on its bytes. A value that cannot be
read costs only itself: it becomes UNREADABLE, and all others are returned.
"""

import json
import math
import re
from collections.abc import Collection, Iterator
from typing import Any, Final


class Unreadable:
    """Stands in the place of a value that cannot be read, and is false."""

    def __bool__(self) -> bool:
        return False


UNREADABLE: Final = Unreadable()
MAX_DEPTH = 64  # of arrays and objects; deeper ones exhaust the stack when encoded
MAX_INTEGER_CHARACTERS = 19  # with the sign; all of these fit 64 bits
# Levels at which values are read one by one: answer, list, event, object.
SEPARATE_LEVELS = 4

_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[][{},:]', re.DOTALL)


def read_json(content: bytes) -> Any:
    """Return the decoded JSON; raise ValueError if its outermost brackets don't match.

    Bytes that are not UTF-8 are replaced. Numbers that are not finite or exceed 64
    bits, and values that cannot be decoded, are UNREADABLE.
    """
    text = content.decode('utf-8-sig', errors='replace')
    try:
        return _loads(text)
    except (ValueError, RecursionError):
        return _read_parts(text.strip(), SEPARATE_LEVELS)


def is_usable(value: Any, max_depth: int = MAX_DEPTH) -> bool:
    """Return whether no part is UNREADABLE and none is nested too deeply.

    An array or object in none is one level deep.
    """
    level = [value]
    for _ in range(max_depth + 1):
        if UNREADABLE in level:
            return False
        level = [child for each in level for child in _children(each)]
        if not level:
            return True
    return False


def _children(value: Any) -> Collection[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _loads(text: str) -> Any:
    return json.loads(
        text,
        strict=False,
        parse_int=_integer,
        parse_float=_finite,
        parse_constant=lambda _: UNREADABLE,
    )


def _integer(digits: str) -> int | Unreadable:
    return int(digits) if len(digits) <= MAX_INTEGER_CHARACTERS else UNREADABLE


def _finite(digits: str) -> float | Unreadable:
    number = float(digits)
    return number if math.isfinite(number) else UNREADABLE


def _read_parts(text: str, levels: int) -> Any:
    """Read an array or object part by part; raise ValueError if it is neither."""
    if text.startswith('['):
        return [_read_value(part, levels - 1) for part in _parts(text)]
    if not text.startswith('{'):
        raise ValueError('the text is no JSON array or object')
    members: dict[str, Any] = {}
    for part in _parts(text):
        key = _TOKEN.match(part)
        if key is None or part[key.end() :].lstrip()[:1] != ':':
            raise ValueError('a member of an object has no name')
        value = part[key.end() :].lstrip()[1:].strip()
        members[_loads(key[0])] = _read_value(value, levels - 1)
    return members


def _read_value(text: str, levels: int) -> Any:
    try:
        return _loads(text)
    except (ValueError, RecursionError):
        if not levels:
            return UNREADABLE
    try:
        return _read_parts(text, levels)
    except (ValueError, RecursionError):
        return UNREADABLE


def _parts(text: str) -> Iterator[str]:
    """Return the texts between the commas of the outermost array or object."""
    depth = start = 0
    for token in _TOKEN.finditer(text):
        mark = token[0]
        if mark in '[{':
            depth += 1
            start = token.end() if depth == 1 else start
            continue
        if mark in ']}':
            depth -= 1
        is_end = mark in ']}' and depth == 0
        if is_end or (mark == ',' and depth == 1):
            part = text[start : token.start()].strip()
            start = token.end()
            if part:
                yield part
        if is_end:
            return
    raise ValueError('the brackets of the text do not match')
