"""Follows the changes of a collection of rows despite outages, lost history and stale reads."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..core.tasks import Flag, Tasks
from ..logs import events, log
from .answer_timeout import AnswerTimeout
from .const import CALL_TIMEOUT_MS
from .coverage import Coverage
from .models import ChangedRow, ChangeFeed, Changes, HistoryLost, Unavailable

_LOGGER = logging.getLogger(__name__)
DEFAULT_WAIT_MS: Final = 20_000
"""How long a request waits for changes: each costs a read, and a change ends it at once."""

MIN_RETRY_PAUSE_MS: Final = 250
MAX_RETRY_PAUSE_MS: Final = 800
"""The pause doubles up to this during an outage, since all nodes send requests and each refused
call costs. Changes after the outage are received at most this much later; entries of servers take
two seconds to be back."""

UNRESPONSIVE_REQUEST_INTERVAL_MS: Final = 1_000
"""How often each watch sends a request to an unresponsive service. Watches with different first
retry delays send one after the other, so that the time at which the service responds again lies
between two of their requests."""

SLOW_ANSWER_MS: Final = 100
"""A service that is not slow answers a request that does not wait for changes sooner than this."""

MIN_PAUSE_MS: Final = 500
"""Minimum pause, even if a request is wanted soon: many servers that are added at once are then
read together."""

MIN_ANSWER_TIMEOUT_MS: Final = 500
"""How long an answer may take, in addition to the wait for changes, while answers are fast: a store
that is sixty times as slow as usual answers within 240 ms."""

DEFAULT_MAX_GAP_MS: Final = 2_000
"""The longest pause between requests after which the time between them still counts as known."""

STALE_READ_PAUSE_MS: Final = 400
"""Pause before all rows are read again after a read that was older than the rows already known."""


class CollectionWatch:
    """Follows the rows of one collection and reports each change.

    :param on_change: called with each row that was added, changed or removed (then its body is
        ``None``).
    :param on_return: called when the service answers again after an outage, before its rows are
        reported.
    :param pause_ms: returns the pause between requests; changes during it arrive in one answer.
    :param wait_ms: how long a request waits for changes.
    :param answer_timeout: how long its answer may take in addition to this wait.
    :param on_lost: called when an outage begins, at the first request that fails.
    :param on_rows_lost: called when the service has lost rows, before those that it still has are
        reported.
    :param on_row_lost: called with the key of each row that the service has lost; by default the
        row is reported as removed.
    :param first_retry_delay_ms: delay of the next request after the first that timed out.
    :param max_gap_ms: the longest pause after which the time between two requests counts as known.
    :ivar coverage: for which time the rows are known.
    :ivar is_loaded: whether all rows have been read; ``False`` again after lost history.
    :ivar has_been_loaded: whether all rows have been read once.
    :ivar lost_since_ms: when the current outage was noticed; ``None`` while the service answers.
    :ivar last_outage_ms: duration of the last outage that has ended.
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
        max_gap_ms: int = DEFAULT_MAX_GAP_MS,
        on_rows_lost: Callable[[], None] = lambda: None,
        on_row_lost: Callable[[str], None] | None = None,
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
        self._on_rows_lost = on_rows_lost
        self._on_row_lost = on_row_lost
        self._first_retry_delay_ms = first_retry_delay_ms
        self.coverage = Coverage(max_gap_ms)
        self._is_waiting = False
        self._is_restarting = False
        self._request_soon_flag: Flag | None = None
        self._version = 0
        self._generation = 0
        self._row_version_by_key: dict[str, int] = {}
        self.is_loaded = False
        self.has_been_loaded = False
        self.lost_since_ms: int | None = None
        self.last_outage_ms = 0
        self._last_unanswered_ms: int | None = None
        self._request_sent_ms: int | None = None
        self._retry_pause_ms = MIN_RETRY_PAUSE_MS
        self._last_answer_ms: int | None = None
        self._has_gap = True
        self._current_pause_ms = 0

    def run(self) -> None:
        """Follow the collection; does not return."""
        self._request_soon_flag = self._tasks.flag()
        while True:
            pause_ms = self.request_once()
            if pause_ms:
                self._pause(pause_ms)

    def _pause(self, pause_ms: int) -> None:
        """Wait between requests; ``request_soon`` ends a wait after ``MIN_PAUSE_MS``.

        During an outage it ends the wait at once.
        """
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
        """Return the current pause between two requests."""
        return self._get_pause_ms()

    def earliest_change_ms(self) -> int | None:
        """Return the earliest time at which the row being applied can have changed.

        ``None`` if it is unknown, since this is the first answer. Changes are received as they
        are made while requests are answered; after a gap they may be as old as the last answer
        before the gap.
        """
        return self._last_answer_ms if self._has_gap else self._clock.now_ms()

    def answer_age_ms(self) -> int | None:
        """Return how long ago the service last answered; ``None`` if it never has."""
        return None if self._last_answer_ms is None else self._clock.now_ms() - self._last_answer_ms

    def last_unanswered_ms(self) -> int | None:
        """Return when the last request was sent that got no answer, or only a slow one.

        A pending request that does not wait for changes counts from ``SLOW_ANSWER_MS`` on.
        """
        sent_ms = self._request_sent_ms
        if sent_ms is None or self._is_waiting:
            return self._last_unanswered_ms
        is_slow = self._clock.now_ms() - sent_ms >= SLOW_ANSWER_MS
        return sent_ms if is_slow else self._last_unanswered_ms

    def end_overlong_pause(self) -> None:
        """End a pause that is now too long, since this node's share of the requests has grown."""
        if self._get_pause_ms() < self._current_pause_ms:
            self.request_soon()

    def has_answered_since(self, since_ms: int) -> bool:
        """Return whether the service answers now and has answered at or after a given time."""
        last_answer_ms = self._last_answer_ms
        return (
            self.lost_since_ms is None and last_answer_ms is not None and last_answer_ms >= since_ms
        )

    def restart_waiting_request(self) -> None:
        """Cancel a request that waits for changes and send it again without a wait.

        The service may have been unresponsive since it was sent. Its answer on that connection may
        be lost, which would otherwise not be noticed before the end of the wait.
        """
        if self._is_waiting:
            self._is_restarting = True
            self._feed.cancel_request()

    def is_receiving(self) -> bool:
        """Return whether a part of an answer with changes has been received."""
        return self._request_sent_ms is not None and self._feed.is_receiving_changes()

    def resume_after_outage(self) -> None:
        """Send a request now if this watch has an outage; another watch has got an answer.

        A request sent before the end of an outage may never be answered. The end of the outage
        would then be noticed one answer timeout and one pause later.
        """
        if self.lost_since_ms is None:
            return
        if self._request_sent_ms is not None:
            self._is_restarting = True
            self._feed.cancel_request()
        else:
            self.request_soon()

    def request_soon(self) -> None:
        """Send the next request soon, since a peer has announced changes."""
        if self._request_soon_flag is not None:
            self._request_soon_flag.set()

    def request_once(self) -> int:
        """Send one request; return how long to pause before the next one."""
        sent_ms = self._clock.now_ms()
        if not self.is_loaded:
            return self._apply_all(self._feed.read_all(self._collection), sent_ms)
        # While the service does not answer, or may not, any answer is wanted and not only changes.
        wait_ms = 0 if self._is_restarting or self.lost_since_ms is not None else self._wait_ms
        self._is_restarting = False
        timeout_ms = self._answer_timeout.timeout_ms
        self._is_waiting = wait_ms > 0
        self._request_sent_ms = sent_ms
        result = self._feed.changes(self._collection, self._version, wait_ms, timeout_ms)
        self._is_waiting, self._request_sent_ms = False, None
        duration_ms = self._clock.now_ms() - sent_ms
        if wait_ms == 0 and duration_ms >= SLOW_ANSWER_MS:
            self._last_unanswered_ms = sent_ms
        match result:
            case Changes(rows=rows, version=version, service_now_ms=service_now_ms):
                self._answer_timeout.record_answer(duration_ms)
                self._handle_answer()
                for row in rows:
                    self._apply_row(row)
                self._version = max(self._version, version)
                self._record_coverage(sent_ms, service_now_ms)
                self._end_gap()
                return self._get_pause_ms()
            case HistoryLost(reason=reason):
                log(_LOGGER, events.HistoryLost(collection=self._collection, cause=reason))
                self.is_loaded = False
                self._has_gap = True
                return 0
            case Unavailable() if self._is_restarting:
                self._has_gap = True
                return 0
            case Unavailable(reason=reason):
                has_timed_out = duration_ms >= wait_ms + timeout_ms
                if has_timed_out:
                    self._answer_timeout.record_timeout()
                is_outage_start = self.lost_since_ms is None
                pause_ms = self._handle_unavailable(reason, sent_ms)
                if not has_timed_out:
                    return pause_ms
                # A single lost answer must not delay changes: the first retry is sent soon.
                return (
                    self._first_retry_delay_ms
                    if is_outage_start
                    else max(0, UNRESPONSIVE_REQUEST_INTERVAL_MS - duration_ms)
                )

    def _apply_all(self, result: Changes | Unavailable, sent_ms: int) -> int:
        if isinstance(result, Unavailable):
            return self._handle_unavailable(result.reason, sent_ms)
        if result.version < self._version:
            # After lost history, reads may come from a replica that is seconds behind. If it were
            # applied, departed servers and replaced configuration would be back.
            log(
                _LOGGER,
                events.StaleRead(
                    collection=self._collection, version=result.version, known=self._version
                ),
            )
            return STALE_READ_PAUSE_MS
        self._handle_answer()
        has_lost_rows = result.generation != self._generation
        if has_lost_rows:
            self._on_rows_lost()
        present_keys = {row.key for row in result.rows}
        for row in result.rows:
            self._apply_row(row)
        for key in [key for key in self._row_version_by_key if key not in present_keys]:
            if has_lost_rows and self._on_row_lost is not None:
                del self._row_version_by_key[key]
                self._on_row_lost(key)
            else:
                self._apply_row(ChangedRow(key, result.version, None))
        self._version, self._generation = result.version, result.generation
        self.is_loaded = self.has_been_loaded = True
        self._record_coverage(sent_ms, result.service_now_ms)
        self._end_gap()
        return 0

    def _record_coverage(self, sent_ms: int, service_now_ms: int | None) -> None:
        self.coverage.record_answer(sent_ms)
        self.coverage.record_service_clock(service_now_ms, self._clock.now_ms())

    def _end_gap(self) -> None:
        self._last_answer_ms = self._clock.now_ms()
        self._has_gap = False

    def _apply_row(self, row: ChangedRow) -> None:
        known = self._row_version_by_key.get(row.key, 0)
        if row.version < known:
            log(
                _LOGGER,
                events.RowIgnored(
                    collection=self._collection, row=row.key, version=row.version, known=known
                ),
            )
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

    def _handle_unavailable(self, reason: str, sent_ms: int) -> int:
        self._has_gap = True
        self._last_unanswered_ms = sent_ms
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
