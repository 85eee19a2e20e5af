"""Claims, renews and gives up the duty of a cell in the store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Annotated, Final

import attrs
import orjson
from msgspec import Meta, Struct

from ..core.clock import Clock
from ..fleet.models import CellLeaseClaim
from ..fleet.view import FleetView
from ..helpers.ids import new_id
from ..helpers.strict import read
from ..logs import events, log
from ..ownership.cell_lease import (
    MAX_CANDIDATES,
    MAX_STANDBYS,
    PROMISE_MS,
    UNNAMED_CLAIM_DELAY_MS,
    CellLeaseRow,
    CellLeaseWatch,
    HeldCellLease,
    machine_class,
    ranked_candidates,
)
from ..ownership.models import LeaseTiming
from ..storage.models import ChangedRow, Committed, Conflict, Row, Table, Transaction, Unavailable

_LOGGER = logging.getLogger(__name__)
CELL_LEASE_PREFIX: Final = "duty/"
RENEW_SHARE: Final = 0.4
"""A lease is renewed after this share: two renewals may be lost before it lapses."""

UNFENCED_LEASE_SHARE: Final = 0.4
"""Share of a deployment's lease that a holder before unfenced runners takes at a time."""

READ_ROW_AFTER_MS: Final = 500
READ_ROW_INTERVAL_MS: Final = 250
"""A holder unheard for so long makes its claimants read the duty's row, and again as often."""

MARGIN_SHARE: Final = 0.1
"""Share of the lease that the holder gives up early and claimants wait on top."""

HOLDER_TIMEOUT_MS: Final = 700
"""A holder unheard for so long is replaced where runners check fencing numbers: three reports in a
row were lost or never sent."""

FIRST_HEARTBEAT_TIMEOUT_MS: Final = 2_000
"""How long a node that has started waits for a holder's first word: processes that start together
are up within a second of each other, a slow VM within two."""

RANK_DELAY_MS: Final = 120
"""Each node further down in the order of candidates waits so much longer before it claims: one
claims, the others need not."""


