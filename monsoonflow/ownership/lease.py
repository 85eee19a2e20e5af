"""The lease of a node as seen by its holder and by claim candidates.

Neither side compares wall clocks; each uses only its own monotonic clock.
"""

from __future__ import annotations

from .const import MAX_OUTAGE_MS
from .models import LeaseTiming


class HeldLease:
    """Tells a holder whether its lease is still valid, by its own monotonic clock.

    Validity counts from *before* a renewal was sent. The table can only have applied the renewal
    later, so the time of each claim candidate starts later than the holder's.
    """

    def __init__(self, timing: LeaseTiming, max_outage_ms: int = MAX_OUTAGE_MS) -> None:
        self._timing = timing
        self._max_outage_ms = max_outage_ms
        self._valid_until_ms: int | None = None
        self._last_renewal_ms: int | None = None
        self._promised_until_by_successor: dict[str, int] = {}
        self.has_lapsed = False

    def is_held(self, now_ms: int) -> bool:
        """Return whether orders may be sent at this moment."""
        if self.has_lapsed or self._valid_until_ms is None:
            return False
        if now_ms < self._valid_until_ms:
            return True
        self.has_lapsed = True
        return False

    def remaining_ms(self, now_ms: int) -> int:
        """Return how long the lease is still valid."""
        return max(0, (self._valid_until_ms or 0) - now_ms) if self.is_held(now_ms) else 0

    def record_renewal(self, sent_ms: int, now_ms: int) -> bool:
        """Record a successful renewal.

        An answer that arrives after the lease has lapsed must not revive it. Another node may have
        claimed meanwhile, and two owners would evict adapters that the other's requests need. A
        lapsed lease stays lapsed; the node starts again under a new incarnation.

        :param sent_ms: the holder's time before the renewal was sent.
        :returns: whether the lease is held.
        """
        if self._valid_until_ms is not None and not self.is_held(now_ms):
            return False
        until_ms = sent_ms + self._timing.duration_ms - self._timing.margin_ms
        if until_ms <= now_ms:
            return self.is_held(now_ms)
        self._valid_until_ms = max(until_ms, self._valid_until_ms or 0)
        self._last_renewal_ms = sent_ms
        return True

    def record_promise(self, successor: str, requested_ms: int, for_ms: int) -> None:
        """Record a successor's promise not to claim.

        :param requested_ms: the holder's time before it requested the promise.
        :param for_ms: how long the successor will not claim, from when it received the request.
        """
        until_ms = requested_ms + for_ms - self._timing.margin_ms
        self._promised_until_by_successor[successor] = until_ms

    def extend_by_promises(self, successors: tuple[str, ...], now_ms: int) -> bool:
        """Extend the lease without the table while *every* successor has promised not to claim.

        Only the successors may claim early; all other nodes wait for the longest outage first. With
        all promises, therefore, no node claims, and an outage of the table that is longer than the
        lease does not interrupt service.

        :returns: whether the lease is held.
        """
        if not successors or self._last_renewal_ms is None or not self.is_held(now_ms):
            return self.is_held(now_ms)
        promised = [self._promised_until_by_successor.get(name, 0) for name in successors]
        until_ms = min(*promised, self._last_renewal_ms + self._max_outage_ms)
        self._valid_until_ms = max(self._valid_until_ms or 0, until_ms)
        return self.is_held(now_ms)


class LeaseWatch:
    """Tells a claim candidate whether another node's lease has lapsed, by the candidate's clock."""

    def __init__(self, timing: LeaseTiming, max_outage_ms: int = MAX_OUTAGE_MS) -> None:
        self._timing = timing
        self._max_outage_ms = max_outage_ms
        self._seen_by_incarnation: dict[str, tuple[int, int]] = {}
        self._promised_until_by_incarnation: dict[str, int] = {}
        self._claiming: set[str] = set()

    def record_row(self, incarnation: str, counter: int, read_ms: int) -> None:
        """Record a lease row as read from the table.

        :param read_ms: this node's time when the answer arrived.
        """
        known = self._seen_by_incarnation.get(incarnation)
        if known is None or counter > known[0]:
            self._seen_by_incarnation[incarnation] = (counter, read_ms)
            self._claiming.discard(incarnation)

    def promise(self, incarnation: str, for_ms: int, now_ms: int) -> bool:
        """Promise a holder not to claim what it owns.

        :param for_ms: how long the promise lasts.
        :returns: ``False`` if this node has already begun to claim, and so makes no promise.
        """
        if incarnation in self._claiming:
            return False
        until_ms = max(now_ms + for_ms, self._promised_until_by_incarnation.get(incarnation, 0))
        self._promised_until_by_incarnation[incarnation] = until_ms
        return True

    def begin_claim(self, incarnation: str) -> None:
        """Record that a claim is about to be written; no promise is made after that."""
        self._claiming.add(incarnation)

    def has_lapsed(
        self, incarnation: str, is_successor: bool, last_read_ms: int, now_ms: int
    ) -> bool:
        """Return whether this node may claim what an incarnation owned.

        :param is_successor: whether this node is one of the holder's successors.
        :param last_read_ms: when this node last read the table. The holder's silence counts only up
            to then, since nothing is known of its renewals after that.
        """
        known = self._seen_by_incarnation.get(incarnation)
        if known is None:
            return False
        if incarnation in self._claiming:
            return True
        if now_ms < self._promised_until_by_incarnation.get(incarnation, 0):
            return False
        silent_ms = last_read_ms - known[1]
        wait_ms = self._timing.claim_after_ms
        if not is_successor:
            wait_ms += self._max_outage_ms
        return silent_ms > wait_ms

    def forget(self, incarnation: str) -> None:
        """Forget an incarnation whose row was removed."""
        self._seen_by_incarnation.pop(incarnation, None)
        self._promised_until_by_incarnation.pop(incarnation, None)
        self._claiming.discard(incarnation)
