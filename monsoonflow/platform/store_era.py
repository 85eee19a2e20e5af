"""Tells answers of the store before its return from a copy from those after it.

The store may come back from a copy that is seconds old. It has then lost what was written since,
and gives the versions of its rows out again. It states an era, which rises each time.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..logs import events, log
from ..transport.models import AnswerHead

_LOGGER = logging.getLogger(__name__)
ERA_HEADER: Final = b"store-era"
MAX_ERA_DIGITS: Final = 9
LOWER_ERA_ACCEPT_MS: Final = 3_000
"""A lower era counts once no answer has stated the higher one for this long: delayed answers from
before a return are over by then, and a single wrong number must not end the use of the store."""

GENERATION_VERSIONS: Final = 10**12
"""More versions than a store gives out in one generation."""


def row_version(generation: int, number: int) -> int:
    """Return the version of a row as the rest of the program uses it: it is never given out again.

    :param generation: counts the store's returns that this process has seen.
    :param number: as the store states it; 0: there is no row.
    """
    return generation * GENERATION_VERSIONS + number


def generation_of(version: int) -> int:
    """Return the generation in which a version was given out."""
    return version // GENERATION_VERSIONS


def number_of(version: int) -> int:
    """Return a version as the store states it."""
    return version % GENERATION_VERSIONS


class StoreEra:
    """The store's era, and how often it has changed since this process started.

    Generations rise even if eras fall, and are known where eras are not stated.

    :ivar value: 0 while no answer has stated an era.
    :ivar generation: 0 for the first era.
    """

    def __init__(self, clock: Clock) -> None:
        self.value = 0
        self.generation = 0
        self._clock = clock
        self._on_return: list[Callable[[], None]] = []
        self._has_answered = False
        self._last_current_ms = 0
        self._last_unusable = b""

    def call_on_return(self, on_return: Callable[[], None]) -> None:
        """Have a function called when the store has returned from a copy."""
        self._on_return.append(on_return)

    def record_answer(self, head: AnswerHead) -> int | None:
        """Return an answer's generation; ``None`` if it is from before the last return."""
        now_ms = self._clock.now_ms()
        era = self._stated_era(head)
        is_lower = era is not None and era < self.value
        if is_lower and now_ms - self._last_current_ms < LOWER_ERA_ACCEPT_MS:
            return None
        self._last_current_ms = now_ms
        if era is not None and era != self.value:
            self._change(era)
        self._has_answered = True
        return self.generation

    def _change(self, era: int) -> None:
        log(_LOGGER, events.StoreEra(era=era, before=self.value))
        self.value = era
        # An era that is first stated after answers without one may follow a return.
        if self._has_answered:
            self.generation += 1
            for on_return in self._on_return:
                on_return()

    def _stated_era(self, head: AnswerHead) -> int | None:
        """Return the era that an answer states; ``None`` if it states none that can be used."""
        values = set(head.values(ERA_HEADER))
        if len(values) == 1:
            (value,) = values
            if value.isdigit() and len(value) <= MAX_ERA_DIGITS:
                return int(value)
        stated = b",".join(sorted(values))
        if stated != self._last_unusable:
            self._last_unusable = stated
            if stated:
                log(_LOGGER, events.UnusableStoreEra(stated=stated.decode("latin-1")[:40]))
        return None
