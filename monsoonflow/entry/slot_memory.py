"""Reads what a slot request says of its memory, and logs what the lease holder decides by it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

from ..logs import events, log
from ..logs.sampling import Sampler
from ..placement.request_queue import NoSlot, Placed, QueuedRequest

if TYPE_CHECKING:
    from .daemon import EntryDaemon

_LOGGER = logging.getLogger(__name__)
MAX_LOGGED_VALUE_CHARACTERS: Final = 40


class SlotMemory:
    """The memory of runners in the slot requests of all nodes."""

    def __init__(self, daemon: EntryDaemon) -> None:
        self._daemon = daemon
        self._sampler = Sampler()
        self._logged_types: set[str] = set()

    def read_need(self, slot_request: dict[str, Any]) -> int:
        """Return the KV cache that a request needs; 0 if its node does not say or can't be right.

        A node of an earlier release sends nothing. Slot requests do not name their node, so an
        unusable value is logged once for each type of value.
        """
        value = slot_request.get("memory_tokens", 0)
        if type(value) is int and value >= 0:
            return value
        type_name = type(value).__name__
        if type_name not in self._logged_types:
            self._logged_types.add(type_name)
            log(
                _LOGGER,
                events.UnusableSlotNeed(
                    cell=str(slot_request.get("cell")),
                    adapter=str(slot_request.get("adapter")),
                    value=repr(value)[:MAX_LOGGED_VALUE_CHARACTERS],
                ),
            )
        return 0

    def log_result(
        self,
        cell: str,
        capacity_tokens: int,
        request: QueuedRequest,
        result: Placed | NoSlot | None,
        waited_ms: int,
    ) -> None:
        """Log and count that runners were left out for a request, if any were."""
        if not request.full_runner_count:
            return
        daemon = self._daemon
        now_ms = daemon.clock.now_ms()
        daemon.metrics.count_memory_decision("slots_full")
        result_name = "lost" if result is None else type(result).__name__.lower()
        if not self._sampler.allows("slots_full", result_name, now_ms):
            return
        log(
            _LOGGER,
            events.SlotsFull(
                cell=cell,
                adapter=request.adapter_name,
                need=request.memory_tokens,
                capacity=capacity_tokens,
                left_out=request.full_runner_count,
                waited_ms=waited_ms,
                result=result_name,
                reports_age_ms=daemon.backlog.reports_age_ms(now_ms),
            ),
        )
