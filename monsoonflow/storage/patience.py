"""Decides how long an answer is waited for, by how fast answers have come."""

from __future__ import annotations


class Patience:
    """Grows while answers stay out and shrinks when they come soon.

    Short from the start, a question that nobody will ever answer is given up before its news is
    late. Kept short, a store that has become slow would never be heard again.

    :param least_ms: while answers come at once.
    :param most_ms: however long answers have stayed out.

    >>> patience = Patience(300, 1_000)
    >>> for _ in range(3):
    ...     patience.unanswered()
    >>> patience.ms
    1000
    >>> patience.answered(600)
    >>> patience.ms
    1000
    >>> patience.answered(40)
    >>> patience.ms
    500
    """

    def __init__(self, least_ms: int, most_ms: int) -> None:
        self._least_ms = least_ms
        self._most_ms = most_ms
        self.ms = least_ms

    def unanswered(self) -> None:
        """Take that an answer did not come in time."""
        self.ms = min(self._most_ms, self.ms * 2)

    def answered(self, took_ms: int) -> None:
        """Take how long an answer took; one that needed more than half keeps the patience."""
        if took_ms <= self.ms // 2:
            self.ms = max(self._least_ms, self.ms // 2)
