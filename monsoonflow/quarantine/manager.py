"""Keeps requests that crash servers away from all servers, on all nodes and across restarts."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable
from typing import Final

import gevent
from gevent.lock import BoundedSemaphore
from msgspec import Struct

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..core.tasks import Tasks
from ..helpers.hashing import weight
from ..helpers.ids import new_id
from ..helpers.strict import read
from ..logs import events, log
from ..storage.models import ChangedRow, Committed, Conflict, Row, Table, Transaction
from .crash_probe import CrashProbe
from .models import (
    PartsCrash,
    QuarantinedRequest,
    RequestTraits,
    ServerCrash,
    SoundPart,
    Turn,
)
from .parts import HARDLY_BEGUN_MS, Findings, PartQuarantine, culprit_of
from .suspects import Suspects

_LOGGER = logging.getLogger(__name__)
ROW_PREFIX: Final = "quarantine/"
MAX_ANNOUNCED_CRASH_AGE_MS: Final = 10_000
MAX_ANNOUNCED_CRASHES: Final = 64
"""Most crashes that each heartbeat announces, the newest ones."""

MAX_ANNOUNCED_QUARANTINED: Final = 32
STORE_SYNC_INTERVAL_MS: Final = 500
DECISION_INTERVAL_MS: Final = 250
TRIAL_INTERVAL_MS: Final = 500
"""Least time between two trials of a node: the first may make others unnecessary."""

MAX_CLAIM_WAIT_MS: Final = 300
"""Longest wait of a request for the store to tell whether it is the one tried."""

MIN_REWRITE_DELAY_MS: Final = 2_000
REWRITE_DELAY_SPREAD_MS: Final = 10_000
"""When a node writes a row that the store has lost and that it has not found itself: nodes write at
different times, and read before whether another one has."""

REMOVAL_MEMORY_MS: Final = 60_000
"""How long a node knows which rows were removed: longer than the time that a store loses."""

MAX_TURN_WAIT_MS: Final = 1_000
"""How long a suspect request waits for other suspects."""


class QuarantineRow(Struct):
    """The stored row of a quarantined request, or of the parts of prompts that are quarantined."""

    fingerprint: str
    lives: list[str]
    source: str
    trials: int = 0


class QuarantineManager:
    """Finds the requests that crash servers, together with the peers, and keeps them in the store.

    A request is refused if it has crashed servers itself, or if a part of its prompt has.

    :param is_end_expected: returns whether a server that refuses connections has not crashed: it
        has announced that it shuts down, or only this node does not reach it.
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
        is_end_expected: Callable[[ServerLife], bool] = lambda _life: False,
    ) -> None:
        self._name = name
        self.suspects = Suspects(name)
        self.parts = PartQuarantine(name)
        self._crash_probe = crash_probe
        self._table = table
        self._tasks = tasks
        self._clock = clock
        self._on_quarantined = on_quarantined
        self._is_end_expected = is_end_expected
        self._version_by_stored_key: dict[str, int] = {}
        self._keys_to_remove: set[str] = set()
        self._removed_ms_by_key: dict[str, int] = {}
        self._forgotten_removals: set[str] = set()
        self._rewrite_ms_by_lost_key: dict[str, int] = {}
        self._turn = BoundedSemaphore(1)
        self._trial_claimed_ms: int | None = None
        self._claim: gevent.Greenlet | None = None

    def refusal_cause(self, traits: RequestTraits) -> str | None:
        """Return why a request must not be sent to any server; ``None`` if it may."""
        if self.suspects.is_quarantined(traits.fingerprint):
            return "servers end under this request"
        if self.parts.is_quarantined(traits.parts):
            return "servers end under a part of its prompt"
        return None

    def begin_trial(self, traits: RequestTraits) -> bool:
        """Return whether a quarantined request is sent once, to see whether it is sound now.

        The request that finds its parts due is the one that is tried: another one with a rare part
        may not come to the same node for long.
        """
        if self.suspects.is_quarantined(traits.fingerprint):
            return False
        if not self.parts.begin_trial(traits.parts):
            self._claim_trials(traits.parts)
            return self.parts.begin_trial(traits.parts)
        return True

    def _claim_trials(self, parts: tuple[str, ...]) -> None:
        """Claim the trials of parts that are due; what is claimed too late is for the next request.

        While the store does not answer, a claim lasts longer than requests may.
        """
        now_ms = self._clock.now_ms()
        claimed_ms = self._trial_claimed_ms
        if claimed_ms is not None and now_ms - claimed_ms < TRIAL_INTERVAL_MS:
            return
        if self._claim is not None and not self._claim.ready():
            return
        due = self.parts.due_for_trial(parts, now_ms)
        if due:
            self._trial_claimed_ms = now_ms
            self._claim = gevent.spawn(self._claim_each, due)
            self._claim.join(MAX_CLAIM_WAIT_MS / 1000)

    def _claim_each(self, keys: list[str]) -> None:
        for key in keys:
            self._claim_trial(key)

    def return_trial(self, traits: RequestTraits) -> None:
        """Let another request be tried, since this one has reached no server."""
        self.parts.return_trial(traits.parts)

    def known_crashes(self, traits: RequestTraits) -> dict[str, tuple[ServerLife, ...]]:
        """Return the crashes that count against the parts of a request that is sent now."""
        return self.parts.known_lives(traits.parts)

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

    def record_broken_connection(
        self,
        traits: RequestTraits,
        life: ServerLife,
        address: str,
        known_crashes: dict[str, tuple[ServerLife, ...]],
        answering_ms: int | None,
    ) -> None:
        """Record that a server's connection broke with a request, and probe for a crash.

        The result is known before the request is retried. Otherwise the request could crash the
        next server meanwhile.

        :param known_crashes: those that counted against its parts when it was sent.
        :param answering_ms: for how long the server had sent events; ``None`` if it had not begun.
        """
        now_ms = self._clock.now_ms()
        self._handle_quarantined(
            self.suspects.record_broken_connection(traits.fingerprint, life, now_ms)
        )
        if traits.parts and (answering_ms is None or answering_ms <= HARDLY_BEGUN_MS):
            self._handle_findings(
                self.parts.record_broken_connection(traits, life, known_crashes, now_ms)
            )
        if self._crash_probe.has_crashed(life, address) and not self._is_end_expected(life):
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
        self._handle_findings(self.parts.record_server_crash(life, now_ms))

    def record_completed(self, fingerprint: str) -> None:
        """Record that a server has answered a request completely."""
        if self.suspects.record_completed(fingerprint, self._clock.now_ms()):
            self._log_lifted(fingerprint, "a server answered it completely")
            self._keys_to_remove.add(fingerprint)

    def record_answering(self, traits: RequestTraits, began_ms: int) -> None:
        """Record that a server has answered a request, or has done so for a while.

        :param began_ms: when the answer began.
        """
        if traits.parts:
            self._handle_findings(
                self.parts.record_answered(traits.parts, began_ms, self._clock.now_ms())
            )

    def record_unmarked_end(
        self, traits: RequestTraits, began_ms: int, life: ServerLife, address: str
    ) -> None:
        """Record that an answer ended with its connection, which a crash would have ended too."""
        is_suspect = any(self.parts.known_lives(traits.parts).values())
        if not is_suspect or not self._crash_probe.has_crashed(life, address):
            self.record_answering(traits, began_ms)

    def own_crashes(self) -> tuple[ServerCrash, ...]:
        """Return the recent crashes seen by this node, which it announces to its peers."""
        return self.suspects.own_crashes(
            self._clock.now_ms(), MAX_ANNOUNCED_CRASH_AGE_MS, MAX_ANNOUNCED_CRASHES
        )

    def own_parts_crashes(self) -> tuple[PartsCrash, ...]:
        """Return the recent crashes that may be due to parts of prompts, seen by this node."""
        return self.parts.own_crashes(self._clock.now_ms())

    def own_sound_parts(self) -> tuple[SoundPart, ...]:
        """Return the suspect parts whose requests were recently answered at this node."""
        return self.parts.own_sound_parts(self._clock.now_ms())

    def announced_quarantined(self) -> tuple[str, ...]:
        """Return the quarantined requests and parts that this node announces to its peers."""
        requests = [
            *self.parts.quarantined()[-MAX_ANNOUNCED_QUARANTINED:],
            *self.suspects.quarantined(MAX_ANNOUNCED_QUARANTINED),
        ]
        return tuple(request.fingerprint for request in requests)

    def apply_announced(
        self,
        source: str,
        crashes: Iterable[ServerCrash],
        quarantined: Iterable[str],
        parts_crashes: Collection[PartsCrash] = (),
        sound_parts: Collection[SoundPart] = (),
    ) -> None:
        """Apply the crashes and quarantined requests that a peer announces."""
        now_ms = self._clock.now_ms()
        if parts_crashes or sound_parts:
            self._handle_findings(self.parts.apply_announced(parts_crashes, sound_parts, now_ms))
        results = [self.suspects.record_crash(crash, now_ms, source) for crash in crashes]
        self._handle_quarantined([request for request in results if request is not None])
        for fingerprint in quarantined:
            self._quarantine(QuarantinedRequest(fingerprint, (), source))

    def handle_rows_lost(self) -> None:
        """Handle that the store has lost rows; those that it still has are applied next.

        Rows that this node has found are written again at once. Others are written by whoever
        knows them, in case the node that has found them is gone.
        """
        now_ms = self._clock.now_ms()
        for key in self._version_by_stored_key:
            delay_ms = MIN_REWRITE_DELAY_MS + weight(self._name, key) % REWRITE_DELAY_SPREAD_MS
            self._rewrite_ms_by_lost_key[key] = now_ms + delay_ms
        self._version_by_stored_key.clear()
        self._forgotten_removals = set(self._removed_ms_by_key)

    def apply_row(self, row: ChangedRow) -> bool:
        """Apply a changed row of the store; return whether it belongs to the quarantine."""
        if not row.key.startswith(ROW_PREFIX):
            return False
        key = row.key.removeprefix(ROW_PREFIX)
        now_ms = self._clock.now_ms()
        if row.body is None:
            self._version_by_stored_key.pop(key, None)
            self._removed_ms_by_key[key] = now_ms
            is_part = culprit_of(key) is not None
            table = self.parts if is_part else self.suspects
            if table.lift(key, now_ms):
                self._log_lifted(key, "its row was removed")
            return True
        is_changed = self._version_by_stored_key.get(key) != row.version
        self._version_by_stored_key[key] = row.version
        self._rewrite_ms_by_lost_key.pop(key, None)
        was_removed = key in self._forgotten_removals
        self._forgotten_removals.discard(key)
        if was_removed or self.parts.is_disproved(key, now_ms):
            # The store has forgotten that it was removed, or the node that wrote it has ended
            # before it came to the same conclusion.
            self._keys_to_remove.add(key)
            return True
        fields = read(row.body, QuarantineRow)
        if isinstance(fields, str):
            log(_LOGGER, events.UnusableRow(row=row.key, cause=fields))
            return True
        lives = tuple(map(ServerLife, fields.lives))
        self._quarantine(QuarantinedRequest(key, lives, fields.source))
        if is_changed and fields.trials > self.parts.trials(key):
            # Another node tries a request: this one waits for its result.
            self.parts.record_trial(key, fields.trials, is_own=False, now_ms=now_ms)
        return True

    def run_decisions(self) -> None:
        """Decide about parts whose requests had no time to be answered before, forever."""
        while True:
            self._tasks.sleep(DECISION_INTERVAL_MS)
            self._handle_findings(self.parts.reconsider(self._clock.now_ms()))

    def run(self) -> None:
        """Update the store's rows at regular intervals, forever."""
        while True:
            self._tasks.sleep(STORE_SYNC_INTERVAL_MS)
            self.sync_rows()

    def sync_rows(self) -> None:
        """Write the rows of requests that this node has helped to find, and remove lifted ones."""
        now_ms = self._clock.now_ms()
        # By now the rows of the copy have been applied: one that comes later is new.
        self._forgotten_removals.clear()
        for fingerprint in self.suspects.lift_expired(now_ms):
            self._log_lifted(fingerprint, "expired")
            self._keys_to_remove.add(fingerprint)
        self.parts.forget_old(now_ms)
        # What was found again in the meantime keeps its row.
        self._keys_to_remove -= {request.fingerprint for request in self.parts.quarantined()}
        for key in list(self._keys_to_remove):
            transaction = Transaction(new_id("op"), {}, {}, (ROW_PREFIX + key,))
            if isinstance(self._table.commit(transaction), Committed):
                self._keys_to_remove.discard(key)
                self._removed_ms_by_key[key] = now_ms
        self._removed_ms_by_key = {
            key: at_ms
            for key, at_ms in self._removed_ms_by_key.items()
            if now_ms - at_ms <= REMOVAL_MEMORY_MS
        }
        self._write_missing_rows(now_ms)

    def _write_missing_rows(self, now_ms: int) -> None:
        found_here = [
            request
            for request in self.suspects.quarantined()
            if request.lives and self.suspects.has_seen_crash(request.fingerprint)
        ]
        found_here += [
            request
            for request in self.parts.quarantined()
            if self.parts.has_seen_crash(request.fingerprint)
        ]
        for request in (*found_here, *self._pop_due_rewrites(now_ms)):
            if request.fingerprint not in self._version_by_stored_key:
                self._write_row(request)

    def _pop_due_rewrites(self, now_ms: int) -> list[QuarantinedRequest]:
        """Return what is still quarantined and has a row that was lost and must be written now."""
        due_keys = {key for key, at_ms in self._rewrite_ms_by_lost_key.items() if now_ms >= at_ms}
        if not due_keys:
            return []
        for key in due_keys:
            del self._rewrite_ms_by_lost_key[key]
        quarantined = (*self.suspects.quarantined(), *self.parts.quarantined())
        return [request for request in quarantined if request.fingerprint in due_keys]

    def _write_row(self, request: QuarantinedRequest) -> None:
        key = ROW_PREFIX + request.fingerprint
        value = {
            "fingerprint": request.fingerprint,
            "lives": list(request.lives),
            "source": request.source,
        }
        if trials := self.parts.trials(request.fingerprint):
            value["trials"] = trials
        result = self._table.commit(Transaction(new_id("op"), {key: 0}, {key: value}))
        if isinstance(result, Committed):
            self._version_by_stored_key[request.fingerprint] = result.version
        elif isinstance(result, Conflict):
            self._version_by_stored_key.setdefault(request.fingerprint, 0)

    def _claim_trial(self, key: str) -> None:
        """Try one request with parts that have been refused for long, unless a peer does.

        If all nodes let requests through again, as many servers as nodes could crash.
        """
        row = self._table.get(ROW_PREFIX + key)
        if not isinstance(row, Row):
            return
        begun = int(row.value.get("trials") or 0)
        if begun > self.parts.trials(key):
            # The news that a peer has begun one is still on its way.
            self.parts.record_trial(key, begun, is_own=False, now_ms=self._clock.now_ms())
            return
        trials = self.parts.trials(key) + 1
        value = {**row.value, "trials": trials}
        transaction = Transaction(new_id("op"), {row.key: row.version}, {row.key: value})
        result = self._table.commit(transaction)
        if isinstance(result, Committed):
            self._version_by_stored_key[key] = result.version
        is_own = isinstance(result, Committed)
        self.parts.record_trial(key, trials, is_own, self._clock.now_ms())

    def _handle_findings(self, findings: Findings) -> None:
        """Log what has changed in the quarantine of parts, and have it announced."""
        for key in findings.lifted:
            self._log_lifted(
                key, "requests with it are answered, or other parts explain its crashes"
            )
        self._keys_to_remove.update(
            key
            for key in (*findings.lifted, *findings.replaced)
            if key in self._version_by_stored_key
        )
        for request in findings.quarantined:
            self._log_quarantined(request)
            self._excuse_bystanders(request.lives)
        if findings.quarantined or findings.is_urgent:
            self._on_quarantined()

    def _excuse_bystanders(self, lives: Iterable[ServerLife]) -> None:
        """Allow requests again that were only at crashes which a part of prompts has caused."""
        for fingerprint in self.suspects.excuse(lives, self._clock.now_ms()):
            self._log_lifted(fingerprint, "a part of prompts explains the crashes")
            self._keys_to_remove.add(fingerprint)

    def _handle_quarantined(self, requests: list[QuarantinedRequest]) -> None:
        for request in requests:
            self._log_quarantined(request)
        if requests:
            self._on_quarantined()

    def _quarantine(self, request: QuarantinedRequest) -> None:
        now_ms = self._clock.now_ms()
        if culprit_of(request.fingerprint) is None:
            is_new = self.suspects.quarantine(request, now_ms)
        else:
            is_new = self.parts.quarantine(
                request.fingerprint, request.lives, request.source, now_ms
            )
            if is_new:
                self._excuse_bystanders(request.lives)
        if is_new:
            self._log_quarantined(request)

    def _log_quarantined(self, request: QuarantinedRequest) -> None:
        servers = ",".join(request.lives) or None
        log(
            _LOGGER,
            events.RequestQuarantined(
                fingerprint=request.fingerprint, servers=servers, source=request.source
            ),
        )

    def _log_lifted(self, key: str, cause: str) -> None:
        log(_LOGGER, events.QuarantineLifted(fingerprint=key, cause=cause))
