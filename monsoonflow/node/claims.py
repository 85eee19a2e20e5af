"""Claims idempotency keys in the table service, many keys in one transaction."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TypeAlias

import attrs

from ..core.tasks import Flag, Tasks
from ..helpers.ids import new_id
from ..storage.models import Committed, Row, Table, Transaction, Unavailable

KEY_PREFIX = "key/"
GATHER_MS = 5
MAX_PER_COMMIT = 100


@dataclass(frozen=True, slots=True)
class NewClaim:
    """The key is now this process's."""


@dataclass(frozen=True, slots=True)
class ClaimedBy:
    """The key was claimed before."""

    home: str


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The table service gave no clear answer; nothing may run for the key here."""

    reason: str


ClaimResult: TypeAlias = NewClaim | ClaimedBy | ClaimFailed


@attrs.define(slots=True)
class _Wanted:
    row_key: str
    home: str
    settled: Flag
    result: ClaimResult | None = None

    def settle(self, result: ClaimResult) -> None:
        """Hand the result to the one who waits."""
        self.result = result
        self.settled.set()


class Claims:
    """Writes one row per key, conditional on its absence.

    A claim whose answer was lost is settled by the table client, which reads the operation id back;
    where even that fails, the request is refused as not run: nothing has been offered yet, and the
    caller's next try finds the row and is sent to its home.
    """

    def __init__(self, table: Table, tasks: Tasks) -> None:
        self._table = table
        self._tasks = tasks
        self._wanted: list[_Wanted] = []
        self._busy = False

    def claim(self, customer: str, key: str, home: str) -> ClaimResult:
        """Claim a key for a process."""
        digest = hashlib.sha256(f"{customer}\x00{key}".encode()).hexdigest()
        wanted = _Wanted(f"{KEY_PREFIX}{digest}", home, self._tasks.flag())
        self._wanted.append(wanted)
        if not self._busy:
            self._busy = True
            self._tasks.spawn(self._work)
        wanted.settled.wait()
        assert wanted.result is not None
        return wanted.result

    def _work(self) -> None:
        self._tasks.sleep(GATHER_MS)
        while self._wanted:
            batch, self._wanted = self._wanted[:MAX_PER_COMMIT], self._wanted[MAX_PER_COMMIT:]
            self._commit(batch)
        self._busy = False

    def _commit(self, batch: list[_Wanted]) -> None:
        by_key: dict[str, _Wanted] = {}
        for wanted in batch:
            if wanted.row_key in by_key:
                self._wanted.append(wanted)
            else:
                by_key[wanted.row_key] = wanted
        puts = {row_key: {"home": wanted.home} for row_key, wanted in by_key.items()}
        conditions = dict.fromkeys(by_key, 0)
        result = self._table.commit(Transaction(new_id("op"), conditions, puts))
        if isinstance(result, Committed):
            for wanted in by_key.values():
                wanted.settle(NewClaim())
            return
        if len(by_key) > 1 and not isinstance(result, Unavailable):
            for wanted in by_key.values():
                self._commit([wanted])
            return
        for wanted in by_key.values():
            wanted.settle(self._read(wanted))

    def _read(self, wanted: _Wanted) -> ClaimResult:
        row = self._table.get(wanted.row_key)
        if isinstance(row, Row):
            return ClaimedBy(row.value["home"])
        reason = row.reason if isinstance(row, Unavailable) else "the claim did not take effect"
        return ClaimFailed(f"the key can't be claimed now: {reason}")
