"""Data of the table service and tagged outcomes of its calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias

import attrs


@attrs.frozen(slots=True)
class Row:
    """A row as read.

    :param version: rises with every write of the row and is never used again.
    """

    key: str
    version: int
    value: dict[str, Any]


@attrs.frozen(slots=True)
class Transaction:
    """Writes that take effect together, or not at all.

    :param operation_id: written into each row, so that an unclear answer can be settled.
    :param conditions: row versions that must still be current (0: the row must not exist).
    """

    operation_id: str
    conditions: dict[str, int]
    puts: dict[str, dict[str, Any]]
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    :param version: what the written rows' versions are now.
    """

    version: int = 0


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The service gave no answer.

    :param ambiguous: whether a write may have taken effect, or may still do so.
    """

    reason: str
    ambiguous: bool = False


CommitResult: TypeAlias = Committed | Conflict | Unavailable


class Table(Protocol):
    """The transactional table service."""

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row; ``None`` means that the service said there is none."""

    def scan(self, prefix: str, after: str = "") -> list[Row] | Unavailable:
        """Return the rows under a prefix in key order, those after a key only."""

    def commit(self, transaction: Transaction) -> CommitResult:
        """Write a transaction and settle an unclear answer."""


class RawTable(Protocol):
    """The table service as its protocol gives it: a commit may end unclear."""

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row; ``None`` means that the service said there is none."""

    def scan(self, prefix: str, after: str = "") -> list[Row] | Unavailable:
        """Return the rows under a prefix in key order, those after a key only."""

    def commit_once(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once."""


class ObjectStore(Protocol):
    """The object store."""

    def put(self, key: str, body: bytes) -> bool:
        """Store an object; ``False`` when it is not certain to be stored."""

    def get(self, key: str) -> bytes | None | Unavailable:
        """Return an object; ``None`` means that the store said there is none."""


@attrs.frozen(slots=True)
class ChangedRow:
    """A row that changed.

    :param body: the row's bytes as stored; ``None`` when it was removed.
    """

    key: str
    version: int
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed, in order.

    :param version: of the whole table service; the next question goes on after it.
    """

    rows: tuple[ChangedRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The service no longer knows what changed since then; everything must be read again."""


class ChangeFeed(Protocol):
    """Tells what changes in a collection of rows."""

    def read_all(self, collection: str) -> Changes | Unavailable:
        """Return all rows of one moment."""

    def changes(
        self, collection: str, after: int, wait_ms: int, answer_timeout_ms: int
    ) -> Changes | HistoryLost | Unavailable:
        """Return what changed after a version, as soon as there is something.

        :param answer_timeout_ms: how much longer than it may wait for changes the answer may take.
        """

    def cancel_request(self) -> None:
        """Give the question in progress up; it ends as if it had got no answer."""
