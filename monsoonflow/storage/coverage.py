"""Tells for which time the rows of a collection are known without a gap."""

from __future__ import annotations

import attrs


@attrs.define(slots=True)
class Coverage:
    """The time for which a node knows what a collection held.

    An answer contains all changes up to the moment at which its request was sent. Between two
    requests a row may have come and gone, or have changed twice: with a longer pause than
    ``max_gap_ms`` the time before is not known any more.

    :param max_gap_ms: the longest pause between two requests in which nothing that matters can
        come and go.
    :ivar first_ms: when the first request that was answered was sent; ``None``: none was.
    :ivar since_ms: since when there was no gap.
    :ivar until_ms: up to when the rows are known.
    :ivar service_offset_ms: what to add to this node's clock for that of the service; ``None`` if
        it is unknown.

    >>> coverage = Coverage(2_000)
    >>> for sent_ms in (1_000, 2_500, 4_000):
    ...     coverage.record_answer(sent_ms)
    >>> coverage.since_ms, coverage.is_current(5_000), coverage.is_current(7_000)
    (1000, True, False)
    >>> coverage.record_answer(6_500)
    >>> coverage.since_ms, coverage.has_gap()
    (6500, True)
    """

    max_gap_ms: int
    first_ms: int | None = None
    since_ms: int = 0
    until_ms: int = 0
    service_offset_ms: int | None = None

    def record_answer(self, sent_ms: int) -> None:
        """Record that a request was answered.

        :param sent_ms: when it was sent.
        """
        if self.first_ms is None:
            self.first_ms = sent_ms
            self.since_ms = sent_ms
        elif sent_ms - self.until_ms > self.max_gap_ms:
            self.since_ms = sent_ms
        self.until_ms = sent_ms

    def record_service_clock(self, service_now_ms: int | None, now_ms: int) -> None:
        """Record what the service's clock showed when an answer arrived."""
        if service_now_ms is not None:
            self.service_offset_ms = service_now_ms - now_ms

    def is_current(self, now_ms: int) -> bool:
        """Return whether the rows are known up to now, apart from an ordinary pause."""
        return self.first_ms is not None and now_ms - self.until_ms <= self.max_gap_ms

    def has_gap(self) -> bool:
        """Return whether there was a gap since the first answer."""
        return self.since_ms != self.first_ms
