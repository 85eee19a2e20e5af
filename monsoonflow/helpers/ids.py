"""Makes identifiers."""

from __future__ import annotations

import secrets


def new_id(prefix: str) -> str:
    """Return an identifier that no other process makes.

    :param prefix: tells what it names.
    """
    return f"{prefix}-{secrets.token_hex(8)}"
