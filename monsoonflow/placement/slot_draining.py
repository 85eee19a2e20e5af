"""Frees slots in use by customers far above their share for requests of other customers.

A resident adapter keeps its slot as long as requests for it arrive, since nodes send those
directly. One customer with many requests for each of its adapters would keep all slots.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from .fair_share import FairShares
from .idle_slots import IdleSlots
from .request_queue import QueuedRequest
from .slots import RunnerSlots, Slot, SlotState

CUSTOMERS_VALID_MS: Final = 30_000
"""How long a customer counts as one that uses an adapter. Requests for a resident adapter do not
pass the lease holder; those of another customer do once its slot drains, and end the draining."""

MAX_ADAPTERS: Final = 4_096
"""Number of adapters of which the customers are known."""

MAX_CUSTOMERS_PER_ADAPTER: Final = 16


class AdapterCustomers:
    """The customers that recently requested a slot with an adapter.

    >>> customers = AdapterCustomers()
    >>> customers.record("m/a1", "alpha", now_ms=0)
    >>> customers.of("m/a1", now_ms=1_000), customers.of("m/a1", now_ms=CUSTOMERS_VALID_MS + 1)
    (['alpha'], [])
    """

    def __init__(self) -> None:
        self._requested_ms_by_adapter: OrderedDict[str, OrderedDict[str | None, int]] = (
            OrderedDict()
        )

    def record(self, adapter: str, customer: str | None, now_ms: int) -> None:
        """Record a slot request."""
        requested_ms = self._requested_ms_by_adapter.setdefault(adapter, OrderedDict())
        self._requested_ms_by_adapter.move_to_end(adapter)
        requested_ms[customer] = now_ms
        requested_ms.move_to_end(customer)
        if len(requested_ms) > MAX_CUSTOMERS_PER_ADAPTER:
            requested_ms.popitem(last=False)
        if len(self._requested_ms_by_adapter) > MAX_ADAPTERS:
            self._requested_ms_by_adapter.popitem(last=False)

    def of(self, adapter: str, now_ms: int) -> list[str | None]:
        """Return the customers of an adapter."""
        requested_ms = self._requested_ms_by_adapter.get(adapter, {})
        return [
            customer
            for customer, last_ms in requested_ms.items()
            if now_ms - last_ms <= CUSTOMERS_VALID_MS
        ]


@attrs.frozen(slots=True)
class Drain:
    """A slot that was chosen for draining.

    :param level: of the customers that use it, the lowest.
    :param for_level: of the waiting request.
    """

    life: ServerLife
    adapter: str
    level: int
    for_level: int
    for_customer: str | None


@attrs.define(slots=True, eq=False)
class _Candidate:
    life: ServerLife
    slot: Slot
    level: int
    requests: int


class SlotDraining:
    """Chooses the slots of a cell that drain, anew for each check of the queue.

    :param idle_slots: the idle slots of the cell's runners.
    """

    def __init__(self, idle_slots: IdleSlots, fair_shares: FairShares) -> None:
        self._idle_slots = idle_slots
        self._fair_shares = fair_shares
        self._draining: list[Slot] = []
        self.customers = AdapterCustomers()
        self.started: list[Drain] = []

    def update(
        self,
        waiting: Iterable[QueuedRequest],
        now_ms: int,
        work: Mapping[ServerLife, ServerWork],
    ) -> None:
        """Choose the slots that drain; the others are in normal use again.

        :param waiting: the requests that need a slot, in the order in which they get one.
        """
        max_level = self._fair_shares.max_level()
        first_by_adapter: dict[str, QueuedRequest] = {}
        for request in waiting if max_level else ():
            first_by_adapter.setdefault(request.adapter_name, request)
        needs_slot = list(first_by_adapter.values())
        is_needed = any(request.level < max_level for request in needs_slot)
        chosen = self._choose(needs_slot, now_ms, work) if is_needed else []
        draining = [candidate.slot for candidate, _ in chosen]
        for slot in self._draining:
            if not any(slot is other for other in draining):
                slot.draining_level = None
        for candidate, request in chosen:
            if candidate.slot.draining_level is None:
                self.started.append(
                    Drain(
                        candidate.life,
                        candidate.slot.ref.name,
                        candidate.level,
                        request.level,
                        request.customer,
                    )
                )
            candidate.slot.draining_level = candidate.level
        self._draining = draining

    def pop_started(self) -> list[Drain]:
        """Return the slots that were chosen since the last call."""
        started, self.started = self.started, []
        return started

    def _choose(
        self,
        needs_slot: Sequence[QueuedRequest],
        now_ms: int,
        work: Mapping[ServerLife, ServerWork],
    ) -> list[tuple[_Candidate, QueuedRequest]]:
        """Return a slot for each request beyond those for which unused slots suffice.

        :param needs_slot: one request for each adapter.
        """
        idle_by_life = {
            runner.life: self._idle_slots.idle_slots_of(runner, now_ms, work)
            for runner in self._idle_slots.runners.values()
        }
        unused = sum(
            max(0, runner.available_slots(now_ms))
            + sum(slot.draining_level is None for slot in idle_by_life[runner.life])
            + sum(slot.state is SlotState.UNLOADING for slot in runner.slots.values())
            for runner in self._idle_slots.runners.values()
        )
        if unused >= len(needs_slot):
            return []
        candidates = [
            candidate
            for runner in self._idle_slots.runners.values()
            for candidate in self._candidates_of(runner, idle_by_life[runner.life], now_ms, work)
        ]
        chosen = []
        for request in needs_slot[unused:]:
            fitting = [c for c in candidates if c.level > request.level]
            if not fitting:
                break
            best = max(fitting, key=_drain_order)
            candidates.remove(best)
            chosen.append((best, request))
        return chosen

    def _candidates_of(
        self,
        runner: RunnerSlots,
        idle: Sequence[Slot],
        now_ms: int,
        work: Mapping[ServerLife, ServerWork],
    ) -> list[_Candidate]:
        runner_work = work.get(runner.life)
        requests = runner_work.requests_by_adapter if runner_work is not None else {}
        unused_names = {slot.ref.name for slot in idle if slot.draining_level is None}
        candidates = []
        for name, slot in runner.slots.items():
            if slot.state is not SlotState.READY or name in unused_names:
                continue
            customers = self.customers.of(name, now_ms)
            # An adapter in steady use is never requested here, and a new lease holder has heard of
            # no request. If another customer uses it too, its next request ends the draining.
            level = min(
                (self._fair_shares.level_of(customer) for customer in customers),
                default=self._fair_shares.max_level(),
            )
            if level:
                candidates.append(_Candidate(runner.life, slot, level, requests.get(name, 0)))
        return candidates


def _drain_order(candidate: _Candidate) -> tuple[bool, int, int]:
    """Slots that drain already come first, then high levels, then slots that are free soon."""
    return (candidate.slot.draining_level is not None, candidate.level, -candidate.requests)
