"""Decides how long an answer is waited for, by how fast answers have come."""

from __future__ import annotations


class AnswerTimeout:
    """Grows while answers stay out and shrinks when they come soon.

    Short from the start, a question that nobody will ever answer is given up before its news is
    late. Kept short, a store that has become slow would never be heard again.

    :param min_ms: while answers come at once.
    :param max_ms: however long answers have stayed out.

    >>> answer_timeout = AnswerTimeout(300, 1_000)
    >>> for _ in range(3):
    ...     answer_timeout.record_timeout()
    >>> answer_timeout.timeout_ms
    1000
    >>> answer_timeout.record_answer(600)
    >>> answer_timeout.timeout_ms
    1000
    >>> answer_timeout.record_answer(40)
    >>> answer_timeout.timeout_ms
    500
    """

    def __init__(self, min_ms: int, max_ms: int) -> None:
        self._min_ms = min_ms
        self._max_ms = max_ms
        self.timeout_ms = min_ms

    def record_timeout(self) -> None:
        """Take that an answer did not come in time."""
        self.timeout_ms = min(self._max_ms, self.timeout_ms * 2)

    def record_answer(self, took_ms: int) -> None:
        """Take how long an answer took; one that needed more than half keeps the patience."""
        if took_ms <= self.timeout_ms // 2:
            self.timeout_ms = max(self._min_ms, self.timeout_ms // 2)
