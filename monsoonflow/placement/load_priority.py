"""Prioritizes loads so that new customers' loads take a limited share while others wait."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, Protocol, TypeVar

BACKGROUND_EVERY: Final = 4
"""While other loads wait, at most one load in this many is a background load."""


class LoadRequest(Protocol):
    """A load that is requested.

    ``background`` tells whether it is for a customer that is being brought into service.
    """

    background: bool

    def urgency(self) -> tuple:
        """Return the sort key among requests of the same kind, most urgent last."""


LoadRequestT = TypeVar("LoadRequestT", bound=LoadRequest)


class LoadPrioritizer:
    """Picks the next load: a background load only in its turn, or when no other is requested.

    Bringing a customer group of a thousand adapters into service requests a thousand loads at once.
    Ranked by waiting cost alone, they would soon outweigh all other loads, and customers already in
    service would wait behind them for minutes.
    """

    def __init__(self, background_every: int = BACKGROUND_EVERY) -> None:
        self._background_every = background_every
        self._grants_since_background = 0

    def pick(self, requests: Iterable[LoadRequestT]) -> LoadRequestT | None:
        """Return the request to grant next, if there is one, without recording a grant."""
        listed = list(requests)
        foreground = [request for request in listed if not request.background]
        background = [request for request in listed if request.background]
        is_background_turn = self._grants_since_background >= self._background_every - 1
        first, second = (background, foreground) if is_background_turn else (foreground, background)
        return max(first or second, key=lambda request: request.urgency(), default=None)

    def record_grant(self, request: LoadRequest) -> None:
        """Record that a request was granted."""
        self._grants_since_background = (
            0 if request.background else self._grants_since_background + 1
        )
