"""Follows a collection of rows through outages, lost history and stale reads."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..core.tasks import Flag, Tasks
from ..logs import events, log
from .answer_timeout import AnswerTimeout
from .const import CALL_TIMEOUT_MS
from .models import ChangedRow, ChangeFeed, Changes, HistoryLost, Unavailable

_LOGGER = logging.getLogger(__name__)
DEFAULT_WAIT_MS: Final = 20_000
"""How long one question waits for changes: each costs a read, and a change ends it at once."""

MIN_RETRY_PAUSE_MS: Final = 250
MAX_RETRY_PAUSE_MS: Final = 800
"""The pause doubles up to this through an outage: all nodes ask, and each refused call costs; news
after its end comes at most this late, and entries of servers take two seconds to be back."""

UNRESPONSIVE_REQUEST_INTERVAL_MS: Final = 1_000
"""A service that is silent is asked so often by each watch. Watches of different phases ask one
after the other: the end of the silence lies between two questions."""

SLOW_ANSWER_MS: Final = 100
"""A question that waits for no changes is answered sooner, by a service that is not slow."""

MIN_PAUSE_MS: Final = 500
"""A poke ends no pause sooner: many servers that come at once are read together."""

MIN_ANSWER_TIMEOUT_MS: Final = 500
"""How much longer than it may wait for changes a question's answer may take while answers come
soon: a store that is sixty times as slow as usual answers within 240 ms."""

STALE_READ_PAUSE_MS: Final = 400
"""Pause before a read that was older than what is known is made again."""


class CollectionWatch:
    """Keeps the rows of one collection as the service holds them.

    :param on_change: takes a row that is new, changed or gone (then its body is ``None``).
    :param pause_ms: returns the pause between questions; changes of that time come in one answer.
    :param wait_ms: how long a question waits for changes.
    :param answer_timeout: how much longer than that its answer is waited for.
    :param on_lost: called when a question has found that the service does not answer.
    :param first_retry_delay_ms: how long after the first lost answer it is asked again.
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
        wait_ms: int = DEFAULT_WAIT_MS,
        answer_timeout: AnswerTimeout | None = None,
        on_lost: Callable[[], None] = lambda: None,
        first_retry_delay_ms: int = 0,
    ) -> None:
        self._feed = feed
        self._collection = collection
        self._tasks = tasks
        self._clock = clock
        self._on_change = on_change
        self._on_return = on_return
        self._get_pause_ms = pause_ms
        self._wait_ms = wait_ms
        self._answer_timeout = answer_timeout or AnswerTimeout(
            MIN_ANSWER_TIMEOUT_MS, CALL_TIMEOUT_MS
        )
        self._on_lost = on_lost
        self._first_retry_delay_ms = first_retry_delay_ms
        self._is_waiting = False
        self._is_restarting = False
        self._request_soon_flag: Flag | None = None
        self._version = 0
        self._row_version_by_key: dict[str, int] = {}
        self.is_loaded = False
        self.lost_since_ms: int | None = None
        self.last_outage_ms = 0
        self._last_unanswered_ms: int | None = None
        self._request_sent_ms: int | None = None
        self._retry_pause_ms = MIN_RETRY_PAUSE_MS
        self._last_answer_ms: int | None = None
        self._has_gap = True
        self._current_pause_ms = 0

    def run(self) -> None:
        """Follow the collection for good."""
        self._request_soon_flag = self._tasks.flag()
        while True:
            pause_ms = self.request_once()
            if pause_ms:
                self._pause(pause_ms)

    def _pause(self, pause_ms: int) -> None:
        """Let the pause pass; one that was made longer is ended by a poke."""
        self._current_pause_ms = pause_ms
        if self.lost_since_ms is not None:
            self._request_soon_flag.wait(pause_ms)
            self._request_soon_flag.clear()
            return
        self._tasks.sleep(min(pause_ms, MIN_PAUSE_MS))
        if pause_ms > MIN_PAUSE_MS:
            self._request_soon_flag.wait(pause_ms - MIN_PAUSE_MS)
        self._request_soon_flag.clear()

    def pause_ms(self) -> int:
        """Return the pause between two questions as things stand."""
        return self._get_pause_ms()

    def earliest_change_ms(self) -> int | None:
        """Return after when what is being taken has changed at the earliest.

        ``None``: nothing is known of that, it is the first answer. Changes come as they are made
        while questions are answered; in a gap they may be as old as the last answer before it.
        """
        return self._last_answer_ms if self._has_gap else self._clock.now_ms()

    def answer_age_ms(self) -> int | None:
        """Return how long ago the service last answered; ``None``: it never has."""
        return None if self._last_answer_ms is None else self._clock.now_ms() - self._last_answer_ms

    def last_unanswered_ms(self) -> int | None:
        """Return when the last question was asked that got no answer, or none for long."""
        asked_ms = self._request_sent_ms
        if asked_ms is None or self._is_waiting:
            return self._last_unanswered_ms
        long_ago = self._clock.now_ms() - asked_ms >= SLOW_ANSWER_MS
        return asked_ms if long_ago else self._last_unanswered_ms

    def end_overlong_pause(self) -> None:
        """End a pause that has become too long: this node's part in the asking has grown."""
        if self._get_pause_ms() < self._current_pause_ms:
            self.request_soon()

    def has_answered_since(self, since_ms: int) -> bool:
        """Tell whether the service answers, and has since some moment."""
        answered_ms = self._last_answer_ms
        return self.lost_since_ms is None and answered_ms is not None and answered_ms >= since_ms

    def restart_waiting_request(self) -> None:
        """Give a question that waits up and ask anew: the service may have been silent since.

        What it was to answer on that connection may be lost, and nothing would tell so before the
        end of the wait.
        """
        if self._is_waiting:
            self._is_restarting = True
            self._feed.cancel_request()

    def resume_after_outage(self) -> None:
        """Take that the service has answered another question: ask anew, if it was lost here.

        A question from before the end of an outage may never be answered, and its end would be
        noticed one patience and one pause later.
        """
        if self.lost_since_ms is None:
            return
        if self._request_sent_ms is not None:
            self._is_restarting = True
            self._feed.cancel_request()
        else:
            self.request_soon()

    def request_soon(self) -> None:
        """Ask soon: somebody has told that there is news."""
        if self._request_soon_flag is not None:
            self._request_soon_flag.set()

    def request_once(self) -> int:
        """Ask once; return how long to pause before the next question."""
        asked_ms = self._clock.now_ms()
        if not self.is_loaded:
            return self._apply_all(self._feed.read_all(self._collection), asked_ms)
        # Of a service that is lost, or may be, there is nothing to wait for but its first word.
        wait_ms = 0 if self._is_restarting or self.lost_since_ms is not None else self._wait_ms
        self._is_restarting = False
        patience_ms = self._answer_timeout.timeout_ms
        self._is_waiting = wait_ms > 0
        self._request_sent_ms = asked_ms
        result = self._feed.changes(self._collection, self._version, wait_ms, patience_ms)
        self._is_waiting, self._request_sent_ms = False, None
        took_ms = self._clock.now_ms() - asked_ms
        if wait_ms == 0 and took_ms >= SLOW_ANSWER_MS:
            self._last_unanswered_ms = asked_ms
        match result:
            case Changes(rows=rows, version=version):
                self._answer_timeout.record_answer(took_ms)
                self._handle_answer()
                for row in rows:
                    self._apply_row(row)
                self._version = max(self._version, version)
                self._end_gap()
                return self._get_pause_ms()
            case HistoryLost():
                log(_LOGGER, events.HistoryLost(collection=self._collection))
                self.is_loaded = False
                self._has_gap = True
                return 0
            case Unavailable() if self._is_restarting:
                self._has_gap = True
                return 0
            case Unavailable(reason=reason):
                unanswered = took_ms >= wait_ms + patience_ms
                if unanswered:
                    self._answer_timeout.record_timeout()
                first = self.lost_since_ms is None
                pause_ms = self._handle_unavailable(reason, asked_ms)
                if not unanswered:
                    return pause_ms
                # One lost answer alone must not make news late: asked again soon.
                return (
                    self._first_retry_delay_ms
                    if first
                    else max(0, UNRESPONSIVE_REQUEST_INTERVAL_MS - took_ms)
                )

    def _apply_all(self, result: Changes | Unavailable, asked_ms: int) -> int:
        if isinstance(result, Unavailable):
            return self._handle_unavailable(result.reason, asked_ms)
        if result.version < self._version:
            # After a lost history reads may come from a copy that is seconds behind: taken, it
            # would bring back servers that left and configuration that was replaced.
            log(
                _LOGGER,
                events.StaleRead(
                    collection=self._collection, version=result.version, known=self._version
                ),
            )
            return STALE_READ_PAUSE_MS
        self._handle_answer()
        present = {row.key for row in result.rows}
        for row in result.rows:
            self._apply_row(row)
        for key in [known for known in self._row_version_by_key if known not in present]:
            self._apply_row(ChangedRow(key, result.version, None))
        self._version = result.version
        self.is_loaded = True
        self._end_gap()
        return 0

    def _end_gap(self) -> None:
        self._last_answer_ms = self._clock.now_ms()
        self._has_gap = False

    def _apply_row(self, row: ChangedRow) -> None:
        if row.version < self._row_version_by_key.get(row.key, 0):
            return
        if row.body is None:
            self._row_version_by_key.pop(row.key, None)
        elif self._row_version_by_key.get(row.key) == row.version:
            return
        else:
            self._row_version_by_key[row.key] = row.version
        self._on_change(row)

    def _handle_answer(self) -> None:
        self._retry_pause_ms = MIN_RETRY_PAUSE_MS
        if self.lost_since_ms is None:
            return
        self.last_outage_ms = self._clock.now_ms() - self.lost_since_ms
        self.lost_since_ms = None
        log(
            _LOGGER, events.StoreReturned(collection=self._collection, after_ms=self.last_outage_ms)
        )
        self._on_return()

    def _handle_unavailable(self, reason: str, asked_ms: int) -> int:
        self._has_gap = True
        self._last_unanswered_ms = asked_ms
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
        pause_ms = self._retry_pause_ms
        self._retry_pause_ms = min(MAX_RETRY_PAUSE_MS, pause_ms * 2)
        return pause_ms
