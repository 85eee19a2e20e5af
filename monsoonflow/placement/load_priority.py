"""Orders loads so that newcomers' loads take a bounded share while others wait."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, Protocol, TypeVar

BACKGROUND_EVERY: Final = 4
"""Of so many loads, one at most is a newcomer's while others wait."""


class LoadRequest(Protocol):
    """A load that is wanted."""

    background: bool

    def urgency(self) -> tuple:
        """Return the sort key among wishes of the same kind."""


LoadRequestT = TypeVar("LoadRequestT", bound=LoadRequest)


class LoadPrioritizer:
    """Picks the next load; a newcomer's only in its turn, or when nothing else is wanted.

    A customer group of a thousand adapters that is brought in wants a thousand loads at once. By
    waiting cost alone they would soon outweigh everything else, and customers already in service
    would wait behind them for minutes.
    """

    def __init__(self, background_every: int = BACKGROUND_EVERY) -> None:
        self._every = background_every
        self._since_background = 0

    def pick(self, wishes: Iterable[LoadRequestT]) -> LoadRequestT | None:
        """Return the wish to grant next, if there is one; changes nothing."""
        listed = list(wishes)
        foreground = [wish for wish in listed if not wish.background]
        background = [wish for wish in listed if wish.background]
        turn = self._since_background >= self._every - 1
        first, second = (background, foreground) if turn else (foreground, background)
        return max(first or second, key=lambda wish: wish.urgency(), default=None)

    def record_grant(self, wish: LoadRequest) -> None:
        """Note that a wish was granted."""
        self._since_background = 0 if wish.background else self._since_background + 1
