"""The fields of a slot request, which a peer sends to the lease holder of a cell."""

from __future__ import annotations

from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=0, le=1 << 40)]
Milliseconds = Annotated[int, Meta(ge=-(1 << 40), le=1 << 40)]

MIN_TOKENS_PER_MS: Final = 0.01
"""Lower rates count as this one: a prompt of 2,000 tokens would take over three minutes."""


class SlotRequestFields(Struct):
    """The fields that decide, with their types; nodes of an earlier release send fewer."""

    adapter: str
    version: Count
    priority: Milliseconds
    wait_ms: Milliseconds
    on_time_ms: Milliseconds
    waited_ms: Milliseconds
    tried_ms: Milliseconds
    avoid: list[str]
    lacking: list[str]
    session: str | None
    software_version: str | None = None
    rank: Count = 0
    prompt_tokens: Count = 0
    read_ms: Milliseconds | None = None
    tokens_per_ms: Annotated[float, Meta(gt=0, le=1e9)] = 1.0


def check_slot_request(slot_request: dict[str, Any]) -> None:
    """Check the types and ranges of a slot request.

    A value of another type in the queue would make each later plan of the cell fail.

    :raises ValueError: if a field is missing or invalid.
    """
    msgspec.convert(slot_request, SlotRequestFields)
