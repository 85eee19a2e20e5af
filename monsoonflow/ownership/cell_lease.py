"""The cell lease: the exclusive right of one node to send orders to the runners of a cell."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

import attrs

from ..helpers.hashing import rank
from ..placement.load_limit import LearnedLoads
from .models import LeaseTiming

MAX_STANDBYS: Final = 3
"""The number of standbys that may take over one after the other. Three are enough even if the
holder and two standbys fail while the store is unreachable."""

MAX_CANDIDATES: Final = 7
"""The number of nodes whose promise a holder needs to continue without the store where runners do
not check fencing numbers; in a small fleet these are all peers. Each of them must be heard from, so
with more of them the holder would have to stop sooner."""

PROMISE_MS: Final = 1_500
"""How long a named claim candidate does not claim after it has received a heartbeat of the holder:
seven heartbeats. A node that restarts is heard from again within this time, so a rolling restart
does not end the holder's lease."""

UNNAMED_CLAIM_DELAY_MS: Final = 8_000
"""How much longer a node waits before it claims when it is not a named candidate, and for how long
at most the holder continues by the candidates' promises. The wait matters only when all candidates
have failed."""

MAX_PEER_SILENCE_MS: Final = 700
"""How recently a peer must have been heard from for a holder to continue without the store: three
heartbeats. A holder whose process was suspended has received none, and waits until one arrives."""

MACHINE_CLASS_FACTOR: Final = 2.0
"""Machines whose speeds are within this factor are in the same class. A smaller difference is no
reason to move a lease, and within a class the hash spreads the leases of several cells."""


EPOCHS_PER_ERA: Final = 2**20
"""A store that comes back from a copy may have forgotten claims. The epochs of each of its eras are
above those of the one before, so that no number is used twice, even by a node that knows only the
copy. They last for three days of a claim each second."""


def first_epoch(era: int) -> int:
    """Return the lowest epoch that may be claimed in an era of the store.

    >>> first_epoch(0), first_epoch(2) - first_epoch(1) == EPOCHS_PER_ERA
    (1, True)
    """
    return era * EPOCHS_PER_ERA + 1


def ranked_candidates(cell: str, cores_by_name: Mapping[str, float]) -> list[str]:
    """Return who should hold a cell's lease, best first: by class of machine, then by hash.

    A holder plans for all runners of its cell. A load peak that needs half of a fast machine
    overloads one with a quarter of its processor, and requests would wait for the plans.

    >>> ranked_candidates("c", {"a": 0.5, "b": 0.5}) == rank("c", ["a", "b"])
    True
    >>> ranked_candidates("c", {"a": 0.5, "b": 2.1, "d": 0.5})[0]
    'b'
    """
    ranked = rank(cell, cores_by_name)
    return sorted(ranked, key=lambda name: -machine_class(cores_by_name[name]))


def machine_class(cores: float) -> int:
    """Return the speed class of a machine; a higher one is faster."""
    return math.floor(math.log(cores, MACHINE_CLASS_FACTOR))


@attrs.frozen(slots=True)
class CellLeaseRow:
    """The row of a cell lease in the table service.

    :param boot: identifies one run of the holder's process.
    :param epoch: the fencing token of the holder's orders; it rises with each new holder.
    :param counter: rises with each renewal.
    :param standbys: where runners check fencing numbers, the nodes that may take over while the
        store is unreachable, in this order; the first uses the next epoch, the second the one after
        it. Where runners do not check them, the claim candidates: the nodes that may claim first
        once the holder is silent.
    :param is_released: whether the holder has released the lease.
    :param previous_holder: who held the lease before.
    :param learned_loads: what the holder, or one before it, has learned of the weight store.
    """

    cell: str
    holder: str
    boot: str
    epoch: int
    counter: int
    standbys: tuple[str, ...] = ()
    is_released: bool = False
    previous_holder: str = ""
    learned_loads: LearnedLoads | None = None

    def next_epoch(self) -> int:
        """Return the lowest epoch that neither this holder nor one of its standbys uses."""
        return self.epoch + 1 + MAX_STANDBYS

    def taken_over_by(self, node: str, boot: str) -> CellLeaseRow | None:
        """Return the lease as a standby holds it, or ``None`` for a node that is not a standby."""
        if node not in self.standbys[:MAX_STANDBYS]:
            return None
        index = self.standbys.index(node)
        # The later standbys keep their epochs, since their positions now count from this one.
        rest = self.standbys[index + 1 : MAX_STANDBYS]
        return CellLeaseRow(
            self.cell,
            node,
            boot,
            self.epoch + 1 + index,
            0,
            rest,
            learned_loads=self.learned_loads,
        )


