"""Adapts the timeout for an answer to the speed of previous answers."""

from __future__ import annotations


class AnswerTimeout:
    """A timeout that doubles when no answer arrives and halves when answers are fast.

    It is short at first, so that a request that will never be answered times out before its
    changes are late. If it stayed short, no answer of a store that has become slow would ever be
    received.

    :param min_ms: timeout while answers are fast.
    :param max_ms: upper limit, however many answers have been missed.

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
        """Double the timeout, since an answer did not arrive in time."""
        self.timeout_ms = min(self._max_ms, self.timeout_ms * 2)

    def record_answer(self, duration_ms: int) -> None:
        """Halve the timeout, unless the answer took more than half of it."""
        if duration_ms <= self.timeout_ms // 2:
            self.timeout_ms = max(self._min_ms, self.timeout_ms // 2)
