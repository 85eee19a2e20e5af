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
from .crash_probe import CrashProbe
from .models import QuarantinedRequest, ServerCrash, Turn
from .suspects import Suspects

_LOGGER = logging.getLogger(__name__)
ROW_PREFIX: Final = "quarantine/"
MAX_ANNOUNCED_CRASH_AGE_MS: Final = 10_000
MAX_ANNOUNCED_CRASHES: Final = 64
"""Of what this node has seen lately, so much goes with each report."""

MAX_ANNOUNCED_QUARANTINED: Final = 32
STORE_SYNC_INTERVAL_MS: Final = 500


MAX_TURN_WAIT_MS: Final = 1_000
"""How long a suspect waits for the others."""


class QuarantineRow(Struct):
    """The value of a quarantined request's row."""

    fingerprint: str
    lives: list[str]
    source: str


class QuarantineManager:
    """Finds the requests to blame together with the other nodes, and remembers them in the store.

    :param on_news: called when this node finds one: all others must know at once.
    """

    def __init__(
        self,
        name: str,
        crash_probe: CrashProbe,
        table: Table,
        tasks: Tasks,
        clock: Clock,
        on_quarantined: Callable[[], None],
    ) -> None:
        self.suspects = Suspects(name)
        self._crash_probe = crash_probe
        self._table = table
        self._tasks = tasks
        self._clock = clock
        self._on_quarantined = on_quarantined
        self._stored_fingerprints: set[str] = set()
        self._fingerprints_to_remove: set[str] = set()
        self._turn = BoundedSemaphore(1)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether a request must reach no server."""
        return self.suspects.is_quarantined(fingerprint)

    def acquire_turn(self, fingerprint: str, timeout_ms: int) -> Turn:
        """Wait until a request may be sent; ``Turn.LOST``: it is not soon enough.

        Suspects go one after the other, each when the one before has ended: joined by the culprit
        while it is still being answered, a bystander would be on a third server that ends.
        """
        if not self.suspects.must_run_alone(fingerprint):
            return Turn.NOT_NEEDED
        wait_s = min(timeout_ms, MAX_TURN_WAIT_MS) / 1000
        return Turn.ACQUIRED if self._turn.acquire(timeout=wait_s) else Turn.TIMED_OUT

    def release_turn(self) -> None:
        """Let the next suspect go."""
        self._turn.release()

    def record_broken_connection(self, fingerprint: str, life: ServerLife, address: str) -> None:
        """Take that a server's connection broke while it had a request, and look whether it ended.

        Looked at before the request is tried again: it would end the next server meanwhile.
        """
        self._handle_quarantined(
            self.suspects.record_broken_connection(fingerprint, life, self._clock.now_ms())
        )
        if self._crash_probe.has_crashed(life, address):
            self.record_server_crash(life)

    def record_server_crash(self, life: ServerLife) -> None:
        """Take that a server's port refuses connections."""
        now_ms = self._clock.now_ms()
        had = self.suspects.broken_requests_at(life)
        if had:
            log(_LOGGER, events.ServerEnded(server=life, had=len(had), requests=",".join(had)))
        self._handle_quarantined(self.suspects.record_server_crash(life, now_ms))

    def record_completed(self, fingerprint: str) -> None:
        """Take that a server has answered a request whole."""
        if self.suspects.record_completed(fingerprint, self._clock.now_ms()):
            self._log_lifted(fingerprint, "answered whole")
            self._fingerprints_to_remove.add(fingerprint)

    def own_crashes(self) -> tuple[ServerCrash, ...]:
        """Return what this node tells the others of what it has seen."""
        return self.suspects.own_crashes(
            self._clock.now_ms(), MAX_ANNOUNCED_CRASH_AGE_MS, MAX_ANNOUNCED_CRASHES
        )

    def announced_quarantined(self) -> tuple[str, ...]:
        """Return the quarantined requests that this node tells the others."""
        return tuple(
            one.fingerprint for one in self.suspects.quarantined(MAX_ANNOUNCED_QUARANTINED)
        )

    def apply_announced(
        self, source: str, crashes: Iterable[ServerCrash], quarantined: Iterable[str]
    ) -> None:
        """Take what another node tells."""
        now_ms = self._clock.now_ms()
        found = [self.suspects.record_crash(ending, now_ms, source) for ending in crashes]
        self._handle_quarantined([one for one in found if one is not None])
        for fingerprint in quarantined:
            self._quarantine(QuarantinedRequest(fingerprint, (), source))

    def apply_row(self, row: ChangedRow) -> bool:
        """Take a changed row of the store; return whether it is one of a quarantine."""
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
        """Keep the store's rows as they should be, for good."""
        while True:
            self._tasks.sleep(STORE_SYNC_INTERVAL_MS)
            self.sync_rows()

    def sync_rows(self) -> None:
        """Write what this node has found, and remove what is quarantined no more."""
        for fingerprint in self.suspects.lift_expired(self._clock.now_ms()):
            self._log_lifted(fingerprint, "its time is over")
            self._fingerprints_to_remove.add(fingerprint)
        for fingerprint in list(self._fingerprints_to_remove):
            transaction = Transaction(new_id("op"), {}, {}, (ROW_PREFIX + fingerprint,))
            if isinstance(self._table.commit(transaction), Committed):
                self._fingerprints_to_remove.discard(fingerprint)
        for one in self.suspects.quarantined():
            known = one.fingerprint in self._stored_fingerprints
            if not known and one.lives and self.suspects.has_seen_crash(one.fingerprint):
                self._write_row(one)

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
        for one in requests:
            self._log_quarantined(one)
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