class HeldCellLease:
    """Tells a holder whether it may send orders, by its own clock.

    :param fenced: whether runners check fencing numbers.
    """

    def __init__(self, timing: LeaseTiming, fenced: bool) -> None:
        self._timing = timing
        self._fenced = fenced
        self._valid_until_ms = 0
        self.row: CellLeaseRow | None = None
        self.row_version = 0

    def update_settings(self, timing: LeaseTiming, fenced: bool) -> None:
        """Apply changed settings."""
        self._timing = timing
        self._fenced = fenced

    def duration_ms(self) -> int:
        """Return how long the lease lasts after a renewal."""
        return self._timing.duration_ms

    def record_write(self, row: CellLeaseRow, row_version: int, sent_ms: int) -> None:
        """Record a successful claim or renewal.

        :param sent_ms: this node's time before the write was sent. The store can only have applied
            it later, so the time of each claim candidate starts later than the holder's.
        """
        self.row = row
        self.row_version = row_version
        until_ms = sent_ms + self._timing.duration_ms - self._timing.margin_ms
        self._valid_until_ms = max(self._valid_until_ms, until_ms)

    def take_over(self, row: CellLeaseRow, row_version: int) -> None:
        """Hold the lease as a standby, without the store, for as long as it is unreachable."""
        self.row = row
        self.row_version = row_version
        self._valid_until_ms = 0

    def drop(self) -> None:
        """Stop holding the lease: another node holds it, or may hold it."""
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
        """Return whether an order may be sent at this moment.

        Without the store no node can claim. Where runners refuse old fencing numbers, a holder that
        still hears from its peers and knows of no newer claim continues after its lease has run
        out, since adapters must be loaded during an outage, too. Where runners do not check them, a
        holder needs a promise of each claim candidate instead of the lease.

        :param newest_epoch: the highest epoch that any node has announced.
        :param is_store_lost: whether the store is unreachable.
        :param peer_silence_ms: how long ago the last heartbeat of any peer was received; ``None``
            if there are no peers.
        :param promised_until_ms: until when no claim candidate will claim.
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
    """Tells a claim candidate whether a cell lease is free, by the candidate's own clock.

    :param fenced: whether runners check fencing numbers.
    :param return_delay_ms: where they do not, how long a node that has lost the lease must not
        claim it again.
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
        """Apply changed settings."""
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
        """Record the row as the store holds it.

        :param row: ``None`` if the store has none.
        :param announced_ms: when the holder's first announcement of this row was received. That was
            after it had written the row, so its lease can be counted from then, although the row is
            read only now.
        """
        if row_version < self.row_version:
            return
        if row_version != self.row_version:
            self._renewal_seen_ms = now_ms if announced_ms is None else announced_ms
        if row is not None and (self.row is None or row.epoch != self.row.epoch):
            self._epoch_seen_ms = now_ms
        self.row = row
        self.row_version = row_version

    def record_loss(self, now_ms: int) -> None:
        """Record that the store has lost the row: its holder has time to write it again."""
        if self.row_version:
            self._renewal_seen_ms = now_ms
        self.row_version = 0

    def has_lapsed(self, now_ms: int, since_ms: int) -> bool:
        """Return whether a lease whose renewal was seen at some time has run out."""
        return now_ms - since_ms > self._timing.claim_after_ms

    def may_claim(
        self, node: str, boot: str, now_ms: int, is_holder_silent: bool, hears_most_peers: bool
    ) -> bool:
        """Return whether this node may claim the lease.

        :param is_holder_silent: whether the holder's heartbeats have stopped.
        :param hears_most_peers: whether heartbeats of most other peers arrive, so that the silence
            is not caused by this node's own network.
        """
        if self.row is None:
            return True
        unchanged_ms = now_ms - self._renewal_seen_ms
        has_lapsed = self.has_lapsed(now_ms, self._renewal_seen_ms)
        if self.row.holder == node:
            # An earlier run of this node's process claimed it, or the answer to a claim was lost.
            return self.row.is_released or self.row.boot != boot or has_lapsed
        if not self._fenced and self._returns_too_soon(node, now_ms):
            return False
        if self.row.is_released:
            return True
        if self._fenced:
            # Runners that check fencing numbers refuse orders of the old holder themselves.
            return has_lapsed or (is_holder_silent and hears_most_peers)
        if node in self.row.standbys:
            return has_lapsed and is_holder_silent
        return unchanged_ms > self._timing.claim_after_ms + UNNAMED_CLAIM_DELAY_MS

    def _returns_too_soon(self, node: str, now_ms: int) -> bool:
        """Return whether the lease would return to its previous holder too soon.

        Two nodes that hold the lease in turn can both have orders in transit to one runner. A
        runner that does not check fencing numbers would carry out the older ones after the newer.
        """
        returns = self.row is not None and self.row.previous_holder == node
        return returns and now_ms - self._epoch_seen_ms <= self._return_delay_ms
