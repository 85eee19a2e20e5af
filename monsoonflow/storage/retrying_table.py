"""Settles unclear answers of the table service."""

from __future__ import annotations

import logging

from ..core.tasks import Tasks
from ..logs import events, log
from .const import COMMIT_RETRY_PAUSE_MS, MAX_COMMIT_ATTEMPTS
from .models import (
    CommitResult,
    Committed,
    Conflict,
    RawTable,
    Row,
    Transaction,
    Unavailable,
)

_LOGGER = logging.getLogger(__name__)


class RetryingTable:
    """A table whose commits are sent again, a bounded number of times, until they are clear."""

    def __init__(self, raw: RawTable, tasks: Tasks) -> None:
        self._raw = raw
        self._tasks = tasks

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row; ``None`` means that the service said there is none."""
        return self._raw.get(key)

    def scan(self, prefix: str, after: str = "") -> list[Row] | Unavailable:
        """Return the rows under a prefix in key order, those after a key only."""
        return self._raw.scan(prefix, after)

    def commit(self, transaction: Transaction) -> CommitResult:
        """Write a transaction and settle an unclear answer.

        An answer can be lost after the effect. The same conditional transaction is sent again: at
        most one sending can take effect, since the first changes the versions that the others are
        bound to. A conflict after an unclear try is settled by the operation id in the row.
        """
        unclear = False
        for _ in range(MAX_COMMIT_ATTEMPTS):
            result = self._raw.commit_once(transaction)
            match result:
                case Committed():
                    return result
                case Conflict():
                    return self._resolve_conflict(transaction) if unclear else result
                case Unavailable(ambiguous=ambiguous):
                    unclear = unclear or ambiguous
            self._tasks.sleep(COMMIT_RETRY_PAUSE_MS)
        log(_LOGGER, events.CommitUnclear(operation=transaction.operation_id))
        return Unavailable("no answer", ambiguous=unclear)

    def _resolve_conflict(self, transaction: Transaction) -> CommitResult:
        for key in transaction.puts:
            row = self.get(key)
            if isinstance(row, Unavailable):
                return Unavailable(row.reason, ambiguous=True)
            if row is not None and row.value.get("op") == transaction.operation_id:
                return Committed(row.version)
        return Conflict()
