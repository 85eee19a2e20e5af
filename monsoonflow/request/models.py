"""Data that a request's life takes in and hands out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TypeAlias

import attrs

from ..core.adapter import AdapterRef
from ..core.outcome import Outcome


@attrs.frozen(slots=True)
class Terms:
    """States what was admitted; never changes during the request's life.

    :param deadline_ms: on the node's monotonic clock.
    :param priority: 0 is the most urgent class.
    :param newcomer: whether the customer was brought in lately; its loads take a bounded share.
    :param any_version: whether the caller named no version; the one that serves is told then.
    """

    request_id: str
    customer: str
    adapter: AdapterRef
    repeatable: bool
    deadline_ms: int
    priority: int = 1
    any_version: bool = False
    newcomer: bool = False
    weight: float = 1.0


class ChunkVerdict(Enum):
    """Tells what became of a chunk."""

    ACCEPTED = auto()
    DROPPED = auto()
    GAP = auto()


@dataclass(frozen=True, slots=True)
class Resume:
    """Continue the same run from this chunk on."""

    from_index: int


@dataclass(frozen=True, slots=True)
class Retry:
    """Offer the request again as a new attempt."""

    attempt: int


@dataclass(frozen=True, slots=True)
class End:
    """The request has ended."""

    outcome: Outcome


NextStep: TypeAlias = Resume | Retry | End
