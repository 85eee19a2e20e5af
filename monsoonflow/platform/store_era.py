"""Follows the era that the store states in its answers: it rises when the store lost rows."""

from __future__ import annotations

import logging
from typing import Final

from ..logs import events, log
from ..transport.models import AnswerHead

_LOGGER = logging.getLogger(__name__)
ERA_HEADER: Final = b"store-era"
MAX_ERA_DIGITS: Final = 9


class StoreEra:
    """The era of the store as its answers state it.

    :ivar value: 0 while no answer has stated one.
    """

    def __init__(self) -> None:
        self.value = 0
        self._last_unusable = b""

    def record_answer(self, head: AnswerHead) -> None:
        """Record the era that an answer states."""
        era = self._stated_era(head)
        if era is None or era == self.value:
            return
        log(_LOGGER, events.StoreEra(era=era, before=self.value))
        self.value = era

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
