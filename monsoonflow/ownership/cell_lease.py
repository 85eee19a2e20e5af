"""The right of one node to give orders to the runners of a cell."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

import attrs

from ..helpers.hashing import rank
from .models import LeaseTiming

MAX_STANDBYS: Final = 3
"""Nodes that may inherit one after the other; enough for a holder and two heirs to be lost while
the store is."""

MAX_CANDIDATES: Final = 7
"""Nodes whose promise a holder before unfenced runners needs to go on without the store: all others
of a small fleet. Each must be heard, so more of them would end its right sooner."""

PROMISE_MS: Final = 1_500
"""How long a named claimant does not claim after it has heard the holder: seven reports. A node
that starts again is heard within it: a rolling stop does not end the holder's right."""

UNNAMED_CLAIM_DELAY_MS: Final = 8_000
"""How much longer a node that is no named claimant waits before it claims, and how long the holder
goes on by the claimants' promises at most. It is waited for only when all of these are lost."""

MAX_PEER_SILENCE_MS: Final = 700
"""How lately other nodes must have been heard when a holder goes on without the store: three of
their reports. A holder that was frozen has heard nobody and asks first."""

MACHINE_CLASS_FACTOR: Final = 2.0
"""Machines within this factor count as equal: the duty need not go round for less, and among equals
the hash spreads the duties of several cells."""


def ranked_candidates(cell: str, cores_by_name: Mapping[str, float]) -> list[str]:
    """Return who should hold a cell's duty, best first: by class of machine, by hash within one.

    A holder plans for all runners of its cell. On a machine with a quarter of the processor it
    can't keep up with the rush that takes half of a faster one, and requests wait for it.

    >>> ranked_candidates("c", {"a": 0.5, "b": 0.5}) == rank("c", ["a", "b"])
    True
    >>> ranked_candidates("c", {"a": 0.5, "b": 2.1, "d": 0.5})[0]
    'b'
    """
    ranked = rank(cell, cores_by_name)
    return sorted(ranked, key=lambda name: -machine_class(cores_by_name[name]))


def machine_class(cores: float) -> int:
    """Return the class of a machine; a higher one is faster."""
    return math.floor(math.log(cores, MACHINE_CLASS_FACTOR))


@attrs.frozen(slots=True)
class CellLeaseRow:
    """A duty's row in the table service.

    :param epoch: rises with each holder; the fencing number of its orders.
    :param counter: rises with each renewal.
    :param heirs: where runners check fencing numbers, the nodes that may go on while the store is
        lost, in this order; the first has the next epoch, the second the one after it. Where they
        don't, the nodes that may claim first once the holder is silent.
    :param released: the holder has given the duty up.
    :param before: who held it before.
    """

    cell: str
    holder: str
    boot: str
    epoch: int
    counter: int
    standbys: tuple[str, ...] = ()
    is_released: bool = False
    previous_holder: str = ""

    def next_epoch(self) -> int:
        """Return the lowest epoch that neither this holder nor an heir of it uses."""
        return self.epoch + 1 + MAX_STANDBYS

    def taken_over_by(self, node: str, boot: str) -> CellLeaseRow | None:
        """Return the duty as an heir holds it, or ``None`` for a node that is none."""
        if node not in self.standbys[:MAX_STANDBYS]:
            return None
        place = self.standbys.index(node)
        # Who comes after this heir keeps its epoch: its place counts from here on.
        rest = self.standbys[place + 1 : MAX_STANDBYS]
        return CellLeaseRow(self.cell, node, boot, self.epoch + 1 + place, 0, rest)


