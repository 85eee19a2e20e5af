"""What a plan has to give: one look at all runners, for all who wait."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final, TypeAlias

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from .idle import IdlePlaces
from .seats import MAX_INCOMING, RunnerSeats, Seat, SeatState

CROWDED_TOKENS: Final = 6_000
"""Unread prompt tokens at a runner beyond which others are preferred: some 300 ms of reading."""

_NO_WORK: Final = ServerWork()

Held: TypeAlias = tuple[RunnerSeats, Seat]


@attrs.define(slots=True, eq=False)
class Taker:
    """A runner that takes orders.

    :param room: it has a free place, or can make one.
    """

    runner: RunnerSeats
    work: ServerWork
    room: bool
    crowded: bool


class Takers:
    """The runners that take orders, and what is on its way.

    Looked at again for each of 64 who wait, 45 runners with 5 places made a plan take three times
    as long.

    :param on_its_way: tells whether a load that began so long ago may still be on its way.
    :param now_ms: of the plan.
    :param idle_places: places that nothing used, over all runners, when the plan began.
    :param cold_incoming: adapters on their way from the weight store.
    """

    def __init__(
        self,
        idle: IdlePlaces,
        now_ms: int,
        work: Mapping[ServerLife, ServerWork],
        on_its_way: Callable[[int], bool],
    ) -> None:
        self._on_its_way = on_its_way
        self._idle = idle
        self.now_ms = now_ms
        self._work = work
        self._taker_by_life: dict[ServerLife, Taker] = {}
        self._roomy: dict[ServerLife, Taker] = {}
        self._cold_by_life: dict[ServerLife, int] = {}
        self._loading: dict[str, list[Held]] = {}
        self._lives_by_ready: dict[str, list[ServerLife]] = {}
        self.idle_places = 0
        self.cold_incoming = 0
        for runner in idle.runners.values():
            self._note_seats(runner)
            self.idle_places += self._look_at(runner)

    def changed(self, runner: RunnerSeats) -> None:
        """Look anew at a runner that has just been given an order."""
        self._taker_by_life.pop(runner.life, None)
        self._roomy.pop(runner.life, None)
        self.cold_incoming -= self._cold_by_life.pop(runner.life, 0)
        self._look_at(runner)

    def loading(self, name: str) -> list[Held]:
        """Return where an adapter was on its way when the plan began."""
        return self._loading.get(name, [])

    def of(self, lives: Iterable[ServerLife]) -> list[Taker]:
        """Return those of some runners that take orders."""
        known = self._taker_by_life
        return [taker for life in lives if (taker := known.get(life)) is not None]

    def for_adapter(self, name: str) -> Iterable[Taker]:
        """Return the runners with room, and those that hold another version of an adapter."""
        holders = self._lives_by_ready.get(name)
        if not holders:
            return self._roomy.values()
        return {**self._roomy, **{t.runner.life: t for t in self.of(holders)}}.values()

    def _note_seats(self, runner: RunnerSeats) -> None:
        life, ready = runner.life, SeatState.READY
        lives_by_ready = self._lives_by_ready
        for name, seat in runner.seats.items():
            if seat.state is ready:
                known = lives_by_ready.get(name)
                if known is None:
                    lives_by_ready[name] = [life]
                else:
                    known.append(life)
            elif seat.state is SeatState.LOADING:
                self._loading.setdefault(name, []).append((runner, seat))

    def _look_at(self, runner: RunnerSeats) -> int:
        """Note what a runner can take; return how many of its places nothing uses."""
        life = runner.life
        room = runner.room(self.now_ms)
        idle = self._idle.of(runner, self.now_ms, self._work)
        loading = runner.loading()
        if loading:
            cold = self._cold_by_life[life] = sum(
                seat.cold and self._on_its_way(self.now_ms - seat.since_ms) for seat in loading
            )
            self.cold_incoming += cold
        if len(loading) < MAX_INCOMING and _can_be_ordered(runner):
            work = self._work.get(life, _NO_WORK)
            has_room = room > 0 or bool(idle)
            taker = Taker(runner, work, has_room, work.pending_prefill_tokens > CROWDED_TOKENS)
            self._taker_by_life[life] = taker
            if has_room:
                self._roomy[life] = taker
        return room + len(idle)


def _can_be_ordered(runner: RunnerSeats) -> bool:
    return runner.known() and not runner.report_at_ms and runner.doubtful is None
