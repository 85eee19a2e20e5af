"""States what the product needs of cooperative tasks, so that virtual time can stand in."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol


class Flag(Protocol):
    """A flag that tasks wait for."""

    def set(self) -> None:
        """Raise the flag and wake all that wait."""

    def clear(self) -> None:
        """Lower the flag."""

    def wait(self, timeout_ms: int | None = None) -> bool:
        """Wait until the flag is raised; return whether it is."""


class Tasks(Protocol):
    """Runs tasks that give way to each other only where they wait."""

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Start a task."""

    def sleep(self, wait_ms: float) -> None:
        """Let a time pass."""

    def flag(self) -> Flag:
        """Return a new, lowered flag."""

    def join(self, tasks: Iterable[Any], timeout_ms: int) -> None:
        """Wait until tasks have ended, at most so long."""