class CellLeaseLoop:
    """One node's part in the duty of a cell.

    :param may_claim: tells whether this node wants duties now.
    :param steady: tells whether this process has not just been frozen.
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

    def update_bounds(self, lease_ms: int, fenced: bool) -> None:
        """Take changed bounds."""
        timing = _lease_timing(lease_ms, fenced)
        self._fenced = fenced
        self._renew_every_ms = int(timing.duration_ms * RENEW_SHARE)
        self.held_lease.update_settings(timing, fenced)
        self._lease_watch.update_settings(timing, fenced, lease_ms)

    def holds(self, now_ms: int) -> bool:
        """Tell whether this node may send orders at this moment."""
        if self.held_lease.row is None or not self._is_steady():
            return False
        newest = self._view.claim_of(self.cell)
        heard = [
            age
            for report in self._view.heartbeats(now_ms)
            if (age := self._view.heartbeat_age_ms(report.name, now_ms)) is not None
        ]
        alone = self._view.node_count() == 1
        peers_heard_ms = None if alone else min(heard, default=1_000_000)
        overdue = now_ms - self._renewed_ms > 2 * self._renew_every_ms
        store_lost = self.store_lost or overdue or not self.store_reachable
        return self.held_lease.may_order(
            now_ms,
            newest.epoch if newest else 0,
            store_lost,
            peers_heard_ms,
            self._promised_until_ms(),
        )

    def _promised_until_ms(self) -> int:
        """Return until when no other node will claim, by what the claimants say they have heard.

        Counted from the sending of what a claimant has heard: it counts from the hearing, which was
        later. Claimants of a renewal without answer count as well: it may have been written.
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
        """Return this node's claim, for the others.

        A holder that may not order must not seem to be one: the others would wait for it.
        """
        row = self.held_lease.row
        if row is None or (not self._fenced and not self.holds(self._clock.now_ms())):
            return None
        return CellLeaseClaim(self.cell, row.holder, row.epoch, row.standbys, row.counter)

    def handle_row(self, row: ChangedRow | Row) -> None:
        """Take the duty's row as the store holds it."""
        now_ms = self._clock.now_ms()
        body = orjson.dumps(row.value) if isinstance(row, Row) else row.body
        duty = decode_cell_lease(self.cell, body)
        heard = self._view.received_claim(self.cell)
        told = duty is not None and heard is not None
        same = told and (heard.epoch, heard.counter) == (duty.epoch, duty.counter)
        self._lease_watch.record_row(
            duty, row.version, now_ms, heard.first_received_ms if same else None
        )
        if duty is None:
            return
        if not duty.is_released:
            self._view.apply_claim(
                CellLeaseClaim(self.cell, duty.holder, duty.epoch, duty.standbys)
            )
        held = self.held_lease.row
        if held is not None and duty.epoch > held.epoch:
            self._handle_lost_lease(f"taken by {duty.holder}")

    def step(self) -> None:
        """Do what is due: renew, or claim what is free."""
        now_ms = self._clock.now_ms()
        self._track_newest_epoch(now_ms)
        if self.held_lease.row is not None:
            newest = self._view.claim_of(self.cell)
            if newest is not None and newest.epoch > self.held_lease.row.epoch:
                self._handle_lost_lease(f"taken by {newest.holder}")
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
        """Give no more orders; return what is to be released in the store."""
        row, version = self.held_lease.row, self.held_lease.row_version
        self.held_lease.drop()
        return None if row is None else (row, version)

    def release_row(self, row: CellLeaseRow, version: int) -> None:
        """Write that the duty is free, so that another node takes it at once."""
        released = attrs.evolve(row, counter=row.counter + 1, is_released=True)
        result = self._commit_row(released, version)
        if isinstance(result, Conflict):
            # A renewal was on its way; left as it is, the row would keep all others waiting.
            now = self._table.get(CELL_LEASE_PREFIX + self.cell)
            if isinstance(now, Row) and now.value.get("boot") == self._boot:
                result = self._commit_row(released, now.version)
        log(
            _LOGGER,
            events.DutyReleased(cell=self.cell, epoch=row.epoch, result=type(result).__name__),
        )

    def _continue_as_standby(self, now_ms: int) -> None:
        """Go on in a silent holder's place while the store can't be asked.

        Each heir has an epoch of its own, set down in the store before: no two nodes can ever use
        the same one, and runners that check them refuse the holder and the heirs before. Only where
        they do may an heir act.
        """
        newest = self._view.claim_of(self.cell)
        if newest is None or not self._fenced:
            return
        # The newest claim may have been heard from its holder only: its row is read seconds later.
        row = CellLeaseRow(self.cell, newest.holder, "", newest.epoch, 0, newest.standbys)
        inherited = row.taken_over_by(self._node, self._boot)
        if inherited is None or not self._is_silent(row.holder, now_ms):
            return
        before = row.standbys[: row.standbys.index(self._node)]
        if any(not self._is_silent(name, now_ms) for name in before):
            return
        self.held_lease.take_over(inherited, self._lease_watch.row_version)
        self.store_lost = True
        self._is_standby_lease = True
        self._renewed_ms = now_ms
        self._view.apply_claim(CellLeaseClaim(self.cell, self._node, inherited.epoch))
        log(_LOGGER, events.DutyInherited(cell=self.cell, epoch=inherited.epoch, before=row.holder))

    def _should_read_row(self, now_ms: int) -> bool:
        """Tell whether the row is to be read at once: the holder seems to be gone or has released.

        The row is followed at leisure, seconds late; a claim needs its newest version.
        """
        row = self._lease_watch.row
        if (
            row is None
            or not self.store_reachable
            or now_ms - self._last_read_attempt_ms < READ_ROW_INTERVAL_MS
        ):
            return False
        may_claim_first = not self._fenced and self._node in row.standbys
        if not may_claim_first and not self._is_row_outdated():
            return False
        heard = self._view.received_claim(self.cell)
        if heard is None or self._has_released_to_stop(row.holder):
            return True
        newest = self._view.claim_of(self.cell)
        if newest is not None and self._has_released_to_stop(newest.holder):
            return True
        silent_ms = self._view.holder_silence_timeout_ms(READ_ROW_AFTER_MS)
        return now_ms - heard.last_received_ms > silent_ms or self._lease_watch.has_lapsed(
            now_ms, heard.first_received_ms
        )

    def _has_released_to_stop(self, name: str) -> bool:
        """Tell whether a node says that it stops and holds no duty."""
        report = self._view.heartbeat_of(name)
        return report is not None and report.is_leaving and not report.claims

    def _is_row_outdated(self) -> bool:
        """Tell whether the holder has told a newer row than was read, and none was read since.

        The store would refuse a claim on the row that was read. One that was read since and is
        still older counts: an heir may hold the duty by a row that it could not write.
        """
        row, heard = self._lease_watch.row, self._view.received_claim(self.cell)
        if row is None or heard is None or self._last_read_ms > heard.first_received_ms:
            return False
        return (heard.epoch, heard.counter) > (row.epoch, row.counter)

    def _track_newest_epoch(self, now_ms: int) -> None:
        newest = self._view.claim_of(self.cell)
        if newest is not None and newest.epoch != self._newest_epoch:
            self._newest_epoch = newest.epoch
            self._newest_epoch_since_ms = now_ms

    def _is_silent(self, name: str, now_ms: int) -> bool:
        """Tell whether a node is unheard, or says that it stops and has let its duties go."""
        if not self._fenced:
            heard = self._view.received_claim(self.cell)
            heard_ms = max(self._started_ms, heard.last_received_ms if heard is not None else 0)
            return now_ms - heard_ms > PROMISE_MS
        report = self._view.heartbeat_of(name)
        if report is None:
            # Never heard: it may just not have spoken yet, since both have started together.
            return now_ms - self._started_ms > FIRST_HEARTBEAT_TIMEOUT_MS
        silence_ms = self._view.holder_silence_timeout_ms(HOLDER_TIMEOUT_MS)
        unheard = not self._view.is_alive(name, now_ms, silence_ms)
        if unheard and not self._is_new_holder(name, now_ms, silence_ms):
            return True
        return report.is_leaving and all(claim.cell != self.cell for claim in report.claims)

    def _is_new_holder(self, name: str, now_ms: int, silence_ms: int) -> bool:
        """Tell whether a holder became known so lately that its silence means nothing yet.

        In a large fleet a node without duties is heard every other second. By what was heard of it
        before, a new holder would be replaced at once, and its successor as well.
        """
        newest = self._view.claim_of(self.cell)
        if newest is None or newest.holder != name or self._view.has_refused(name):
            return False
        return now_ms - self._newest_epoch_since_ms <= silence_ms

    def _choose_standbys(self, now_ms: int, named: tuple[str, ...] = ()) -> tuple[str, ...]:
        """Return the heirs of an epoch; those that were named keep their places.

        A place stands for an epoch number. Were it given to another node, two nodes that have read
        different lists could use the same number.
        """
        names = [
            report.name
            for report in self._view.heartbeats(now_ms)
            if report.is_ready and not report.is_leaving and report.name not in named
        ]
        if not self._fenced:
            # No epoch number hangs on their places: the list follows who is there.
            others = [report.name for report in self._view.heartbeats(now_ms) if report.is_ready]
            return tuple(self._ranked(others))[:MAX_CANDIDATES]
        return (*named, *self._ranked(names))[:MAX_STANDBYS]

    def _is_claimable(self, now_ms: int) -> bool:
        if self.store_reachable and self._is_row_outdated():
            # Counted from a reading half a minute ago, each node of a large fleet would claim what
            # is held and be refused every few seconds: a sixth of all calls to the store.
            return False
        holder = self._lease_watch.row.holder if self._lease_watch.row is not None else ""
        silent = holder != "" and self._is_silent(holder, now_ms)
        heard = silent and self._hears_most_peers(holder, now_ms)
        return self._lease_watch.may_claim(self._node, self._boot, now_ms, silent, heard)

    def _hears_most_peers(self, holder: str, now_ms: int) -> bool:
        """Tell whether more than half of the nodes beside the holder are heard."""
        others = [name for name in self._view.record_by_name if name not in (self._node, holder)]
        heard = sum(self._view.is_alive(name, now_ms) for name in others)
        return heard * 2 > len(others) or not others

    def _own_rank(self, now_ms: int) -> int:
        """Return this node's place among those that may claim.

        A duty that a former life of this node held is nobody else's to claim until its lease is
        over: after a restart of all nodes at once, waiting for its turn behind nodes that can't
        claim left the fleet without a holder for up to 0.6 s.
        """
        if self._lease_watch.row is not None and self._lease_watch.row.holder == self._node:
            return 0
        names = [
            report.name
            for report in self._view.heartbeats(now_ms)
            if report.is_ready and not report.is_leaving and report.is_store_reachable
        ]
        return self._ranked([*names, *self._faster_unheard_nodes(now_ms), self._node]).index(
            self._node
        )

    def _faster_unheard_nodes(self, now_ms: int) -> list[str]:
        """Return faster nodes that this one, just started, knows by their cards only.

        It has heard a node or two in its first moments: by these alone it would be the first of all
        and take a duty that faster ones are about to take.
        """
        if now_ms - self._started_ms > FIRST_HEARTBEAT_TIMEOUT_MS:
            return []
        own = machine_class(self._view.cores)
        unheard = [
            name for name in self._view.record_by_name if self._view.heartbeat_of(name) is None
        ]
        return [name for name in unheard if machine_class(self._view.cores_of(name)) > own]

    def _ranked(self, names: list[str]) -> list[str]:
        """Return nodes in the order in which they should hold the duty."""
        return ranked_candidates(self.cell, {name: self._view.cores_of(name) for name in names})

    def _claim(self, now_ms: int) -> None:
        known = self._lease_watch.row
        newest = self._view.claim_of(self.cell)
        epoch = max(known.next_epoch() if known else 1, newest.epoch + 1 if newest else 0)
        before = known.holder if known is not None else ""
        if known is not None and before == self._node:
            before = known.previous_holder
        row = CellLeaseRow(
            self.cell,
            self._node,
            self._boot,
            epoch,
            0,
            self._choose_standbys(now_ms),
            previous_holder=before,
        )
        self._claim_candidates = set(row.standbys)
        result = self._commit_row(row, self._lease_watch.row_version if known is not None else 0)
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
                events.DutyWon(cell=self.cell, epoch=epoch, before=known.holder if known else None),
            )
            self._on_won()
        elif isinstance(result, Conflict):
            if self._is_standby_lease:
                self._handle_lost_lease("another node claimed")
            self._read_row()

    def _renew(self, now_ms: int) -> None:
        if self._is_standby_lease:
            # The row must not go on under an epoch that was an heir's: it is claimed anew.
            self._renewed_ms = now_ms
            self._claim(now_ms)
            return
        row = attrs.evolve(
            self.held_lease.row,
            counter=self.held_lease.row.counter + 1,
            standbys=self._choose_standbys(now_ms, self.held_lease.row.standbys),
        )
        self._claim_candidates |= set(row.standbys)
        result = self._commit_row(row, self.held_lease.row_version)
        match result:
            case Committed(version=version):
                self._claim_candidates = set(row.standbys)
                # Lost meanwhile by what was heard: the renewal must not revive it.
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
        """Take a runner's word that another node holds the duty."""
        self._handle_lost_lease("a runner has seen a higher fencing number")
        self._read_row()

    def _handle_lost_lease(self, cause: str) -> None:
        epoch = self.held_lease.row.epoch if self.held_lease.row is not None else 0
        self.held_lease.drop()
        self._is_standby_lease = False
        log(_LOGGER, events.DutyLost(cell=self.cell, epoch=epoch, cause=cause))

    def _read_row(self) -> None:
        asked_ms = self._clock.now_ms()
        row = self._table.get(CELL_LEASE_PREFIX + self.cell)
        if isinstance(row, Row):
            self._last_read_ms = asked_ms
            self.handle_row(row)

    def _commit_row(self, row: CellLeaseRow, version: int) -> Committed | Conflict | Unavailable:
        key = CELL_LEASE_PREFIX + self.cell
        value = {
            "holder": row.holder,
            "boot": row.boot,
            "epoch": row.epoch,
            "counter": row.counter,
            "heirs": list(row.standbys),
            "released": row.is_released,
            "before": row.previous_holder,
        }
        return self._table.commit(Transaction(new_id("op"), {key: version}, {key: value}))


class CellLeaseFields(Struct):
    """The value of a duty's row."""

    holder: str
    boot: str
    epoch: Annotated[int, Meta(ge=0)]
    counter: Annotated[int, Meta(ge=0)]
    released: bool
    heirs: tuple[str, ...] = ()
    before: str = ""


def _lease_timing(lease_ms: int, fenced: bool) -> LeaseTiming:
    """Return how long leases last.

    :param lease_ms: as the deployment names it.
    """
    if not fenced:
        # Without fences nobody acts before the lease is over: a short one ends the wait sooner, and
        # through a slow or lost store the claimants' promises carry the holder.
        lease_ms = int(lease_ms * UNFENCED_LEASE_SHARE)
    return LeaseTiming(lease_ms, int(lease_ms * MARGIN_SHARE))


def decode_cell_lease(cell: str, body: bytes | None) -> CellLeaseRow | None:
    """Return a duty's row, or ``None`` when it is malformed or gone."""
    fields = read(body, CellLeaseFields) if body is not None else "gone"
    if isinstance(fields, str):
        return None
    return CellLeaseRow(
        cell,
        fields.holder,
        fields.boot,
        fields.epoch,
        fields.counter,
        fields.heirs,
        fields.released,
        fields.before,
    )
