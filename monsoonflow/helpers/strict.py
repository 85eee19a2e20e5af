"""Reads JSON that others wrote, field by field and never coerced."""

from __future__ import annotations

import json
from typing import Any, Final, TypeVar

import msgspec
from msgspec import Struct

MAX_BYTES: Final = 4 << 20
"""The largest value that is read here is a configuration."""

Fields = TypeVar("Fields", bound=Struct)


def read(body: bytes, kind: type[Fields]) -> Fields | str:
    """Return what a text holds, or why it can't be used.

    >>> class Version(Struct):
    ...     number: int
    >>> read(b'{"number": 2}', Version).number
    2
    >>> read(b'{"number": "2"}', Version)
    'Expected `int`, got `str` - at `$.number`'
    >>> read(b'{"number": 1, "number": 2}', Version)
    'the field number stands twice'
    """
    if len(body) > MAX_BYTES:
        return f"{len(body)} bytes"
    try:
        data = json.loads(body.decode(), object_pairs_hook=_once, parse_constant=_no_number)
        return msgspec.convert(data, kind)
    except RecursionError:
        return "nested too deep"
    except (ValueError, msgspec.ValidationError) as error:
        return str(error)


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object's fields; of two with one name readers would take either."""
    found = dict(pairs)
    if len(found) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the field {twice} stands twice")
    return found


def _no_number(name: str) -> Any:
    raise ValueError(f"{name} is no number")
