"""Remembers which lives of servers have left, on what evidence, and what refutes it.

What a server says of itself is final for that life. Anything else is evidence of a moment: an entry
that lapses, another server at an address, the word of a peer. A server whose entry stays in the
store afterwards, for longer than that of a silent server would, has not left.
"""

from __future__ import annotations

from collections.abc import Container
from typing import Final

import attrs

from ..core.server_life import ServerLife

DEPARTED_RETENTION_MS: Final = 60_000
"""How long a departed life is remembered, so that an outdated list does not add it again."""

UNDATED_IGNORED_MS: Final = 20_000
"""How long an undated report is ignored after the server has returned: a peer of an earlier release
repeats it for half of this time."""


@attrs.define(slots=True)
class Departure:
    """The departure of one life.

    :param evidence_ms: the time of the newest evidence, by this node's clock.
    :param cause: the first evidence, for the log.
    :param is_final: whether the server said so itself, or another life of it has started.
    :param registered_ms: since when the life is registered in spite of the evidence, as far as this
        node knows; ``None`` if it is not.
    :param is_written_again: whether its entry was written after the evidence.
    :param predates_copy: whether the store has come back from an older copy since: an entry that
        appears may be that of the copy.
    """

    evidence_ms: int
    cause: str
    is_final: bool
    registered_ms: int | None = None
    is_written_again: bool = False
    predates_copy: bool = False

    def seems_refuted(self) -> bool:
        """Return whether a new entry speaks against the departure, though it has not lasted yet."""
        return not self.is_final and self.is_written_again and not self.predates_copy


class Departures:
    """The lives of servers that have left."""

    def __init__(self) -> None:
        self._departure_by_life: dict[ServerLife, Departure] = {}
        self._returned_ms_by_life: dict[ServerLife, int] = {}

    def __contains__(self, life: object) -> bool:
        return life in self._departure_by_life

    def get(self, life: ServerLife) -> Departure | None:
        """Return the departure of a life, if it has left."""
        return self._departure_by_life.get(life)

    def record(
        self, life: ServerLife, now_ms: int, cause: str, *, is_final: bool, is_registered: bool
    ) -> bool:
        """Record that a life has left; return whether that is news."""
        departure = self._departure_by_life.get(life)
        registered_ms = now_ms if is_registered else None
        if departure is None:
            self._departure_by_life[life] = Departure(now_ms, cause, is_final, registered_ms)
            return True
        if is_final and not departure.is_final:
            departure.is_final, departure.cause = True, cause
            departure.evidence_ms = now_ms
        elif not departure.is_final:
            departure.evidence_ms, departure.registered_ms = now_ms, registered_ms
            departure.is_written_again = departure.predates_copy = False
        return False

    def record_report(
        self, life: ServerLife, now_ms: int, cause: str, *, is_final: bool, age_ms: int
    ) -> bool:
        """Record what a peer knows of a registered life; return whether that is news.

        A report that is older than the server's return is ignored: two nodes would otherwise renew
        each other's report for ever.

        :param age_ms: age of the peer's evidence.
        """
        evidence_ms = now_ms - age_ms
        returned_ms = self._returned_ms_by_life.get(life)
        if not is_final and returned_ms is not None and evidence_ms <= returned_ms:
            return False
        departure = self._departure_by_life.get(life)
        if departure is None:
            self._departure_by_life[life] = Departure(evidence_ms, cause, is_final, now_ms)
            return True
        if is_final and not departure.is_final:
            departure.is_final, departure.cause = True, cause
            departure.evidence_ms = max(departure.evidence_ms, evidence_ms)
        return False

    def record_undated_report(self, life: ServerLife, now_ms: int, cause: str) -> bool:
        """Record the report of a peer of an earlier release; return whether that is news."""
        returned_ms = self._returned_ms_by_life.get(life)
        is_repeated = returned_ms is not None and now_ms - returned_ms <= UNDATED_IGNORED_MS
        if is_repeated or life in self._departure_by_life:
            return False
        self._departure_by_life[life] = Departure(now_ms, cause, False, now_ms)
        return True

    def record_registration(self, life: ServerLife, now_ms: int) -> None:
        """Record that a life's entry was written and does not say that it leaves."""
        departure = self._departure_by_life.get(life)
        if departure is None or departure.is_final:
            return
        departure.is_written_again = True
        if departure.registered_ms is None:
            departure.registered_ms = now_ms

    def restart_registrations(self, now_ms: int) -> None:
        """Count registrations from now on; the store has come back from an older copy.

        The copy may hold the entries of servers that are gone.
        """
        for departure in self._departure_by_life.values():
            departure.predates_copy = True
            if departure.registered_ms is not None:
                departure.registered_ms = now_ms

    def end_refuted(self, known_until_ms: int, lapse_ms: int) -> list[tuple[ServerLife, Departure]]:
        """End the departures of lives that stayed registered; return them.

        :param known_until_ms: up to when this node knows which servers are registered.
        :param lapse_ms: how long the entry of a silent server stays in the store.
        """
        refuted = [
            (life, departure)
            for life, departure in self._departure_by_life.items()
            if not departure.is_final
            and departure.registered_ms is not None
            and known_until_ms - departure.registered_ms > lapse_ms
        ]
        for life, _ in refuted:
            del self._departure_by_life[life]
            self._returned_ms_by_life[life] = known_until_ms
        return refuted

    def recent(self, now_ms: int, within_ms: int) -> list[tuple[ServerLife, Departure]]:
        """Return the departures whose evidence is not older than a given time."""
        return [
            (life, departure)
            for life, departure in self._departure_by_life.items()
            if now_ms - departure.evidence_ms <= within_ms
        ]

    def forget(self, life: ServerLife) -> None:
        """Forget a life's departure."""
        self._departure_by_life.pop(life, None)

    def forget_old(self, now_ms: int, registered: Container[ServerLife]) -> list[ServerLife]:
        """Forget lives that left long ago and are not registered; return them."""
        old = [
            life
            for life, departure in self._departure_by_life.items()
            if now_ms - departure.evidence_ms > DEPARTED_RETENTION_MS and life not in registered
        ]
        for life in old:
            del self._departure_by_life[life]
        for life, returned_ms in list(self._returned_ms_by_life.items()):
            if now_ms - returned_ms > DEPARTED_RETENTION_MS:
                del self._returned_ms_by_life[life]
        return old
