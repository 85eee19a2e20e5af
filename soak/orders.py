"""Tells whether orders to runners bear numbers that no two holders share."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .processes import Record

REFUSED: Final = 412


def shared_numbers(servers: Iterable[Record]) -> list[str]:
    """Return a line for each fencing number under which two nodes sent orders."""
    holders_by_fence: dict[int, set[str]] = {}
    for record in servers:
        if record.event == "ordered" and record.fields["status"] != REFUSED:
            holders_by_fence.setdefault(record.fields["fence"], set()).add(record.fields["holder"])
    return [
        f"orders of {', '.join(sorted(holders))} bear the number {fence}"
        for fence, holders in sorted(holders_by_fence.items())
        if len(holders) > 1
    ]
