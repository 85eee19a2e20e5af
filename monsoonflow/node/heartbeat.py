"""Exchanges reports with the other nodes and answers their control calls."""

from __future__ import annotations

import logging

from ..core.adapter import parse_ref, short_hash
from ..helpers.logfmt import pairs
from ..membership.view import Peer
from ..ownership.models import OwnerRow
from ..placement.models import RunnerView
from ..rpc import control_pb2 as pb
from ..rpc.client import ControlCaller
from .config_loop import ConfigLoop
from .context import NodeContext, RemoteRunner
from .grants import GrantGiver
from .spread_loop import SpreadLoop
from .takeover import Takeover

_LOGGER = logging.getLogger(__name__)


class Control:
    """Handles control messages in both directions."""

    def __init__(
        self,
        context: NodeContext,
        client: ControlCaller,
        config_loop: ConfigLoop,
        takeover: Takeover,
        giver: GrantGiver,
        spread: SpreadLoop,
    ) -> None:
        self._context = context
        self._client = client
        self._config_loop = config_loop
        self._takeover = takeover
        self._giver = giver
        self._spread = spread

    def run(self) -> None:
        """Send heartbeats until the process ends; a configuration change sends them at once."""
        interval_ms = self._context.settings["heartbeat-ms"]
        while True:
            changed = self._config_loop.changed.wait(interval_ms)
            self._config_loop.changed.clear()
            self.beat(to_all=changed)

    def beat(self, to_all: bool = True) -> None:
        """Exchange reports with peers.

        A call carries both reports, so of each pair one node calls; the other calls only when it
        has not heard from the first for longer than an interval.

        :param to_all: whether there is news that all peers should have now.
        """
        report = self.report()
        peers = [
            peer
            for peer in self._context.membership.peer_by_incarnation.values()
            if to_all or self._is_my_turn(peer)
        ]
        jobs = [self._context.tasks.spawn(self._beat_one, peer.row.rpc, report) for peer in peers]
        self._context.tasks.join(jobs, 1200)

    def _is_my_turn(self, peer: Peer) -> bool:
        context = self._context
        if context.me.incarnation < peer.row.incarnation:
            return True
        return context.now_ms() - peer.last_seen_ms > 1.5 * context.settings["heartbeat-ms"]

    def report(self) -> pb.NodeReport:
        """Return this node's report."""
        context = self._context
        now_ms = context.now_ms()
        report = pb.NodeReport(
            node=context.settings["node"],
            incarnation=context.me.incarnation,
            leaving=context.stopping,
            config_version=context.config.version if context.config_loaded else 0,
            runners_in_use=self._spread.own_counts(),
        )
        for runner_id, owned in context.core.owned_by_runner.items():
            runner = owned.runner
            report.runners.append(
                pb.RunnerReport(
                    runner_id=runner_id,
                    fence=owned.fence,
                    queued=runner.queued,
                    running=runner.running,
                    slots=runner.limits.slots,
                    max_batch=runner.limits.max_batch,
                    resident=map(short_hash, runner.slot_by_adapter),
                    takes_new_work=owned.takes_new_work and not owned.is_handing_over,
                    ready=runner.ready,
                    stall_total_ms=runner.stall.total_ms(now_ms),
                    stall_weight=runner.stall.weight(now_ms),
                    oldest_wait_ms=runner.oldest_wait_ms(now_ms),
                )
            )
        return report

    def on_heartbeat(self, report: pb.NodeReport) -> pb.NodeReport:
        """Take a report and return one's own."""
        self._take(report)
        return self.report()

    def on_promise(self, holder: str, for_ms: int) -> bool:
        """Decide whether to promise not to claim."""
        context = self._context
        return context.watch.promise(holder, for_ms, context.now_ms())

    def on_hand_over(self, request: pb.HandOverRequest) -> bool:
        """Take a runner over whose owner has written the row for this node."""
        context = self._context
        if context.stopping or request.runner_id not in context.config.runner_by_id:
            return False
        row = OwnerRow(request.runner_id, context.me.node, context.me.incarnation, request.fence)
        runs = {run.run_id: ref for run in request.runs if (ref := parse_ref(run.adapter))}
        context.take_owner(row, 0)
        self._takeover.begin(row, first=False, runs=runs)
        return True

    def on_grant(self, request: pb.GrantRequest) -> int | None:
        """Decide whether a load may start, and which."""
        return self._giver.ask(request)

    def on_changes(self, after_version: int) -> pb.ChangesReply:
        """Return configuration changes."""
        return self._config_loop.changes_after(after_version)

    def _beat_one(self, address: str, report: pb.NodeReport) -> None:
        reply = self._client.heartbeat(address, report)
        if reply is not None:
            self._take(reply)

    def _take(self, report: pb.NodeReport) -> None:
        context = self._context
        now_ms = context.now_ms()
        peer = context.membership.peer_by_incarnation.get(report.incarnation)
        if peer is None:
            return
        if report.leaving and not peer.is_leaving:
            _LOGGER.info("%s", pairs(event="peer_leaving", node=report.node))
        context.membership.record_heartbeat(
            report.incarnation, report.leaving, report.config_version, now_ms
        )
        self._spread.take(report.incarnation, dict(report.runners_in_use))
        for runner in report.runners:
            self._take_runner(report.incarnation, runner)
        self._config_loop.peer_has(peer.row.rpc, report.config_version)

    def _take_runner(self, incarnation: str, report: pb.RunnerReport) -> None:
        context = self._context
        known = context.remote_by_runner.get(report.runner_id)
        if known is not None and known.fence > report.fence:
            return
        entry = context.config.runner_by_id.get(report.runner_id)
        if entry is None:
            return
        view = RunnerView(
            runner_id=report.runner_id,
            base_model=entry.base_model,
            slots=report.slots,
            max_batch=report.max_batch,
            queued=report.queued,
            running=report.running,
            ready=report.ready,
            stall_total_ms=report.stall_total_ms,
            stall_weight=report.stall_weight,
            oldest_wait_ms=report.oldest_wait_ms,
            resident=frozenset(report.resident),
            takes_new_work=report.takes_new_work,
        )
        context.remote_by_runner[report.runner_id] = RemoteRunner(incarnation, report.fence, view)
