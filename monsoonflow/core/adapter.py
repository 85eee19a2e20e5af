"""Names an adapter and the version of it."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Final

import attrs
import xxhash

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
MAX_VERSION: Final = 2**31 - 1


@attrs.frozen(slots=True, order=True, cache_hash=True)
class AdapterRef:
    """Names one version of one adapter, written ``NAME@VERSION``."""

    name: str
    version: int

    def __str__(self) -> str:
        return f"{self.name}@{self.version}"


@lru_cache(maxsize=65_536)
def short_hash(adapter: AdapterRef) -> int:
    """Return 32 bits that stand for an adapter version in reports between nodes."""
    return xxhash.xxh32_intdigest(str(adapter).encode())


def parse_model(model: str) -> tuple[str, int | None] | None:
    """Split the ``model`` of a request into adapter name and version.

    :param model: ``NAME`` or ``NAME@VERSION``.
    :returns: name and version (``None``: the one in force), or ``None`` when malformed.

    >>> parse_model("invoice-7@3")
    ('invoice-7', 3)
    >>> parse_model("invoice-7")
    ('invoice-7', None)
    >>> parse_model("invoice-7@") is None
    True
    """
    name, mark, version = model.partition("@")
    if not NAME_PATTERN.fullmatch(name):
        return None
    if not mark:
        return name, None
    if not (version.isascii() and version.isdigit()) or len(version) > 10:
        return None
    number = int(version)
    return (name, number) if 0 < number <= MAX_VERSION else None


def parse_ref(text: str) -> AdapterRef | None:
    """Return the reference that ``NAME@VERSION`` names, or ``None`` when malformed."""
    parsed = parse_model(text)
    if parsed is None or parsed[1] is None:
        return None
    return AdapterRef(parsed[0], parsed[1])
