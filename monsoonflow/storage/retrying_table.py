"""Retries commits to the table service and resolves ambiguous results."""

from __future__ import annotations

import logging

from ..core.tasks import Tasks
from ..logs import events, log
from .const import COMMIT_RETRY_PAUSE_MS, MAX_COMMIT_ATTEMPTS
from .models import (
    CommitResult,
    Committed,
    Conflict,
    Outdated,
    RawTable,
    Row,
    Transaction,
    Unavailable,
)

_LOGGER = logging.getLogger(__name__)


class RetryingTable:
    """A table that retries a commit, a limited number of times, until its result is certain."""

    def __init__(self, raw: RawTable, tasks: Tasks) -> None:
        self._raw = raw
        self._tasks = tasks

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row; ``None`` if the service answered that it does not exist."""
        return self._raw.get(key)

    def scan(self, prefix: str, after: str = "") -> list[Row] | Unavailable:
        """Return the rows with a key prefix in key order, only those after ``after``."""
        return self._raw.scan(prefix, after)

    def era(self) -> int:
        """Return the era of the service, which rises when it loses rows; 0: it states none."""
        return self._raw.era()

    def commit(self, transaction: Transaction) -> CommitResult:
        """Write a transaction; retry and resolve an ambiguous result.

        An answer can be lost after the transaction took effect. The same conditional transaction
        is sent again: at most one attempt can take effect, since it changes the versions that the
        conditions of the others require. A conflict after an ambiguous attempt is resolved by the
        operation id in the row.
        """
        is_ambiguous = False
        for _ in range(MAX_COMMIT_ATTEMPTS):
            result = self._raw.commit_once(transaction)
            match result:
                case Committed() | Outdated():
                    return result
                case Conflict():
                    return self._resolve_conflict(transaction) if is_ambiguous else result
                case Unavailable(ambiguous=ambiguous):
                    is_ambiguous = is_ambiguous or ambiguous
            self._tasks.sleep(COMMIT_RETRY_PAUSE_MS)
        log(_LOGGER, events.CommitUnclear(operation=transaction.operation_id))
        return Unavailable("no answer", ambiguous=is_ambiguous)

    def _resolve_conflict(self, transaction: Transaction) -> CommitResult:
        for key in transaction.puts:
            row = self.get(key)
            if isinstance(row, Unavailable):
                return Unavailable(row.reason, ambiguous=True)
            if row is not None and row.value.get("op") == transaction.operation_id:
                return Committed(row.version)
        return Conflict()
