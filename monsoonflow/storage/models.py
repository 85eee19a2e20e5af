"""Interfaces and data of the table service and object store, and the results of their calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias

import attrs


@attrs.frozen(slots=True)
class Row:
    """A row that was read.

    :param version: increases with every write of the row and is never reused, not even by a
        service that has lost the row.
    """

    key: str
    version: int
    value: dict[str, Any]


@attrs.frozen(slots=True)
class Transaction:
    """Writes that take effect together, or not at all.

    :param operation_id: written into each row, so that an ambiguous result can be resolved.
    :param conditions: row versions that must still be current (0: the row must not exist).
    """

    operation_id: str
    conditions: dict[str, int]
    puts: dict[str, dict[str, Any]]
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    :param version: version of the written rows after the commit.
    """

    version: int = 0


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The service did not answer, or not with a usable result.

    :param ambiguous: whether a write may have taken effect, or may still take effect.
    """

    reason: str
    ambiguous: bool = False


@dataclass(frozen=True, slots=True)
class Outdated:
    """The service has lost rows since the versions of the conditions were read.

    They may name other rows now. The transaction may have taken effect nevertheless.
    """


CommitResult: TypeAlias = Committed | Conflict | Unavailable | Outdated


class Table(Protocol):
    """The transactional table service."""

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row; ``None`` if the service answered that it does not exist."""

    def scan(self, prefix: str, after: str = "") -> list[Row] | Unavailable:
        """Return the rows with a key prefix in key order, only those after ``after``."""

    def commit(self, transaction: Transaction) -> CommitResult:
        """Write a transaction; retry and resolve an ambiguous result."""

    def era(self) -> int:
        """Return the era of the service, which rises when it loses rows; 0: it states none."""


class RawTable(Protocol):
    """The table service without retries: the result of a commit may be ambiguous."""

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row; ``None`` if the service answered that it does not exist."""

    def scan(self, prefix: str, after: str = "") -> list[Row] | Unavailable:
        """Return the rows with a key prefix in key order, only those after ``after``."""

    def commit_once(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once, without a retry."""

    def era(self) -> int:
        """Return the era of the service, which rises when it loses rows; 0: it states none."""


class ObjectStore(Protocol):
    """The object store."""

    def put(self, key: str, body: bytes) -> bool:
        """Store an object; ``False`` if it may not have been stored."""

    def get(self, key: str) -> bytes | None | Unavailable:
        """Return an object; ``None`` if the store answered that it does not exist."""


@attrs.frozen(slots=True)
class ChangedRow:
    """A row that changed.

    :param body: the row's bytes as stored; ``None`` if it was removed.
    """

    key: str
    version: int
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed, in order.

    :param version: version of the whole table service; the next request asks for changes after it.
    :param service_now_ms: the service's own steady clock; ``None`` if it states none.
    :param generation: rises when the service has lost rows that it had confirmed.
    """

    rows: tuple[ChangedRow, ...]
    version: int
    service_now_ms: int | None = None
    generation: int = 0


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The service no longer has the changes since that version; all rows must be read again."""

    reason: str = "history dropped"


class ChangeFeed(Protocol):
    """Reports the changes in a collection of rows."""

    def read_all(self, collection: str) -> Changes | Unavailable:
        """Return all rows as of one moment."""

    def changes(
        self, collection: str, after: int, wait_ms: int, answer_timeout_ms: int
    ) -> Changes | HistoryLost | Unavailable:
        """Return the changes after a version, as soon as there are any.

        :param wait_ms: how long the service may wait for changes before it answers.
        :param answer_timeout_ms: how long the answer may take in addition to this wait.
        """

    def cancel_request(self) -> None:
        """Cancel the request in progress, unless a part of its answer has been received.

        A cancelled request ends as if it had not been answered.
        """

    def is_receiving_changes(self) -> bool:
        """Return whether a part of an answer with changes has been received."""
