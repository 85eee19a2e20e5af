"""Runs tasks as gevent greenlets."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.event import Event


class GeventFlag:
    """A flag over a gevent event."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = Event()

    def set(self) -> None:
        """Raise the flag and wake all that wait."""
        self._event.set()

    def clear(self) -> None:
        """Lower the flag."""
        self._event.clear()

    def wait(self, timeout_ms: int | None = None) -> bool:
        """Wait until the flag is raised; return whether it is."""
        return self._event.wait(None if timeout_ms is None else timeout_ms / 1000)


class GeventTasks:
    """Runs tasks as greenlets of the current hub."""

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> gevent.Greenlet:
        """Start a task."""
        return gevent.spawn(function, *arguments)

    def sleep(self, wait_ms: float) -> None:
        """Let a time pass."""
        gevent.sleep(wait_ms / 1000)

    def flag(self) -> GeventFlag:
        """Return a new, lowered flag."""
        return GeventFlag()

    def join(self, tasks: Iterable[Any], timeout_ms: int) -> None:
        """Wait until tasks have ended, at most so long."""
        gevent.joinall(list(tasks), timeout=timeout_ms / 1000)
