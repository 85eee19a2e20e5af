"""Makes identifiers."""

from __future__ import annotations

import secrets
from collections.abc import Callable

_source: Callable[[int], str] = secrets.token_hex


def new_id(prefix: str) -> str:
    """Return an identifier that no other process makes.

    :param prefix: tells what it names.
    """
    return f"{prefix}-{_source(8)}"


def use_source(source: Callable[[int], str]) -> None:
    """Take identifiers from another source, so that a seeded run can be repeated.

    :param source: returns that many bytes as hexadecimal digits.
    """
    global _source
    _source = source
