"""Follows a collection of rows through outages, lost history and stale reads."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..core.tasks import Flag, Tasks
from ..logs import events, log
from .const import CALL_TIMEOUT_MS
from .models import ChangedRow, ChangeFeed, Changes, HistoryLost, Unavailable
from .patience import Patience

_LOGGER = logging.getLogger(__name__)
WAIT_MS: Final = 20_000
"""How long one question waits for changes: each costs a read, and a change ends it at once."""

RETRY_PAUSE_MS: Final = 250
MAX_RETRY_PAUSE_MS: Final = 800
"""The pause doubles up to this through an outage: all nodes ask, and each refused call costs; news
after its end comes at most this late, and entries of servers take two seconds to be back."""

SILENT_CYCLE_MS: Final = 1_000
"""A service that is silent is asked so often by each watch. Watches of different phases ask one
after the other: the end of the silence lies between two questions."""

LONG_ANSWER_MS: Final = 100
"""A question that waits for no changes is answered sooner, by a service that is not slow."""

LEAST_PAUSE_MS: Final = 500
"""A poke ends no pause sooner: many servers that come at once are read together."""

LEAST_PATIENCE_MS: Final = 500
"""How much longer than it may wait for changes a question's answer may take while answers come
soon: a store that is sixty times as slow as usual answers within 240 ms."""

STALE_PAUSE_MS: Final = 400
"""Pause before a read that was older than what is known is made again."""


class CollectionWatch:
    """Keeps the rows of one collection as the service holds them.

    :param on_change: takes a row that is new, changed or gone (then its body is ``None``).
    :param pause_ms: returns the pause between questions; changes of that time come in one answer.
    :param wait_ms: how long a question waits for changes.
    :param patience: how much longer than that its answer is waited for.
    :param on_lost: called when a question has found that the service does not answer.
    :param phase_ms: how long after the first lost answer it is asked again.
    :param on_return: called when the service answers again after an outage, before its rows.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        collection: str,
        tasks: Tasks,
        clock: Clock,
        on_change: Callable[[ChangedRow], None],
        on_return: Callable[[], None] = lambda: None,
        pause_ms: Callable[[], int] = lambda: 0,
        wait_ms: int = WAIT_MS,
        patience: Patience | None = None,
        on_lost: Callable[[], None] = lambda: None,
        phase_ms: int = 0,
    ) -> None:
        self._feed = feed
        self._collection = collection
        self._tasks = tasks
        self._clock = clock
        self._on_change = on_change
        self._on_return = on_return
        self._between_ms = pause_ms
        self._wait_ms = wait_ms
        self._patience = patience or Patience(LEAST_PATIENCE_MS, CALL_TIMEOUT_MS)
        self._on_lost = on_lost
        self._phase_ms = phase_ms
        self._waits = False
        self._doubted = False
        self._poked: Flag | None = None
        self._version = 0
        self._row_version_by_key: dict[str, int] = {}
        self.loaded = False
        self.lost_since_ms: int | None = None
        self.out_ms = 0
        self._unanswered_ms: int | None = None
        self._asked_ms: int | None = None
        self._pause_ms = RETRY_PAUSE_MS
        self._answered_ms: int | None = None
        self._gap = True
        self._given_ms = 0

    def run(self) -> None:
        """Follow the collection for good."""
        self._poked = self._tasks.flag()
        while True:
            pause_ms = self.step()
            if pause_ms:
                self._rest(pause_ms)

    def _rest(self, pause_ms: int) -> None:
        """Let the pause pass; one that was made longer is ended by a poke."""
        self._given_ms = pause_ms
        if self.lost_since_ms is not None:
            self._poked.wait(pause_ms)
            self._poked.clear()
            return
        self._tasks.sleep(min(pause_ms, LEAST_PAUSE_MS))
        if pause_ms > LEAST_PAUSE_MS:
            self._poked.wait(pause_ms - LEAST_PAUSE_MS)
        self._poked.clear()

    def pause_ms(self) -> int:
        """Return the pause between two questions as things stand."""
        return self._between_ms()

    def changed_after_ms(self) -> int | None:
        """Return after when what is being taken has changed at the earliest.

        ``None``: nothing is known of that, it is the first answer. Changes come as they are made
        while questions are answered; in a gap they may be as old as the last answer before it.
        """
        return self._answered_ms if self._gap else self._clock.now_ms()

    def answer_age_ms(self) -> int | None:
        """Return how long ago the service last answered; ``None``: it never has."""
        return None if self._answered_ms is None else self._clock.now_ms() - self._answered_ms

    def unanswered_ms(self) -> int | None:
        """Return when the last question was asked that got no answer, or none for long."""
        asked_ms = self._asked_ms
        if asked_ms is None or self._waits:
            return self._unanswered_ms
        long_ago = self._clock.now_ms() - asked_ms >= LONG_ANSWER_MS
        return asked_ms if long_ago else self._unanswered_ms

    def look_again(self) -> None:
        """End a pause that has become too long: this node's part in the asking has grown."""
        if self._between_ms() < self._given_ms:
            self.poke()

    def answered_since(self, since_ms: int) -> bool:
        """Tell whether the service answers, and has since some moment."""
        answered_ms = self._answered_ms
        return self.lost_since_ms is None and answered_ms is not None and answered_ms >= since_ms

    def doubt(self) -> None:
        """Give a question that waits up and ask anew: the service may have been silent since.

        What it was to answer on that connection may be lost, and nothing would tell so before the
        end of the wait.
        """
        if self._waits:
            self._doubted = True
            self._feed.hang_up()

    def answers_again(self) -> None:
        """Take that the service has answered another question: ask anew, if it was lost here.

        A question from before the end of an outage may never be answered, and its end would be
        noticed one patience and one pause later.
        """
        if self.lost_since_ms is None:
            return
        if self._asked_ms is not None:
            self._doubted = True
            self._feed.hang_up()
        else:
            self.poke()

    def poke(self) -> None:
        """Ask soon: somebody has told that there is news."""
        if self._poked is not None:
            self._poked.set()

    def step(self) -> int:
        """Ask once; return how long to pause before the next question."""
        asked_ms = self._clock.now_ms()
        if not self.loaded:
            return self._take_all(self._feed.read_all(self._collection), asked_ms)
        # Of a service that is lost, or may be, there is nothing to wait for but its first word.
        wait_ms = 0 if self._doubted or self.lost_since_ms is not None else self._wait_ms
        self._doubted = False
        patience_ms = self._patience.ms
        self._waits = wait_ms > 0
        self._asked_ms = asked_ms
        result = self._feed.changes(self._collection, self._version, wait_ms, patience_ms)
        self._waits, self._asked_ms = False, None
        took_ms = self._clock.now_ms() - asked_ms
        if wait_ms == 0 and took_ms >= LONG_ANSWER_MS:
            self._unanswered_ms = asked_ms
        match result:
            case Changes(rows=rows, version=version):
                self._patience.answered(took_ms)
                self._heard()
                for row in rows:
                    self._take(row)
                self._version = max(self._version, version)
                self._gap_over()
                return self._between_ms()
            case HistoryLost():
                log(_LOGGER, events.HistoryLost(collection=self._collection))
                self.loaded = False
                self._gap = True
                return 0
            case Unavailable() if self._doubted:
                self._gap = True
                return 0
            case Unavailable(reason=reason):
                unanswered = took_ms >= wait_ms + patience_ms
                if unanswered:
                    self._patience.unanswered()
                first = self.lost_since_ms is None
                pause_ms = self._unavailable(reason, asked_ms)
                if not unanswered:
                    return pause_ms
                # One lost answer alone must not make news late: asked again soon.
                return self._phase_ms if first else max(0, SILENT_CYCLE_MS - took_ms)

    def _take_all(self, result: Changes | Unavailable, asked_ms: int) -> int:
        if isinstance(result, Unavailable):
            return self._unavailable(result.reason, asked_ms)
        if result.version < self._version:
            # After a lost history reads may come from a copy that is seconds behind: taken, it
            # would bring back servers that left and configuration that was replaced.
            log(
                _LOGGER,
                events.StaleRead(
                    collection=self._collection, version=result.version, known=self._version
                ),
            )
            return STALE_PAUSE_MS
        self._heard()
        present = {row.key for row in result.rows}
        for row in result.rows:
            self._take(row)
        for key in [known for known in self._row_version_by_key if known not in present]:
            self._take(ChangedRow(key, result.version, None))
        self._version = result.version
        self.loaded = True
        self._gap_over()
        return 0

    def _gap_over(self) -> None:
        self._answered_ms = self._clock.now_ms()
        self._gap = False

    def _take(self, row: ChangedRow) -> None:
        if row.version < self._row_version_by_key.get(row.key, 0):
            return
        if row.body is None:
            self._row_version_by_key.pop(row.key, None)
        elif self._row_version_by_key.get(row.key) == row.version:
            return
        else:
            self._row_version_by_key[row.key] = row.version
        self._on_change(row)

    def _heard(self) -> None:
        self._pause_ms = RETRY_PAUSE_MS
        if self.lost_since_ms is None:
            return
        self.out_ms = self._clock.now_ms() - self.lost_since_ms
        self.lost_since_ms = None
        log(_LOGGER, events.StoreReturned(collection=self._collection, after_ms=self.out_ms))
        self._on_return()

    def _unavailable(self, reason: str, asked_ms: int) -> int:
        self._gap = True
        self._unanswered_ms = asked_ms
        if self.lost_since_ms is None:
            self.lost_since_ms = self._clock.now_ms()
            log(
                _LOGGER,
                events.StoreLost(
                    collection=self._collection,
                    cause=reason,
                    answered_ago_ms=self.answer_age_ms(),
                ),
            )
            self._on_lost()
        pause_ms = self._pause_ms
        self._pause_ms = min(MAX_RETRY_PAUSE_MS, pause_ms * 2)
        return pause_ms
