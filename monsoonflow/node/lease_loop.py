"""Renews this node's lease, reads the others' and claims runners."""

from __future__ import annotations

import logging

import attrs

from ..helpers.hashing import rank
from ..helpers.ids import new_id
from ..helpers.logfmt import pairs
from ..ownership.const import LEASE_PREFIX, OWNER_PREFIX
from ..ownership.models import Claim, LeaseRow
from ..ownership.runner_claims import choose_claims
from ..rpc.client import ControlCaller
from ..storage.models import Committed, Conflict, Row, Transaction, Unavailable
from .const import SUCCESSORS
from .context import NodeContext, home_of
from .rows import lease_key, owner_key, to_lease, to_owner, to_value
from .takeover import Takeover

_LOGGER = logging.getLogger(__name__)
PROMISE_STEPS = 8
RENEWALS_PER_LEASE = 3
CALM_POLLS = 10


class LeaseLoop:
    """Keeps the lease and the view of who owns what."""

    def __init__(self, context: NodeContext, client: ControlCaller, takeover: Takeover) -> None:
        self._context = context
        self._client = client
        self._takeover = takeover
        self.row_version = 0
        self._lease_versions: dict[str, int] = {}
        self._named: set[str] = set()

    def run(self) -> None:
        """Renew, read and claim until the process ends.

        While all is calm, the rows are read seldom: heartbeats tell that the others live, and every
        node reading every row each second would spend more than its budget of control bytes.
        """
        context = self._context
        poll_ms = context.settings["poll-ms"]
        renew_ms = max(poll_ms, context.timing.duration_ms // RENEWALS_PER_LEASE)
        renew_at_ms = read_at_ms = 0
        while True:
            if context.now_ms() >= renew_at_ms:
                renew_at_ms = context.now_ms() + renew_ms
                self.renew()
            if context.now_ms() >= read_at_ms or not self._is_calm():
                self._read_and_claim()
                read_at_ms = context.now_ms() + CALM_POLLS * poll_ms
            context.tasks.sleep(min(poll_ms, renew_ms))

    def _is_calm(self) -> bool:
        """Tell whether every runner has an owner that is heard of, and no peer is silent."""
        context = self._context
        live = {peer.row.incarnation for peer in context.membership.live_peers(context.now_ms())}
        quiet_ms = 3 * context.settings["heartbeat-ms"]
        for peer in context.membership.peer_by_incarnation.values():
            if peer.is_leaving or context.now_ms() - peer.last_seen_ms > quiet_ms:
                return False
        live.add(context.me.incarnation)
        owned = context.core.owned_by_runner
        if any(
            runner not in owned
            for runner, (row, _) in context.owners.items()
            if row.incarnation == context.me.incarnation
        ):
            return False
        return all(context.owner_of(runner) in live for runner in context.config.runner_by_id)

    def renew(self) -> bool:
        """Renew the lease once; on lapse, begin a new life.

        :returns: whether the lease is held.
        """
        context = self._context
        if context.lease.has_lapsed or (
            context.me.counter and not context.lease.is_held(context.now_ms())
        ):
            self._begin_new_life()
        me = attrs.evolve(
            context.me,
            counter=context.me.counter + 1,
            leaving=context.stopping,
            successors=self._choose_successors(),
        )
        self._named |= set(me.successors)
        incarnation = context.me.incarnation
        sent_ms = context.now_ms()
        written = self._write(me)
        if context.me.incarnation != incarnation:
            return False
        if not written:
            return context.lease.is_held(context.now_ms())
        context.me = context.membership.own_row = me
        self._named = set(me.successors)
        held = context.lease.record_renewal(sent_ms, context.now_ms())
        context.metrics.lease_held.set(held)
        return held

    def _write(self, me: LeaseRow) -> bool:
        key = lease_key(me.incarnation)
        transaction = Transaction(new_id("op"), {key: self.row_version}, {key: to_value(me)})
        result = self._context.table.commit(transaction)
        if isinstance(result, Committed):
            self.row_version = result.version
            return True
        if isinstance(result, Conflict):
            row = self._context.table.get(key)
            if isinstance(row, Row):
                self.row_version = row.version
        return False

    def run_promises(self) -> None:
        """Carry the lease over outages of the table, until the process ends.

        A task of its own: a renewal that gets no answer waits for longer than the lease lasts, and
        the promises would come too late.
        """
        step_ms = self._context.timing.duration_ms // PROMISE_STEPS
        while True:
            self._context.tasks.sleep(step_ms)
            remaining_ms = self._context.lease.remaining_ms(self._context.now_ms())
            if 0 < remaining_ms < self._context.timing.duration_ms // 2:
                self._extend()

    def _extend(self) -> bool:
        """Carry the lease over an outage by the successors' promises."""
        context = self._context
        # A renewal whose answer was lost may have named other successors than the last one that was
        # confirmed: both sets may claim, so both must promise.
        successors = tuple(sorted(self._named)) if context.me.successors else ()
        for_ms = context.timing.duration_ms
        jobs = [self._context.tasks.spawn(self._ask_promise, name, for_ms) for name in successors]
        self._context.tasks.join(jobs, context.timing.duration_ms // PROMISE_STEPS)
        held = context.lease.extend_by_promises(successors, context.now_ms())
        context.metrics.lease_held.set(held)
        _LOGGER.warning(
            "%s",
            pairs(
                event="lease_not_renewed",
                held=held,
                remaining_ms=context.lease.remaining_ms(context.now_ms()),
                successors=len(successors),
            ),
        )
        return held

    def _ask_promise(self, successor: str, for_ms: int) -> None:
        context = self._context
        peer = context.membership.peer_by_incarnation.get(successor)
        if peer is None:
            return
        asked_ms = context.now_ms()
        if self._client.promise(peer.row.rpc, context.me.incarnation, for_ms):
            context.lease.record_promise(successor, asked_ms, for_ms)

    def _begin_new_life(self) -> None:
        context = self._context
        _LOGGER.warning("%s", pairs(event="lease_lapsed", incarnation=context.me.incarnation))
        for runner_id in list(context.core.owned_by_runner):
            context.core.release_runner(runner_id)
        context.begin_life()
        self.row_version = 0
        self._named = set()

    def _choose_successors(self) -> tuple[str, ...]:
        context = self._context
        serving = [
            peer.row.incarnation for peer in context.membership.serving_peers(context.now_ms())
        ]
        return tuple(rank(context.me.incarnation, serving)[:SUCCESSORS])

    def _read_and_claim(self) -> None:
        context = self._context
        lease_rows = context.table.scan(LEASE_PREFIX)
        if isinstance(lease_rows, Unavailable):
            return
        read_ms = context.now_ms()
        owner_rows = context.table.scan(OWNER_PREFIX)
        if isinstance(owner_rows, Unavailable):
            return
        leases = [to_lease(row) for row in lease_rows]
        self._lease_versions = {
            lease.incarnation: row.version for lease, row in zip(leases, lease_rows, strict=True)
        }
        for lease in leases:
            context.watch.record_row(lease.incarnation, lease.counter, read_ms)
        context.membership.apply_rows(leases, read_ms)
        for row in owner_rows:
            context.take_owner(to_owner(row), row.version)
        self._drop_lost()
        if context.config_loaded:
            self._claim(leases, read_ms)

    def _drop_lost(self) -> None:
        """Give up runners whose rows name another owner with a higher fencing number."""
        context = self._context
        for runner_id, owned in list(context.core.owned_by_runner.items()):
            row = context.owners.get(runner_id)
            taken = row is not None and row[0].fence > owned.fence
            if taken or runner_id not in context.config.runner_by_id:
                context.core.release_runner(runner_id)

    def _claim(self, leases: list[LeaseRow], read_ms: int) -> None:
        context = self._context
        now_ms = context.now_ms()
        if context.stopping or not context.lease.is_held(now_ms):
            return
        live = {peer.row.incarnation: peer.row for peer in context.membership.serving_peers(now_ms)}
        live[context.me.incarnation] = context.me
        lapsed = self._lapsed(leases, read_ms, now_ms)
        runners = sorted(context.config.runner_by_id)
        for claim in choose_claims(context.me, runners, context.owners, live, lapsed):
            self._write_claim(claim)
        self._take_rows_of_mine()
        self._sweep(lapsed)

    def _lapsed(self, leases: list[LeaseRow], read_ms: int, now_ms: int) -> set[str]:
        context = self._context
        mine = context.me.incarnation
        lapsed = {
            lease.incarnation
            for lease in leases
            if lease.incarnation != mine and self._lapsed_one(lease, read_ms, now_ms)
        }
        present = {lease.incarnation for lease in leases}
        owners = {row.incarnation for row, _ in context.owners.values() if row.incarnation}
        return lapsed | (owners - present)

    def _lapsed_one(self, lease: LeaseRow, read_ms: int, now_ms: int) -> bool:
        context = self._context
        if home_of(lease.incarnation) == context.home:
            return True
        # Without a named successor the holder has nobody whose promises could carry it on.
        named = context.me.incarnation in lease.successors or not lease.successors
        return context.watch.has_lapsed(lease.incarnation, named, read_ms, now_ms)

    def _write_claim(self, claim: Claim) -> None:
        context = self._context
        key = owner_key(claim.row.runner_id)
        conditions = {key: claim.expected_version}
        previous = context.owners.get(claim.row.runner_id)
        if previous is not None and previous[0].incarnation:
            holder = previous[0].incarnation
            context.watch.begin_claim(holder)
            conditions[lease_key(holder)] = self._lease_versions.get(holder, 0)
        transaction = Transaction(new_id("op"), conditions, {key: to_value(claim.row)})
        result = context.table.commit(transaction)
        if not isinstance(result, Committed):
            return
        _LOGGER.info(
            "%s",
            pairs(
                event="runner_claimed",
                runner=claim.row.runner_id,
                fence=claim.row.fence,
                node=context.settings["node"],
                cause=claim.reason,
            ),
        )
        context.journal.record(
            claim.row.runner_id, "claimed", fence=claim.row.fence, cause=claim.reason
        )
        context.take_owner(claim.row, result.version)
        self._takeover.begin(claim.row, first=claim.row.fence == 1)

    def _take_rows_of_mine(self) -> None:
        """Take runners that a row says are ours: handed over, with the message lost."""
        context = self._context
        for runner_id, (row, _) in context.owners.items():
            if row.incarnation == context.me.incarnation:
                owned = context.core.owned_by_runner.get(runner_id)
                if owned is None or owned.fence < row.fence:
                    self._takeover.begin(row, first=False)

    def _sweep(self, lapsed: set[str]) -> None:
        """Delete lapsed leases that no ownership row refers to any more."""
        context = self._context
        owners = {row.incarnation for row, _ in context.owners.values()}
        for incarnation in lapsed - owners:
            version = self._lease_versions.get(incarnation)
            if version is None:
                continue
            key = lease_key(incarnation)
            context.table.commit(Transaction(new_id("op"), {key: version}, {}, (key,)))
            context.watch.forget(incarnation)
