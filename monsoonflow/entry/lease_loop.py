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
DUTY_PREFIX: Final = "duty/"
RENEW_SHARE: Final = 0.4
"""A lease is renewed after this share: two renewals may be lost before it lapses."""

UNFENCED_SHARE: Final = 0.4
"""Share of a deployment's lease that a holder before unfenced runners takes at a time."""

LOOK_AFTER_MS: Final = 500
LOOK_EVERY_MS: Final = 250
"""A holder unheard for so long makes its claimants read the duty's row, and again as often."""

MARGIN_SHARE: Final = 0.1
"""Share of the lease that the holder gives up early and claimants wait on top."""

HOLDER_SILENT_MS: Final = 700
"""A holder unheard for so long is replaced where runners check fencing numbers: three reports in a
row were lost or never sent."""

UNHEARD_MS: Final = 2_000
"""How long a node that has started waits for a holder's first word: processes that start together
are up within a second of each other, a slow VM within two."""

RANK_DELAY_MS: Final = 120
"""Each node further down in the order of candidates waits so much longer before it claims: one
claims, the others need not."""


class DutyLoop:
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
        steady: Callable[[], bool],
        on_won: Callable[[], None] = lambda: None,
    ) -> None:
        timing = _timing(lease_ms, fenced)
        self.cell = cell
        self.held = HeldCellLease(timing, fenced)
        self._watch = CellLeaseWatch(timing, fenced, lease_ms)
        self._fenced = fenced
        self._node = node
        self._boot = boot
        self._table = table
        self._view = view
        self._clock = clock
        self._may_claim = may_claim
        self._steady = steady
        self._on_won = on_won
        self._renew_every_ms = int(timing.duration_ms * RENEW_SHARE)
        self._renewed_ms = 0
        self._held_since_ms = 0
        self._looked_ms = 0
        self._read_ms = 0
        self._claimants: set[str] = set()
        self._started_ms = clock.now_ms()
        self._wanted_since_ms: int | None = None
        self._newest_epoch = 0
        self._newest_since_ms = 0
        self.store_lost = False
        self.store_reached = True
        self.loaded = False
        self._inherited = False

    def bounds_changed(self, lease_ms: int, fenced: bool) -> None:
        """Take changed bounds."""
        timing = _timing(lease_ms, fenced)
        self._fenced = fenced
        self._renew_every_ms = int(timing.duration_ms * RENEW_SHARE)
        self.held.update_settings(timing, fenced)
        self._watch.update_settings(timing, fenced, lease_ms)

    def holds(self, now_ms: int) -> bool:
        """Tell whether this node may send orders at this moment."""
        if self.held.row is None or not self._steady():
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
        store_lost = self.store_lost or overdue or not self.store_reached
        return self.held.may_order(
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
        if self._fenced or self.held.row is None:
            return 0
        until_ms = self._renewed_ms + self.held.duration_ms() + UNNAMED_CLAIM_DELAY_MS
        for name in self._claimants:
            sent_ms = self._view.acked_claim_sent_ms(name, self._boot, self.cell)
            if sent_ms is None or sent_ms < self._held_since_ms:
                return 0
            until_ms = min(until_ms, sent_ms + PROMISE_MS)
        return until_ms - int(PROMISE_MS * MARGIN_SHARE)

    def claim(self) -> CellLeaseClaim | None:
        """Return this node's claim, for the others.

        A holder that may not order must not seem to be one: the others would wait for it.
        """
        row = self.held.row
        if row is None or (not self._fenced and not self.holds(self._clock.now_ms())):
            return None
        return CellLeaseClaim(self.cell, row.holder, row.epoch, row.standbys, row.counter)

    def row_changed(self, row: ChangedRow | Row) -> None:
        """Take the duty's row as the store holds it."""
        now_ms = self._clock.now_ms()
        body = orjson.dumps(row.value) if isinstance(row, Row) else row.body
        duty = to_duty(self.cell, body)
        heard = self._view.received_claim(self.cell)
        told = duty is not None and heard is not None
        same = told and (heard.epoch, heard.counter) == (duty.epoch, duty.counter)
        self._watch.record_row(duty, row.version, now_ms, heard.first_received_ms if same else None)
        if duty is None:
            return
        if not duty.is_released:
            self._view.apply_claim(
                CellLeaseClaim(self.cell, duty.holder, duty.epoch, duty.standbys)
            )
        held = self.held.row
        if held is not None and duty.epoch > held.epoch:
            self._lost(f"taken by {duty.holder}")

    def step(self) -> None:
        """Do what is due: renew, or claim what is free."""
        now_ms = self._clock.now_ms()
        self._note_holder(now_ms)
        if self.held.row is not None:
            newest = self._view.claim_of(self.cell)
            if newest is not None and newest.epoch > self.held.row.epoch:
                self._lost(f"taken by {newest.holder}")
            elif now_ms - self._renewed_ms >= self._renew_every_ms:
                self._renew(now_ms)
            return
        if self._should_look(now_ms):
            self._looked_ms = now_ms
            self._read_row()
        if not self.loaded or not self._may_claim() or not self._claimable(now_ms):
            self._wanted_since_ms = None
            return
        if not self.store_reached:
            self._inherit(now_ms)
            return
        if self._wanted_since_ms is None:
            self._wanted_since_ms = now_ms
        if now_ms - self._wanted_since_ms >= self._own_rank(now_ms) * RANK_DELAY_MS:
            self._claim(now_ms)

    def let_go(self) -> tuple[CellLeaseRow, int] | None:
        """Give no more orders; return what is to be released in the store."""
        row, version = self.held.row, self.held.row_version
        self.held.drop()
        return None if row is None else (row, version)

    def release(self, row: CellLeaseRow, version: int) -> None:
        """Write that the duty is free, so that another node takes it at once."""
        released = attrs.evolve(row, counter=row.counter + 1, is_released=True)
        result = self._commit(released, version)
        if isinstance(result, Conflict):
            # A renewal was on its way; left as it is, the row would keep all others waiting.
            now = self._table.get(DUTY_PREFIX + self.cell)
            if isinstance(now, Row) and now.value.get("boot") == self._boot:
                result = self._commit(released, now.version)
        log(
            _LOGGER,
            events.DutyReleased(cell=self.cell, epoch=row.epoch, result=type(result).__name__),
        )

    def _inherit(self, now_ms: int) -> None:
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
        if inherited is None or not self._silent(row.holder, now_ms):
            return
        before = row.standbys[: row.standbys.index(self._node)]
        if any(not self._silent(name, now_ms) for name in before):
            return
        self.held.take_over(inherited, self._watch.row_version)
        self.store_lost = True
        self._inherited = True
        self._renewed_ms = now_ms
        self._view.apply_claim(CellLeaseClaim(self.cell, self._node, inherited.epoch))
        log(_LOGGER, events.DutyInherited(cell=self.cell, epoch=inherited.epoch, before=row.holder))

    def _should_look(self, now_ms: int) -> bool:
        """Tell whether the row is to be read at once: the holder seems to be gone or has released.

        The row is followed at leisure, seconds late; a claim needs its newest version.
        """
        row = self._watch.row
        if row is None or not self.store_reached or now_ms - self._looked_ms < LOOK_EVERY_MS:
            return False
        may_claim_first = not self._fenced and self._node in row.standbys
        if not may_claim_first and not self._outdated():
            return False
        heard = self._view.received_claim(self.cell)
        if heard is None or self._gives_up(row.holder):
            return True
        newest = self._view.claim_of(self.cell)
        if newest is not None and self._gives_up(newest.holder):
            return True
        silent_ms = self._view.holder_silence_timeout_ms(LOOK_AFTER_MS)
        return now_ms - heard.last_received_ms > silent_ms or self._watch.has_lapsed(
            now_ms, heard.first_received_ms
        )

    def _gives_up(self, name: str) -> bool:
        """Tell whether a node says that it stops and holds no duty."""
        report = self._view.heartbeat_of(name)
        return report is not None and report.is_leaving and not report.claims

    def _outdated(self) -> bool:
        """Tell whether the holder has told a newer row than was read, and none was read since.

        The store would refuse a claim on the row that was read. One that was read since and is
        still older counts: an heir may hold the duty by a row that it could not write.
        """
        row, heard = self._watch.row, self._view.received_claim(self.cell)
        if row is None or heard is None or self._read_ms > heard.first_received_ms:
            return False
        return (heard.epoch, heard.counter) > (row.epoch, row.counter)

    def _note_holder(self, now_ms: int) -> None:
        newest = self._view.claim_of(self.cell)
        if newest is not None and newest.epoch != self._newest_epoch:
            self._newest_epoch = newest.epoch
            self._newest_since_ms = now_ms

    def _silent(self, name: str, now_ms: int) -> bool:
        """Tell whether a node is unheard, or says that it stops and has let its duties go."""
        if not self._fenced:
            heard = self._view.received_claim(self.cell)
            heard_ms = max(self._started_ms, heard.last_received_ms if heard is not None else 0)
            return now_ms - heard_ms > PROMISE_MS
        report = self._view.heartbeat_of(name)
        if report is None:
            # Never heard: it may just not have spoken yet, since both have started together.
            return now_ms - self._started_ms > UNHEARD_MS
        silence_ms = self._view.holder_silence_timeout_ms(HOLDER_SILENT_MS)
        unheard = not self._view.is_alive(name, now_ms, silence_ms)
        if unheard and not self._newly_named(name, now_ms, silence_ms):
            return True
        return report.is_leaving and all(claim.cell != self.cell for claim in report.claims)

    def _newly_named(self, name: str, now_ms: int, silence_ms: int) -> bool:
        """Tell whether a holder became known so lately that its silence means nothing yet.

        In a large fleet a node without duties is heard every other second. By what was heard of it
        before, a new holder would be replaced at once, and its successor as well.
        """
        newest = self._view.claim_of(self.cell)
        if newest is None or newest.holder != name or self._view.has_refused(name):
            return False
        return now_ms - self._newest_since_ms <= silence_ms

    def _heirs(self, now_ms: int, named: tuple[str, ...] = ()) -> tuple[str, ...]:
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

    def _claimable(self, now_ms: int) -> bool:
        if self.store_reached and self._outdated():
            # Counted from a reading half a minute ago, each node of a large fleet would claim what
            # is held and be refused every few seconds: a sixth of all calls to the store.
            return False
        holder = self._watch.row.holder if self._watch.row is not None else ""
        silent = holder != "" and self._silent(holder, now_ms)
        heard = silent and self._hears_most(holder, now_ms)
        return self._watch.may_claim(self._node, self._boot, now_ms, silent, heard)

    def _hears_most(self, holder: str, now_ms: int) -> bool:
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
        if self._watch.row is not None and self._watch.row.holder == self._node:
            return 0
        names = [
            report.name
            for report in self._view.heartbeats(now_ms)
            if report.is_ready and not report.is_leaving and report.is_store_reachable
        ]
        return self._ranked([*names, *self._faster_unheard(now_ms), self._node]).index(self._node)

    def _faster_unheard(self, now_ms: int) -> list[str]:
        """Return faster nodes that this one, just started, knows by their cards only.

        It has heard a node or two in its first moments: by these alone it would be the first of all
        and take a duty that faster ones are about to take.
        """
        if now_ms - self._started_ms > UNHEARD_MS:
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
        known = self._watch.row
        newest = self._view.claim_of(self.cell)
        epoch = max(known.next_epoch() if known else 1, newest.epoch + 1 if newest else 0)
        before = known.holder if known is not None else ""
        if known is not None and before == self._node:
            before = known.previous_holder
        row = CellLeaseRow(
            self.cell, self._node, self._boot, epoch, 0, self._heirs(now_ms), previous_holder=before
        )
        self._claimants = set(row.standbys)
        result = self._commit(row, self._watch.row_version if known is not None else 0)
        self._wanted_since_ms = None
        if isinstance(result, Committed):
            self.held.record_write(row, result.version, now_ms)
            self.store_lost = False
            self._inherited = False
            self._renewed_ms = now_ms
            self._held_since_ms = self._clock.now_ms()
            self._view.apply_claim(CellLeaseClaim(self.cell, self._node, epoch, row.standbys))
            log(
                _LOGGER,
                events.DutyWon(cell=self.cell, epoch=epoch, before=known.holder if known else None),
            )
            self._on_won()
        elif isinstance(result, Conflict):
            if self._inherited:
                self._lost("another node claimed")
            self._read_row()

    def _renew(self, now_ms: int) -> None:
        if self._inherited:
            # The row must not go on under an epoch that was an heir's: it is claimed anew.
            self._renewed_ms = now_ms
            self._claim(now_ms)
            return
        row = attrs.evolve(
            self.held.row,
            counter=self.held.row.counter + 1,
            standbys=self._heirs(now_ms, self.held.row.standbys),
        )
        self._claimants |= set(row.standbys)
        result = self._commit(row, self.held.row_version)
        match result:
            case Committed(version=version):
                self._claimants = set(row.standbys)
                # Lost meanwhile by what was heard: the renewal must not revive it.
                if self.held.row is not None and self.held.row.epoch == row.epoch:
                    self.held.record_write(row, version, now_ms)
                    self._renewed_ms = now_ms
                    self.store_lost = False
            case Conflict():
                self._lost("the row has changed")
                self._read_row()
            case Unavailable(reason=reason):
                if not self.store_lost:
                    log(_LOGGER, events.RenewalFailed(cell=self.cell, cause=reason))
                self.store_lost = True

    def superseded(self) -> None:
        """Take a runner's word that another node holds the duty."""
        self._lost("a runner has seen a higher fencing number")
        self._read_row()

    def _lost(self, cause: str) -> None:
        epoch = self.held.row.epoch if self.held.row is not None else 0
        self.held.drop()
        self._inherited = False
        log(_LOGGER, events.DutyLost(cell=self.cell, epoch=epoch, cause=cause))

    def _read_row(self) -> None:
        asked_ms = self._clock.now_ms()
        row = self._table.get(DUTY_PREFIX + self.cell)
        if isinstance(row, Row):
            self._read_ms = asked_ms
            self.row_changed(row)

    def _commit(self, row: CellLeaseRow, version: int) -> Committed | Conflict | Unavailable:
        key = DUTY_PREFIX + self.cell
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


class DutyFields(Struct):
    """The value of a duty's row."""

    holder: str
    boot: str
    epoch: Annotated[int, Meta(ge=0)]
    counter: Annotated[int, Meta(ge=0)]
    released: bool
    heirs: tuple[str, ...] = ()
    before: str = ""


def _timing(lease_ms: int, fenced: bool) -> LeaseTiming:
    """Return how long leases last.

    :param lease_ms: as the deployment names it.
    """
    if not fenced:
        # Without fences nobody acts before the lease is over: a short one ends the wait sooner, and
        # through a slow or lost store the claimants' promises carry the holder.
        lease_ms = int(lease_ms * UNFENCED_SHARE)
    return LeaseTiming(lease_ms, int(lease_ms * MARGIN_SHARE))


def to_duty(cell: str, body: bytes | None) -> CellLeaseRow | None:
    """Return a duty's row, or ``None`` when it is malformed or gone."""
    fields = read(body, DutyFields) if body is not None else "gone"
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