class HeldCellLease:
    """Tells a holder whether it may give orders, on its own clock."""

    def __init__(self, timing: LeaseTiming, fenced: bool) -> None:
        self._timing = timing
        self._fenced = fenced
        self._valid_until_ms = 0
        self.row: CellLeaseRow | None = None
        self.row_version = 0

    def update_settings(self, timing: LeaseTiming, fenced: bool) -> None:
        """Take changed bounds."""
        self._timing = timing
        self._fenced = fenced

    def duration_ms(self) -> int:
        """Return how long a renewal is good for."""
        return self._timing.duration_ms

    def record_write(self, row: CellLeaseRow, row_version: int, sent_ms: int) -> None:
        """Take a successful claim or renewal.

        :param sent_ms: this node's time before the write was sent: the store can only have applied
            it later, so every claimant's count begins later than the holder's.
        """
        self.row = row
        self.row_version = row_version
        until_ms = sent_ms + self._timing.duration_ms - self._timing.margin_ms
        self._valid_until_ms = max(self._valid_until_ms, until_ms)

    def take_over(self, row: CellLeaseRow, row_version: int) -> None:
        """Take the duty as an heir, without the store: it lasts as long as the store is lost."""
        self.row = row
        self.row_version = row_version
        self._valid_until_ms = 0

    def drop(self) -> None:
        """Take that another node holds the duty, or that nobody may know."""
        self.row = None
        self.row_version = 0
        self._valid_until_ms = 0

    def may_order(
        self,
        now_ms: int,
        newest_epoch: int,
        is_store_lost: bool,
        peer_silence_ms: int | None,
        promised_until_ms: int = 0,
    ) -> bool:
        """Tell whether an order may be sent at this moment.

        Without the store nobody can claim. Where runners refuse old fencing numbers, a holder that
        still hears the others, and hears of no newer claim, goes on: stopping all loads for the
        length of an outage would help nobody. Where they don't, only a promise of every node that
        may claim takes the place of the lease.

        :param newest_epoch: the highest epoch that any node was heard to name.
        :param peers_heard_ms: how long ago another node was heard; ``None`` where there is none.
        :param promised_until_ms: until when no node that may claim will.
        """
        if self.row is None or newest_epoch > self.row.epoch:
            return False
        if now_ms < self._valid_until_ms:
            return True
        if not self._fenced:
            return now_ms < promised_until_ms
        if not is_store_lost:
            return False
        return peer_silence_ms is None or peer_silence_ms <= MAX_PEER_SILENCE_MS


class CellLeaseWatch:
    """Tells a claimant whether a duty is free, on the claimant's own clock.

    :param turn_ms: how long a duty stays away from a node that has lost it, without fences.
    """

    def __init__(self, timing: LeaseTiming, fenced: bool, return_delay_ms: int = 0) -> None:
        self._timing = timing
        self._fenced = fenced
        self._return_delay_ms = return_delay_ms
        self.row: CellLeaseRow | None = None
        self.row_version = 0
        self._renewal_seen_ms = 0
        self._epoch_seen_ms = 0

    def update_settings(self, timing: LeaseTiming, fenced: bool, return_delay_ms: int = 0) -> None:
        """Take changed bounds."""
        self._timing = timing
        self._fenced = fenced
        self._return_delay_ms = return_delay_ms

    def record_row(
        self,
        row: CellLeaseRow | None,
        row_version: int,
        now_ms: int,
        announced_ms: int | None = None,
    ) -> None:
        """Take the row as the store holds it.

        :param told_ms: when the holder was first heard to tell this row: after it had written it,
            so its lease can be counted from there though the row is read only now.
        """
        if row_version < self.row_version:
            return
        if row_version != self.row_version:
            self._renewal_seen_ms = now_ms if announced_ms is None else announced_ms
        if row is not None and (self.row is None or row.epoch != self.row.epoch):
            self._epoch_seen_ms = now_ms
        self.row = row
        self.row_version = row_version

    def has_lapsed(self, now_ms: int, since_ms: int) -> bool:
        """Tell whether a lease that was seen renewed at some moment is over."""
        return now_ms - since_ms > self._timing.claim_after_ms

    def may_claim(
        self, node: str, boot: str, now_ms: int, is_holder_silent: bool, hears_most_peers: bool
    ) -> bool:
        """Tell whether this node may claim.

        :param holder_silent: the holder's reports have stopped.
        :param others_heard: most other nodes are heard, so the silence is not this node's own.
        """
        if self.row is None:
            return True
        unchanged_ms = now_ms - self._renewal_seen_ms
        lapsed = self.has_lapsed(now_ms, self._renewal_seen_ms)
        if self.row.holder == node:
            # A former life of this node's process, or a claim whose answer was lost.
            return self.row.is_released or self.row.boot != boot or lapsed
        if not self._fenced and self._returns_too_soon(node, now_ms):
            return False
        if self.row.is_released:
            return True
        if self._fenced:
            # Runners that check fencing numbers stop the old holder by themselves.
            return lapsed or (is_holder_silent and hears_most_peers)
        if node in self.row.standbys:
            return lapsed and is_holder_silent
        return unchanged_ms > self._timing.claim_after_ms + UNNAMED_CLAIM_DELAY_MS

    def _returns_too_soon(self, node: str, now_ms: int) -> bool:
        """Tell whether a duty would come back to a node within the time of a lease.

        Two holders that take turns can each have orders on their way to one runner; where runners
        check no fencing numbers, the older ones would be carried out after the newer.
        """
        back = self.row is not None and self.row.previous_holder == node
        return back and now_ms - self._epoch_seen_ms <= self._return_delay_ms
