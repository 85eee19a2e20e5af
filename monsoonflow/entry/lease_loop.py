"""Claims, renews and releases the lease of a cell in the store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

import attrs
import orjson

from ..core.clock import Clock
from ..fleet.models import CellLeaseClaim
from ..fleet.view import FleetView
from ..helpers.ids import new_id
from ..logs import events, log
from ..ownership.cell_lease import (
    MAX_CANDIDATES,
    MAX_STANDBYS,
    PROMISE_MS,
    UNNAMED_CLAIM_DELAY_MS,
    CellLeaseRow,
    CellLeaseWatch,
    HeldCellLease,
    first_epoch,
    machine_class,
    ranked_candidates,
)
from ..ownership.models import LeaseTiming
from ..placement.load_limit import LearnedLoads
from ..storage.models import (
    ChangedRow,
    CommitResult,
    Committed,
    Conflict,
    Outdated,
    Row,
    Table,
    Transaction,
    Unavailable,
)
from .cell_lease_row import CELL_LEASE_PREFIX, decode_cell_lease, encode_cell_lease

_LOGGER = logging.getLogger(__name__)
RENEW_SHARE: Final = 0.4
"""A lease is renewed after this share of its duration: two renewals may be lost before it
expires."""

UNFENCED_LEASE_SHARE: Final = 0.4
"""Share of the deployment's lease duration that a lease lasts where runners check no fencing
numbers."""

READ_ROW_AFTER_MS: Final = 500
READ_ROW_INTERVAL_MS: Final = 250
"""Without a heartbeat of the holder for ``READ_ROW_AFTER_MS``, its claim candidates read the row of
the cell lease, and again every ``READ_ROW_INTERVAL_MS``."""

MARGIN_SHARE: Final = 0.1
"""Share of the lease by which the holder stops early and claim candidates wait longer."""

HOLDER_TIMEOUT_MS: Final = 700
"""A holder without heartbeats for this long is replaced where runners check fencing numbers: three
heartbeats in a row were lost or never sent."""

FIRST_HEARTBEAT_TIMEOUT_MS: Final = 2_000
"""How long a node that has started waits for a holder's first heartbeat: processes that start
together are up within a second of each other, on a slow VM within two."""

RANK_DELAY_MS: Final = 120
"""Each node further down in the order of candidates waits this much longer before it claims: one
claims, the others need not."""


class CellLeaseLoop:
    """One node's part in the lease of a cell.

    Each lease has an epoch, the fencing token of its holder's orders: it is higher than all before.

    :param boot: the id of this run of the node's process.
    :param lease_ms: as set for the deployment.
    :param fenced: whether runners refuse orders with an old fencing number.
    :param may_claim: returns whether this node wants cell leases now.
    :param is_steady: returns whether this process runs and has not just been suspended.
    :param on_won: called when this node has won the lease.
    :ivar learned_loads: what this node has learned of the weight store as the holder; it is stored
        with each renewal.
    """

    def __init__(
        self,
        cell: str,
        node: str,
        boot: str,
        lease_ms: int,
        fenced: bool,
        table: Table,
        view: FleetView,
        clock: Clock,
        may_claim: Callable[[], bool],
        is_steady: Callable[[], bool],
        on_won: Callable[[], None] = lambda: None,
    ) -> None:
        timing = _lease_timing(lease_ms, fenced)
        self.cell = cell
        self.held_lease = HeldCellLease(timing, fenced)
        self._lease_watch = CellLeaseWatch(timing, fenced, lease_ms)
        self._fenced = fenced
        self._node = node
        self._boot = boot
        self._table = table
        self._view = view
        self._clock = clock
        self._may_claim = may_claim
        self._is_steady = is_steady
        self._on_won = on_won
        self._renew_every_ms = int(timing.duration_ms * RENEW_SHARE)
        self._renewed_ms = 0
        self._held_since_ms = 0
        self._last_read_attempt_ms = 0
        self._last_read_ms = 0
        self._claim_candidates: set[str] = set()
        self._started_ms = clock.now_ms()
        self._claimable_since_ms: int | None = None
        self._newest_epoch = 0
        self._newest_epoch_since_ms = 0
        self.store_lost = False
        self.store_reachable = True
        self.loaded = False
        self._is_standby_lease = False
        self.learned_loads: LearnedLoads | None = None

    def update_bounds(self, lease_ms: int, fenced: bool) -> None:
        """Apply changed bounds."""
        timing = _lease_timing(lease_ms, fenced)
        self._fenced = fenced
        self._renew_every_ms = int(timing.duration_ms * RENEW_SHARE)
        self.held_lease.update_settings(timing, fenced)
        self._lease_watch.update_settings(timing, fenced, lease_ms)

    def holds(self, now_ms: int) -> bool:
        """Return whether this node may send orders at this moment."""
        if self.held_lease.row is None or not self._is_steady():
            return False
        newest_claim = self._view.claim_of(self.cell)
        heartbeat_ages_ms = [
            age_ms
            for heartbeat in self._view.heartbeats(now_ms)
            if (age_ms := self._view.heartbeat_age_ms(heartbeat.name, now_ms)) is not None
        ]
        is_alone = self._view.node_count() == 1
        last_heartbeat_age_ms = None if is_alone else min(heartbeat_ages_ms, default=1_000_000)
        overdue = now_ms - self._renewed_ms > 2 * self._renew_every_ms
        store_lost = self.store_lost or overdue or not self.store_reachable
        return self.held_lease.may_order(
            now_ms,
            newest_claim.epoch if newest_claim else 0,
            store_lost,
            last_heartbeat_age_ms,
            self._promised_until_ms(),
        )

    def _promised_until_ms(self) -> int:
        """Return until when no other node claims, by what the claim candidates acknowledged.

        The time counts from the sending of the heartbeat that a candidate says it has received: the
        candidate counts from receiving it, which was later. Candidates of a renewal without an
        answer count as well: it may have been written.
        """
        if self._fenced or self.held_lease.row is None:
            return 0
        until_ms = self._renewed_ms + self.held_lease.duration_ms() + UNNAMED_CLAIM_DELAY_MS
        for name in self._claim_candidates:
            sent_ms = self._view.acked_claim_sent_ms(name, self._boot, self.cell)
            if sent_ms is None or sent_ms < self._held_since_ms:
                return 0
            until_ms = min(until_ms, sent_ms + PROMISE_MS)
        return until_ms - int(PROMISE_MS * MARGIN_SHARE)

    def current_claim(self) -> CellLeaseClaim | None:
        """Return this node's claim, to be sent to peers.

        A holder that may not send orders must not look like one: the peers would wait for it.
        """
        row = self.held_lease.row
        if row is None or (not self._fenced and not self.holds(self._clock.now_ms())):
            return None
        return CellLeaseClaim(self.cell, row.holder, row.epoch, row.standbys, row.counter)

    def handle_row(self, row: ChangedRow | Row) -> None:
        """Apply the row of the cell lease as the store holds it."""
        now_ms = self._clock.now_ms()
        body = orjson.dumps(row.value) if isinstance(row, Row) else row.body
        lease_row = decode_cell_lease(self.cell, body)
        received_claim = self._view.received_claim(self.cell)
        is_announced = lease_row is not None and received_claim is not None
        is_same_row = is_announced and (received_claim.epoch, received_claim.counter) == (
            lease_row.epoch,
            lease_row.counter,
        )
        self._lease_watch.record_row(
            lease_row,
            row.version,
            now_ms,
            received_claim.first_received_ms if is_same_row else None,
        )
        if lease_row is None:
            return
        if not lease_row.is_released:
            self._view.apply_claim(
                CellLeaseClaim(self.cell, lease_row.holder, lease_row.epoch, lease_row.standbys)
            )
        held_row = self.held_lease.row
        if held_row is not None and lease_row.epoch > held_row.epoch:
            self._handle_lost_lease(f"claimed by {lease_row.holder}")

    def handle_row_lost(self) -> None:
        """Handle that the store has lost the row of the cell lease."""
        self._lease_watch.record_loss(self._clock.now_ms())

    def step(self) -> None:
        """Do what is due: renew the lease, or claim it if it is free."""
        now_ms = self._clock.now_ms()
        self._track_newest_epoch(now_ms)
        if self.held_lease.row is not None:
            newest_claim = self._view.claim_of(self.cell)
            if newest_claim is not None and newest_claim.epoch > self.held_lease.row.epoch:
                self._handle_lost_lease(f"claimed by {newest_claim.holder}")
            elif self._is_of_earlier_era(self.held_lease.row):
                self._claim_again(now_ms)
            elif now_ms - self._renewed_ms >= self._renew_every_ms:
                self._renew(now_ms)
            return
        if self._should_read_row(now_ms):
            self._last_read_attempt_ms = now_ms
            self._read_row()
        if not self.loaded or not self._may_claim() or not self._is_claimable(now_ms):
            self._claimable_since_ms = None
            return
        if not self.store_reachable:
            self._continue_as_standby(now_ms)
            return
        if self._claimable_since_ms is None:
            self._claimable_since_ms = now_ms
        if now_ms - self._claimable_since_ms >= self._own_rank(now_ms) * RANK_DELAY_MS:
            self._claim(now_ms)

    def drop_lease(self) -> tuple[CellLeaseRow, int] | None:
        """Stop sending orders; return the row to be released in the store, and its version."""
        row, version = self.held_lease.row, self.held_lease.row_version
        self.held_lease.drop()
        return None if row is None else (row, version)

    def release_row(self, row: CellLeaseRow, version: int, cause: str | None = None) -> None:
        """Write that the lease is free, so that another node claims it at once."""
        released = attrs.evolve(row, counter=row.counter + 1, is_released=True)
        result = self._commit_row(released, version)
        if isinstance(result, Conflict | Outdated):
            # A renewal was in progress, or the store came back from a copy. Left as it is, the row
            # would keep all other nodes waiting.
            current = self._table.get(CELL_LEASE_PREFIX + self.cell)
            if isinstance(current, Row) and current.value.get("boot") == self._boot:
                result = self._commit_row(released, current.version)
        log(
            _LOGGER,
            events.DutyReleased(
                cell=self.cell, epoch=row.epoch, result=type(result).__name__, cause=cause
            ),
        )

    def _continue_as_standby(self, now_ms: int) -> None:
        """Continue in place of a silent holder while the store is unreachable.

        Each standby has an epoch of its own that was written to the store before: no two nodes can
        ever use the same one, and runners that check epochs refuse the holder and the standbys
        before this one. Only where runners do so may a standby act.
        """
        newest_claim = self._view.claim_of(self.cell)
        if newest_claim is None or not self._fenced:
            return
        # The newest claim may be known from the holder's heartbeat only: its row is read seconds
        # later.
        known_row = self._lease_watch.row
        row = CellLeaseRow(
            self.cell,
            newest_claim.holder,
            "",
            newest_claim.epoch,
            0,
            newest_claim.standbys,
            learned_loads=known_row.learned_loads if known_row is not None else None,
        )
        standby_row = row.taken_over_by(self._node, self._boot)
        if standby_row is None or not self._is_silent(row.holder, now_ms):
            return
        earlier_standbys = row.standbys[: row.standbys.index(self._node)]
        if any(not self._is_silent(name, now_ms) for name in earlier_standbys):
            return
        self.held_lease.take_over(standby_row, self._lease_watch.row_version)
        self.store_lost = True
        self._is_standby_lease = True
        self._renewed_ms = now_ms
        self._view.apply_claim(CellLeaseClaim(self.cell, self._node, standby_row.epoch))
        log(
            _LOGGER,
            events.DutyInherited(cell=self.cell, epoch=standby_row.epoch, before=row.holder),
        )

    def _should_read_row(self, now_ms: int) -> bool:
        """Return whether to read the row now: the holder seems to have failed or released it.

        The row is otherwise followed with a delay of seconds; a claim needs its newest version.
        """
        row = self._lease_watch.row
        if not self.store_reachable or now_ms - self._last_read_attempt_ms < READ_ROW_INTERVAL_MS:
            return False
        if row is None:
            # A new holder's row: without it a node would be late to claim once that one is silent.
            return self._is_held_by_peer(now_ms)
        may_claim_first = not self._fenced and self._node in row.standbys
        if not may_claim_first and not self._is_row_outdated():
            return False
        received_claim = self._view.received_claim(self.cell)
        if received_claim is None or self._has_released(row.holder):
            return True
        newest_claim = self._view.claim_of(self.cell)
        if newest_claim is not None and self._has_released(newest_claim.holder):
            return True
        silent_ms = self._view.holder_silence_timeout_ms(READ_ROW_AFTER_MS)
        return now_ms - received_claim.last_received_ms > silent_ms or self._lease_watch.has_lapsed(
            now_ms, received_claim.first_received_ms
        )

    def _has_released(self, name: str) -> bool:
        """Return whether a node says that it can't hold the lease any more, and does not."""
        heartbeat = self._view.heartbeat_of(name)
        return (
            heartbeat is not None
            and (heartbeat.is_leaving or not heartbeat.reaches(self.cell))
            and all(claim.cell != self.cell for claim in heartbeat.claims)
        )

    def _is_row_outdated(self) -> bool:
        """Return whether the holder announced a newer row than was read, and none was read since.

        The store would refuse a claim based on the row that was read. A row that was read since and
        is still older counts as current: a standby may hold the lease by a row that it could not
        write.
        """
        row, received_claim = self._lease_watch.row, self._view.received_claim(self.cell)
        if (
            row is None
            or received_claim is None
            or self._last_read_ms > received_claim.first_received_ms
        ):
            return False
        return (received_claim.epoch, received_claim.counter) > (row.epoch, row.counter)

    def _track_newest_epoch(self, now_ms: int) -> None:
        newest_claim = self._view.claim_of(self.cell)
        if newest_claim is not None and newest_claim.epoch != self._newest_epoch:
            self._newest_epoch = newest_claim.epoch
            self._newest_epoch_since_ms = now_ms

    def _is_silent(self, name: str, now_ms: int) -> bool:
        """Return whether a node sends no heartbeats, or is stopping and has released the lease."""
        if not self._fenced:
            received_claim = self._view.received_claim(self.cell)
            last_claim_ms = max(
                self._started_ms,
                received_claim.last_received_ms if received_claim is not None else 0,
            )
            return now_ms - last_claim_ms > PROMISE_MS
        heartbeat = self._view.heartbeat_of(name)
        if heartbeat is None:
            # No heartbeat was received yet: the node may just not have sent one, if both have
            # started together.
            return now_ms - self._started_ms > FIRST_HEARTBEAT_TIMEOUT_MS
        silence_ms = self._view.holder_silence_timeout_ms(HOLDER_TIMEOUT_MS)
        is_unheard = not self._view.is_alive(name, now_ms, silence_ms)
        if is_unheard and not self._is_new_holder(name, now_ms, silence_ms):
            return True
        return self._has_released(name)

    def _is_new_holder(self, name: str, now_ms: int, silence_ms: int) -> bool:
        """Return whether a holder became known so recently that its silence means nothing yet.

        In a large fleet a node without cell leases sends a heartbeat every other second. Judged by
        its earlier heartbeats, a new holder would be replaced at once, and its successor as well.
        """
        newest_claim = self._view.claim_of(self.cell)
        if newest_claim is None or newest_claim.holder != name or self._view.has_refused(name):
            return False
        return now_ms - self._newest_epoch_since_ms <= silence_ms

    def _choose_standbys(self, now_ms: int, previous: tuple[str, ...] = ()) -> tuple[str, ...]:
        """Return the standbys of an epoch; those that were named before keep their positions.

        A position stands for an epoch number. If it were given to another node, two nodes that have
        read different lists could use the same number.
        """
        names = [
            heartbeat.name
            for heartbeat in self._view.heartbeats(now_ms)
            if heartbeat.is_ready
            and not heartbeat.is_leaving
            and heartbeat.reaches(self.cell)
            and heartbeat.name not in previous
        ]
        if not self._fenced:
            # No epoch number depends on these positions: the list follows which nodes are present.
            ready_names = [
                heartbeat.name for heartbeat in self._view.heartbeats(now_ms) if heartbeat.is_ready
            ]
            return tuple(self._ranked(ready_names))[:MAX_CANDIDATES]
        return (*previous, *self._ranked(names))[:MAX_STANDBYS]

    def _is_of_earlier_era(self, row: CellLeaseRow) -> bool:
        return row.epoch < first_epoch(self._table.era())

    def _claim_again(self, now_ms: int) -> None:
        """Claim the lease that this node holds anew, since the store came back from a copy.

        The store may have forgotten the claim, and holds another version of the row.
        """
        if now_ms - self._last_read_attempt_ms < READ_ROW_INTERVAL_MS:
            return
        self._last_read_attempt_ms = now_ms
        self.store_lost = not self._read_row()
        if not self.store_lost and self.held_lease.row is not None:
            self._claim(now_ms)

    def _is_held_by_peer(self, now_ms: int) -> bool:
        """Return whether a peer announces that it holds the lease, by a claim not in the store.

        The store has forgotten that claim; the peer is about to claim again.
        """
        row, newest_claim = self._lease_watch.row, self._view.claim_of(self.cell)
        received_claim = self._view.received_claim(self.cell)
        if newest_claim is None or received_claim is None or newest_claim.holder == self._node:
            return False
        if row is not None and row.epoch >= newest_claim.epoch:
            return False
        silent_ms = self._view.holder_silence_timeout_ms(HOLDER_TIMEOUT_MS)
        is_recent = now_ms - received_claim.last_received_ms <= silent_ms
        return is_recent and received_claim.epoch == newest_claim.epoch

    def _is_claimable(self, now_ms: int) -> bool:
        row = self._lease_watch.row
        if self.store_reachable and self._is_held_by_peer(now_ms):
            return False
        if (
            self._fenced
            and row is not None
            and row.holder == self._node
            and self._is_of_earlier_era(row)
        ):
            # This node's claim was applied after the store's return, but could not be relied on.
            return True
        if self.store_reachable and self._is_row_outdated():
            # Judged by a row that was read half a minute ago, each node of a large fleet would
            # claim a lease that is held and be refused every few seconds: a sixth of all calls to
            # the store.
            return False
        holder = row.holder if row is not None else ""
        holder_silent = holder != "" and self._is_silent(holder, now_ms)
        peers_heard = holder_silent and self._hears_most_peers(holder, now_ms)
        return self._lease_watch.may_claim(
            self._node, self._boot, now_ms, holder_silent, peers_heard
        )

    def _hears_most_peers(self, holder: str, now_ms: int) -> bool:
        """Return whether more than half of the nodes other than the holder send heartbeats."""
        other_names = [
            name for name in self._view.record_by_name if name not in (self._node, holder)
        ]
        heard_count = sum(self._view.is_alive(name, now_ms) for name in other_names)
        return heard_count * 2 > len(other_names) or not other_names

    def _own_rank(self, now_ms: int) -> int:
        """Return this node's position among those that may claim.

        A lease that an earlier run of this node's process held can't be claimed by others until it
        expires: after a restart of all nodes at once, waiting for its turn behind nodes that can't
        claim would leave the fleet without a holder for up to 0.6 s.
        """
        if self._lease_watch.row is not None and self._lease_watch.row.holder == self._node:
            return 0
        names = [
            heartbeat.name
            for heartbeat in self._view.heartbeats(now_ms)
            if heartbeat.is_ready
            and not heartbeat.is_leaving
            and heartbeat.is_store_reachable
            and heartbeat.reaches(self.cell)
        ]
        return self._ranked([*names, *self._faster_unheard_nodes(now_ms), self._node]).index(
            self._node
        )

    def _faster_unheard_nodes(self, now_ms: int) -> list[str]:
        """Return faster nodes that this one, just started, knows by their node records only.

        It has received the heartbeats of a node or two in its first moments: by these alone it
        would rank first and claim a lease that faster nodes are about to claim.
        """
        if now_ms - self._started_ms > FIRST_HEARTBEAT_TIMEOUT_MS:
            return []
        own_class = machine_class(self._view.cores)
        unheard = [
            name for name in self._view.record_by_name if self._view.heartbeat_of(name) is None
        ]
        return [name for name in unheard if machine_class(self._view.cores_of(name)) > own_class]

    def _ranked(self, names: list[str]) -> list[str]:
        """Return nodes in the order in which they should hold the lease."""
        return ranked_candidates(self.cell, {name: self._view.cores_of(name) for name in names})

    def _claim(self, now_ms: int) -> None:
        known_row = self._lease_watch.row
        newest_claim = self._view.claim_of(self.cell)
        epoch = max(
            first_epoch(self._table.era()),
            known_row.next_epoch() if known_row else 1,
            newest_claim.epoch + 1 if newest_claim else 0,
        )
        previous_row = known_row if self._is_standby_lease else self.held_lease.row or known_row
        previous_holder = previous_row.holder if previous_row is not None else ""
        if previous_row is not None and previous_holder == self._node:
            previous_holder = previous_row.previous_holder
        row = CellLeaseRow(
            self.cell,
            self._node,
            self._boot,
            epoch,
            0,
            self._choose_standbys(now_ms),
            previous_holder=previous_holder,
            learned_loads=previous_row.learned_loads if previous_row is not None else None,
        )
        self._claim_candidates = set(row.standbys)
        result = self._commit_row(
            row, self._lease_watch.row_version if known_row is not None else 0
        )
        self._claimable_since_ms = None
        if isinstance(result, Committed):
            self.held_lease.record_write(row, result.version, now_ms)
            self.store_lost = False
            self._is_standby_lease = False
            self._renewed_ms = now_ms
            self._held_since_ms = self._clock.now_ms()
            self._view.apply_claim(CellLeaseClaim(self.cell, self._node, epoch, row.standbys))
            log(
                _LOGGER,
                events.DutyWon(
                    cell=self.cell, epoch=epoch, before=known_row.holder if known_row else None
                ),
            )
            self._on_won()
        elif isinstance(result, Conflict | Outdated):
            if self._is_standby_lease and isinstance(result, Conflict):
                self._handle_lost_lease("another node claimed")
            self._read_row()

    def _renew(self, now_ms: int) -> None:
        if self._is_standby_lease:
            # The row must not continue under the epoch of a standby: the lease is claimed again.
            self._renewed_ms = now_ms
            self._claim(now_ms)
            return
        row = attrs.evolve(
            self.held_lease.row,
            counter=self.held_lease.row.counter + 1,
            standbys=self._choose_standbys(now_ms, self.held_lease.row.standbys),
            learned_loads=self.learned_loads or self.held_lease.row.learned_loads,
        )
        self._claim_candidates |= set(row.standbys)
        result = self._commit_row(row, self.held_lease.row_version)
        match result:
            case Committed(version=version):
                self._claim_candidates = set(row.standbys)
                # The lease was lost meanwhile because of a heartbeat: the renewal must not revive
                # it.
                if self.held_lease.row is not None and self.held_lease.row.epoch == row.epoch:
                    self.held_lease.record_write(row, version, now_ms)
                    self._renewed_ms = now_ms
                    self.store_lost = False
            case Conflict():
                self._handle_lost_lease("the row has changed")
                self._read_row()
            case Unavailable(reason=reason):
                if not self.store_lost:
                    log(_LOGGER, events.RenewalFailed(cell=self.cell, cause=reason))
                self.store_lost = True

    def handle_superseded(self) -> None:
        """Handle a runner's answer that another node holds the lease."""
        self._handle_lost_lease("a runner has seen a higher fencing number")
        self._read_row()

    def _handle_lost_lease(self, cause: str) -> None:
        epoch = self.held_lease.row.epoch if self.held_lease.row is not None else 0
        self.held_lease.drop()
        self._is_standby_lease = False
        log(_LOGGER, events.DutyLost(cell=self.cell, epoch=epoch, cause=cause))

    def _read_row(self) -> bool:
        """Read the row; return whether the store answered."""
        requested_ms = self._clock.now_ms()
        row = self._table.get(CELL_LEASE_PREFIX + self.cell)
        if isinstance(row, Unavailable):
            return False
        self._last_read_ms = requested_ms
        if row is None:
            self.handle_row_lost()
        else:
            self.handle_row(row)
        return True

    def _commit_row(self, row: CellLeaseRow, version: int) -> CommitResult:
        key = CELL_LEASE_PREFIX + self.cell
        value = encode_cell_lease(row)
        return self._table.commit(Transaction(new_id("op"), {key: version}, {key: value}))


def _lease_timing(lease_ms: int, fenced: bool) -> LeaseTiming:
    """Return how long leases last.

    :param lease_ms: as set for the deployment.
    """
    if not fenced:
        # Without fencing nobody acts before the lease has expired: a short one ends the wait
        # sooner, and the promises of the claim candidates carry the holder through a slow or lost
        # store.
        lease_ms = int(lease_ms * UNFENCED_LEASE_SHARE)
    return LeaseTiming(lease_ms, int(lease_ms * MARGIN_SHARE))
