"""The store, and what is read there."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class Configuration(Event):
    """A configuration is in force."""

    version: int
    routes: int
    source: str


@event
class UnusablePeerConfiguration(Event):
    """A configuration from another node can't be used."""

    LEVEL: ClassVar[int] = logging.ERROR
    cause: str


@event
class UnusableRow(Event):
    """A row can't be used; what was known before stays in force."""

    LEVEL: ClassVar[int] = logging.ERROR
    row: str
    cause: str | None = None


@event
class MalformedRow(Event):
    """A row of the store is malformed and was skipped."""

    LEVEL: ClassVar[int] = logging.WARNING
    row: str
    cause: str


@event
class HistoryLost(Event):
    """The store no longer knows what changed; everything is read again."""

    collection: str


@event
class StaleRead(Event):
    """A read was older than what is known and was not taken."""

    collection: str
    version: int
    known: int


@event
class StoreLost(Event):
    """The store does not answer this node."""

    LEVEL: ClassVar[int] = logging.WARNING
    collection: str
    cause: str
    answered_ago_ms: int | None = None


@event
class StoreReturned(Event):
    """The store answers again."""

    collection: str
    after_ms: int


@event
class CommitUnclear(Event):
    """A write got no answer; it may have taken effect."""

    LEVEL: ClassVar[int] = logging.WARNING
    operation: str
