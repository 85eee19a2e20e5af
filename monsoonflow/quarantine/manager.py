"""Keeps requests that crash servers away from all servers, on all nodes and across restarts."""

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
from .crash_probe import CrashProbe
from .models import QuarantinedRequest, ServerCrash, Turn
from .suspects import Suspects

_LOGGER = logging.getLogger(__name__)
ROW_PREFIX: Final = "quarantine/"
MAX_ANNOUNCED_CRASH_AGE_MS: Final = 10_000
MAX_ANNOUNCED_CRASHES: Final = 64
"""Most crashes that each heartbeat announces, the newest ones."""

MAX_ANNOUNCED_QUARANTINED: Final = 32
STORE_SYNC_INTERVAL_MS: Final = 500

MAX_TURN_WAIT_MS: Final = 1_000
"""How long a suspect request waits for other suspects."""


class QuarantineRow(Struct):
    """The stored row of a quarantined request."""

    fingerprint: str
    lives: list[str]
    source: str


class QuarantineManager:
    """Finds the requests that crash servers, together with the peers, and keeps them in the store.

    :param is_path_lost: returns whether a server refuses connections of this node although peers
        reach its service: that is no crash.
    :param on_quarantined: called when this node quarantines a request, to announce it to all peers
        at once.
    """

    def __init__(
        self,
        name: str,
        crash_probe: CrashProbe,
        table: Table,
        tasks: Tasks,
        clock: Clock,
        on_quarantined: Callable[[], None],
        is_path_lost: Callable[[ServerLife], bool] = lambda _life: False,
    ) -> None:
        self.suspects = Suspects(name)
        self._crash_probe = crash_probe
        self._table = table
        self._tasks = tasks
        self._clock = clock
        self._on_quarantined = on_quarantined
        self._is_path_lost = is_path_lost
        self._stored_fingerprints: set[str] = set()
        self._fingerprints_to_remove: set[str] = set()
        self._turn = BoundedSemaphore(1)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to any server."""
        return self.suspects.is_quarantined(fingerprint)

    def acquire_turn(self, fingerprint: str, timeout_ms: int) -> Turn:
        """Wait until a request may be sent; return ``Turn.TIMED_OUT`` if that takes too long.

        Suspects are sent one after the other, each when the previous one has ended. Otherwise an
        innocent request could share a third server with the request that crashes it, and would be
        quarantined too.
        """
        if not self.suspects.must_run_alone(fingerprint):
            return Turn.NOT_NEEDED
        wait_s = min(timeout_ms, MAX_TURN_WAIT_MS) / 1000
        return Turn.ACQUIRED if self._turn.acquire(timeout=wait_s) else Turn.TIMED_OUT

    def release_turn(self) -> None:
        """Let the next suspect request be sent."""
        self._turn.release()

    def record_broken_connection(self, fingerprint: str, life: ServerLife, address: str) -> None:
        """Record that a server's connection broke with a request, and probe for a crash.

        The result is known before the request is retried. Otherwise the request could crash the
        next server meanwhile.
        """
        self._handle_quarantined(
            self.suspects.record_broken_connection(fingerprint, life, self._clock.now_ms())
        )
        if self._crash_probe.has_crashed(life, address) and not self._is_path_lost(life):
            self.record_server_crash(life)

    def record_server_crash(self, life: ServerLife) -> None:
        """Record that a server's port refuses connections."""
        now_ms = self._clock.now_ms()
        requests = self.suspects.broken_requests_at(life)
        if requests:
            log(
                _LOGGER,
                events.ServerEnded(server=life, had=len(requests), requests=",".join(requests)),
            )
        self._handle_quarantined(self.suspects.record_server_crash(life, now_ms))

    def record_completed(self, fingerprint: str) -> None:
        """Record that a server has answered a request completely."""
        if self.suspects.record_completed(fingerprint, self._clock.now_ms()):
            self._log_lifted(fingerprint, "a server answered it completely")
            self._fingerprints_to_remove.add(fingerprint)

    def own_crashes(self) -> tuple[ServerCrash, ...]:
        """Return the recent crashes seen by this node, which it announces to its peers."""
        return self.suspects.own_crashes(
            self._clock.now_ms(), MAX_ANNOUNCED_CRASH_AGE_MS, MAX_ANNOUNCED_CRASHES
        )

    def announced_quarantined(self) -> tuple[str, ...]:
        """Return the quarantined requests that this node announces to its peers."""
        return tuple(
            request.fingerprint for request in self.suspects.quarantined(MAX_ANNOUNCED_QUARANTINED)
        )

    def apply_announced(
        self, source: str, crashes: Iterable[ServerCrash], quarantined: Iterable[str]
    ) -> None:
        """Apply the crashes and quarantined requests that a peer announces."""
        now_ms = self._clock.now_ms()
        results = [self.suspects.record_crash(crash, now_ms, source) for crash in crashes]
        self._handle_quarantined([request for request in results if request is not None])
        for fingerprint in quarantined:
            self._quarantine(QuarantinedRequest(fingerprint, (), source))

    def apply_row(self, row: ChangedRow) -> bool:
        """Apply a changed row of the store; return whether it belongs to the quarantine."""
        if not row.key.startswith(ROW_PREFIX):
            return False
        fingerprint = row.key.removeprefix(ROW_PREFIX)
        if row.body is None:
            self._stored_fingerprints.discard(fingerprint)
            if self.suspects.lift(fingerprint, self._clock.now_ms()):
                self._log_lifted(fingerprint, "its row was removed")
            return True
        self._stored_fingerprints.add(fingerprint)
        fields = read(row.body, QuarantineRow)
        if isinstance(fields, str):
            log(_LOGGER, events.UnusableRow(row=row.key, cause=fields))
            return True
        lives = tuple(map(ServerLife, fields.lives))
        self._quarantine(QuarantinedRequest(fingerprint, lives, fields.source))
        return True

    def run(self) -> None:
        """Update the store's rows at regular intervals, forever."""
        while True:
            self._tasks.sleep(STORE_SYNC_INTERVAL_MS)
            self.sync_rows()

    def sync_rows(self) -> None:
        """Write the rows of requests that this node has helped to find, and remove lifted ones."""
        for fingerprint in self.suspects.lift_expired(self._clock.now_ms()):
            self._log_lifted(fingerprint, "expired")
            self._fingerprints_to_remove.add(fingerprint)
        for fingerprint in list(self._fingerprints_to_remove):
            transaction = Transaction(new_id("op"), {}, {}, (ROW_PREFIX + fingerprint,))
            if isinstance(self._table.commit(transaction), Committed):
                self._fingerprints_to_remove.discard(fingerprint)
        for request in self.suspects.quarantined():
            is_stored = request.fingerprint in self._stored_fingerprints
            if (
                not is_stored
                and request.lives
                and self.suspects.has_seen_crash(request.fingerprint)
            ):
                self._write_row(request)

    def _write_row(self, request: QuarantinedRequest) -> None:
        key = ROW_PREFIX + request.fingerprint
        value = {
            "fingerprint": request.fingerprint,
            "lives": list(request.lives),
            "source": request.source,
        }
        result = self._table.commit(Transaction(new_id("op"), {key: 0}, {key: value}))
        if isinstance(result, Committed | Conflict):
            self._stored_fingerprints.add(request.fingerprint)

    def _handle_quarantined(self, requests: list[QuarantinedRequest]) -> None:
        for request in requests:
            self._log_quarantined(request)
        if requests:
            self._on_quarantined()

    def _quarantine(self, request: QuarantinedRequest) -> None:
        if self.suspects.quarantine(request, self._clock.now_ms()):
            self._log_quarantined(request)

    def _log_quarantined(self, request: QuarantinedRequest) -> None:
        servers = ",".join(request.lives) or None
        log(
            _LOGGER,
            events.RequestQuarantined(
                fingerprint=request.fingerprint, servers=servers, source=request.source
            ),
        )

    def _log_lifted(self, fingerprint: str, cause: str) -> None:
        log(_LOGGER, events.QuarantineLifted(fingerprint=fingerprint, cause=cause))
