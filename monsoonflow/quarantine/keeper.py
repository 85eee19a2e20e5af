"""Keeps requests under which servers end from all servers, on all nodes and over restarts."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Final

from gevent.lock import BoundedSemaphore
from msgspec import Struct

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..core.tasks import Tasks
from ..helpers.ids import new_id
from ..helpers.strict import read
from ..logs import events, log
from ..storage.models import ChangedRow, Committed, Conflict, Table, Transaction
from .ended import ServerEnds
from .models import Ending, Quarantined, Turn
from .suspects import Suspects

_LOGGER = logging.getLogger(__name__)
ROW_PREFIX: Final = "quarantine/"
TELL_MS: Final = 10_000
MOST_TOLD: Final = 64
"""Of what this node has seen lately, so much goes with each report."""

MOST_TOLD_QUARANTINED: Final = 32
STORE_PAUSE_MS: Final = 500


MOST_WAIT_MS: Final = 1_000
"""How long a suspect waits for the others."""


class QuarantineRow(Struct):
    """The value of a quarantined request's row."""

    fingerprint: str
    lives: list[str]
    source: str


class QuarantineKeeper:
    """Finds the requests to blame together with the other nodes, and remembers them in the store.

    :param on_news: called when this node finds one: all others must know at once.
    """

    def __init__(
        self,
        name: str,
        ends: ServerEnds,
        table: Table,
        tasks: Tasks,
        clock: Clock,
        on_news: Callable[[], None],
    ) -> None:
        self.suspects = Suspects(name)
        self._ends = ends
        self._table = table
        self._tasks = tasks
        self._clock = clock
        self._on_news = on_news
        self._rows: set[str] = set()
        self._to_remove: set[str] = set()
        self._apart = BoundedSemaphore(1)

    def refuses(self, fingerprint: str) -> bool:
        """Tell whether a request must reach no server."""
        return self.suspects.is_quarantined(fingerprint)

    def take_turn(self, fingerprint: str, at_most_ms: int) -> Turn:
        """Wait until a request may be sent; ``Turn.LOST``: it is not soon enough.

        Suspects go one after the other, each when the one before has ended: joined by the culprit
        while it is still being answered, a bystander would be on a third server that ends.
        """
        if not self.suspects.runs_apart(fingerprint):
            return Turn.FREE
        wait_s = min(at_most_ms, MOST_WAIT_MS) / 1000
        return Turn.HELD if self._apart.acquire(timeout=wait_s) else Turn.LOST

    def end_turn(self) -> None:
        """Let the next suspect go."""
        self._apart.release()

    def broke(self, fingerprint: str, life: ServerLife, address: str) -> None:
        """Take that a server's connection broke while it had a request, and look whether it ended.

        Looked at before the request is tried again: it would end the next server meanwhile.
        """
        self._found(self.suspects.broke(fingerprint, life, self._clock.now_ms()))
        if self._ends.has_ended(life, address):
            self.server_ended(life)

    def server_ended(self, life: ServerLife) -> None:
        """Take that a server's port refuses connections."""
        now_ms = self._clock.now_ms()
        had = self.suspects.broken_at(life)
        if had:
            log(_LOGGER, events.ServerEnded(server=life, had=len(had), requests=",".join(had)))
        self._found(self.suspects.server_ended(life, now_ms))

    def completed(self, fingerprint: str) -> None:
        """Take that a server has answered a request whole."""
        if self.suspects.completed(fingerprint, self._clock.now_ms()):
            self._lifted(fingerprint, "answered whole")
            self._to_remove.add(fingerprint)

    def own_endings(self) -> tuple[Ending, ...]:
        """Return what this node tells the others of what it has seen."""
        return self.suspects.own_endings(self._clock.now_ms(), TELL_MS, MOST_TOLD)

    def told_quarantined(self) -> tuple[str, ...]:
        """Return the quarantined requests that this node tells the others."""
        return tuple(one.fingerprint for one in self.suspects.quarantined(MOST_TOLD_QUARANTINED))

    def take_told(self, source: str, endings: Iterable[Ending], held: Iterable[str]) -> None:
        """Take what another node tells."""
        now_ms = self._clock.now_ms()
        found = [self.suspects.take(ending, now_ms, source) for ending in endings]
        self._found([one for one in found if one is not None])
        for fingerprint in held:
            self._hold(Quarantined(fingerprint, (), source))

    def take_row(self, row: ChangedRow) -> bool:
        """Take a changed row of the store; return whether it is one of a quarantine."""
        if not row.key.startswith(ROW_PREFIX):
            return False
        fingerprint = row.key.removeprefix(ROW_PREFIX)
        if row.body is None:
            self._rows.discard(fingerprint)
            if self.suspects.lift(fingerprint, self._clock.now_ms()):
                self._lifted(fingerprint, "its row was removed")
            return True
        self._rows.add(fingerprint)
        fields = read(row.body, QuarantineRow)
        if isinstance(fields, str):
            log(_LOGGER, events.UnusableRow(row=row.key, cause=fields))
            return True
        lives = tuple(map(ServerLife, fields.lives))
        self._hold(Quarantined(fingerprint, lives, fields.source))
        return True

    def run(self) -> None:
        """Keep the store's rows as they should be, for good."""
        while True:
            self._tasks.sleep(STORE_PAUSE_MS)
            self.keep_rows()

    def keep_rows(self) -> None:
        """Write what this node has found, and remove what is quarantined no more."""
        for fingerprint in self.suspects.expired(self._clock.now_ms()):
            self._lifted(fingerprint, "its time is over")
            self._to_remove.add(fingerprint)
        for fingerprint in list(self._to_remove):
            transaction = Transaction(new_id("op"), {}, {}, (ROW_PREFIX + fingerprint,))
            if isinstance(self._table.commit(transaction), Committed):
                self._to_remove.discard(fingerprint)
        for one in self.suspects.quarantined():
            known = one.fingerprint in self._rows
            if not known and one.lives and self.suspects.has_seen(one.fingerprint):
                self._write(one)

    def _write(self, one: Quarantined) -> None:
        key = ROW_PREFIX + one.fingerprint
        value = {"fingerprint": one.fingerprint, "lives": list(one.lives), "source": one.source}
        result = self._table.commit(Transaction(new_id("op"), {key: 0}, {key: value}))
        if isinstance(result, Committed | Conflict):
            self._rows.add(one.fingerprint)

    def _found(self, found: list[Quarantined]) -> None:
        for one in found:
            self._log(one)
        if found:
            self._on_news()

    def _hold(self, one: Quarantined) -> None:
        if self.suspects.hold(one, self._clock.now_ms()):
            self._log(one)

    def _log(self, one: Quarantined) -> None:
        servers = ",".join(one.lives) or None
        log(
            _LOGGER,
            events.RequestQuarantined(
                fingerprint=one.fingerprint, servers=servers, source=one.source
            ),
        )

    def _lifted(self, fingerprint: str, cause: str) -> None:
        log(_LOGGER, events.QuarantineLifted(fingerprint=fingerprint, cause=cause))
