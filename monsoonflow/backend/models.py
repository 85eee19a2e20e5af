"""The typed interface of an engine and tagged outcomes of its calls."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol, TypeAlias

import attrs

from ..core.adapter import AdapterRef


@attrs.frozen(slots=True)
class OrderStamp:
    """What every order carries.

    :param run_id: names one attempt of one request at the engine.
    :param fence: the fencing number of the sender's ownership.
    """

    run_id: str
    fence: int
    priority: int = 1


@attrs.frozen(slots=True)
class EngineState:
    """What an engine says of itself.

    :param running: adapter by run identifier.
    """

    boot_id: str
    slots: int
    max_batch: int
    resident: tuple[AdapterRef, ...]
    running: dict[str, AdapterRef]
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Began:
    """The answer began.

    :param served: the adapter and version that the engine says it runs.
    :param request_id: how the server names the request, where it has a name of its own.
    """

    served: str
    boot_id: str
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class Chunk:
    """One piece of the answer's text."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The end marker: how many chunks came before, and the SHA-256 of their text."""

    count: int
    digest: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The server says that it ran nothing."""

    reason: str
    retry_after_ms: int | None = None
    status: int = 503


@dataclass(frozen=True, slots=True)
class Cut:
    """The connection was lost, timed out or fell silent.

    :param sent: whether anything may have reached the engine.
    """

    reason: str
    sent: bool = True


@dataclass(frozen=True, slots=True)
class Broken:
    """The engine says that the run is over and has no whole answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unclear:
    """The server says that it can't tell whether the request ran; asking again does not help."""

    reason: str


StreamEvent: TypeAlias = Began | Chunk | Ended | Refused | Cut | Broken | Unclear


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The order took effect."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The engine refused the order; it had no effect."""

    reason: str
    stale_fence: bool = False


@dataclass(frozen=True, slots=True)
class OrderUnclear:
    """No answer; the order may have taken effect."""

    reason: str


OrderResult: TypeAlias = OrderDone | OrderRefused | OrderUnclear


@attrs.frozen(slots=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    :param number: rises by one with each event, so that a gap is seen.
    :param kind: ``stored`` or ``dropped``.
    """

    number: int
    kind: str
    prefix: str


@attrs.frozen(slots=True)
class CacheFeed:
    """Cache events as fetched; they come late and with gaps.

    :param gap: whether events before the first one are missing: what was known of the cache is then
        to be forgotten and learnt anew.
    """

    boot_id: str
    events: tuple[CacheEvent, ...]
    gap: bool


class Engine(Protocol):
    """One model runner's engine, whatever its protocol."""

    def run(
        self, stamp: OrderStamp, adapter: AdapterRef, body: dict, fresh: bool
    ) -> Iterator[StreamEvent]:
        """Send a request and yield what comes back; the last event ends the stream."""

    def resume(self, run_id: str, from_index: int) -> Iterator[StreamEvent]:
        """Continue to read a run that was begun before."""

    def cancel(self, stamp: OrderStamp) -> OrderResult:
        """Stop a run; done also when there is no such run."""

    def load(self, adapter: AdapterRef, fence: int) -> OrderResult:
        """Load an adapter into a free slot."""

    def unload(self, adapter: AdapterRef, fence: int) -> OrderResult:
        """Unload an adapter."""

    def fence(self, number: int) -> OrderResult:
        """Tell the engine the number below which it shall refuse orders."""

    def export_kv(self, run_id: str) -> bytes | None:
        """Return the KV cache of a run, or ``None`` when the engine has none to give."""

    def import_kv(self, stamp: OrderStamp, body: bytes) -> OrderResult:
        """Give a run's KV cache to this engine."""

    def set_role(self, role: str, fence: int) -> OrderResult:
        """Order the engine to prefill, to decode, or to do both."""

    def cache_events(self, after: int) -> CacheFeed | None:
        """Return the prefix-cache events after a number, or ``None`` without an answer."""

    def state(self) -> EngineState | None:
        """Return what the engine says of itself now, or ``None`` when it does not answer."""
