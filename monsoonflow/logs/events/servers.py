"""Servers that come and leave, and orders to them."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class ServerCame(Event):
    """A backend server is new."""

    server: str
    service: str
    address: str


@event
class ServerLeaves(Event):
    """A backend server gets nothing new."""

    server: str
    cause: str


@event
class ServerSilent(Event):
    """A server owes a sign of life; it gets nothing but single trials until it gives one."""

    LEVEL: ClassVar[int] = logging.WARNING
    server: str
    within_ms: int
    waiting: int
    trial_in_ms: int


@event
class ServerAnswers(Event):
    """A server that was silent has given a sign of life."""

    server: str
    missed: int


@event
class EarlierLife(Event):
    """A word of a life that began before the known one; it is left aside unless it goes on."""

    server: str
    known: str


@event
class UnusableReport(Event):
    """A runner's answer about itself can't be read; it is asked again."""

    server: str
    cause: str


@event
class AddressTaken(Event):
    """A server registered an address that another had; that one gets nothing more."""

    address: str
    server: str
    before: str


@event
class AdapterVersion(Event):
    """The operator named a version of an adapter, so long ago at the longest."""

    adapter: str
    source: str
    age_ms: int | None = None


@event
class Order(Event):
    """An order was sent to a runner."""

    server: str
    operation: str
    name: str
    version: int | None
    sequence: int
    fence: int
    answer: str
    cause: str | None = None


@event
class Seats(Event):
    """How full the runners' places are, once a second at the holder."""

    cell: str
    runners: int
    known: int
    places: int
    taken: int
    in_use: int
    loading: int
    dropping: int
    doubtful: int
    waiting: int
    oldest_ms: int
    requests: int
    unread: int
    loads: int
    cold: int
    copies: int
    fetch_limit: int = 0
    fetch_ms: int | None = None
