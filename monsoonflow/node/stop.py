"""Stops a node gracefully: no request in progress is cut off."""

from __future__ import annotations

import logging

from ..helpers.ids import new_id
from ..helpers.logfmt import pairs
from ..ownership.models import OwnerRow
from ..ownership.runner_claims import preferred_owner
from ..rpc import control_pb2 as pb
from ..rpc.client import ControlCaller
from ..storage.models import Committed, Row, Transaction
from .context import NodeContext
from .dispatcher import Dispatcher
from .heartbeat import Control
from .lease_loop import LeaseLoop
from .rows import lease_key, owner_key, to_owner, to_value

_LOGGER = logging.getLogger(__name__)
POLL_MS = 50
LINGER_MS = 300
ORDERS_WAIT_MS = 5_000


class GracefulStop:
    """Hands ownership over and waits for the last request."""

    def __init__(
        self,
        context: NodeContext,
        control: Control,
        client: ControlCaller,
        lease_loop: LeaseLoop,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._control = control
        self._client = client
        self._lease_loop = lease_loop
        self._dispatcher = dispatcher

    def run(self) -> None:
        """Stop; returns when the last request has ended or the longest time is over."""
        context = self._context
        started_ms = context.now_ms()
        context.stopping = True
        _LOGGER.info("%s", pairs(event="stop_began", active=self._active()))
        self._lease_loop.renew()
        self._control.beat()
        deadline_ms = started_ms + context.settings["stop-ms"]
        for runner_id in list(context.core.owned_by_runner):
            self._hand_over(runner_id)
        while self._active() and context.now_ms() < deadline_ms:
            self._context.tasks.sleep(POLL_MS)
        self._outlast_addresses(started_ms)
        context.table.commit(
            Transaction(
                new_id("op"),
                {lease_key(context.me.incarnation): self._lease_loop.row_version},
                {},
                (lease_key(context.me.incarnation),),
            )
        )
        took_ms = context.now_ms() - started_ms
        _LOGGER.info("%s", pairs(event="stop_ended", active=self._active(), took_ms=took_ms))

    def _active(self) -> int:
        """Return how many requests are in progress or still being read by their callers."""
        served = self._context.served_by_id.values()
        busy = sum(1 for entry in served if not entry.life.ended or entry.readers)
        return busy + self._context.service_calls

    def _hand_over(self, runner_id: str) -> None:
        """Give a runner to the node that should own it next.

        The row is written first: if the message is lost, the new owner finds its name in the row
        and takes the runner the slow way. This node sends no order from the moment it decides.
        """
        context = self._context
        owned = context.core.owned_by_runner.get(runner_id)
        if owned is None:
            return
        peers = {peer.row.node: peer for peer in context.membership.serving_peers(context.now_ms())}
        runners = sorted(context.config.runner_by_id)
        successor = preferred_owner(runner_id, peers, runners)
        version = self._current_version(runner_id, owned.fence)
        if successor is None or version is None:
            return
        owned.is_handing_over = True
        self._await_orders(runner_id)
        peer = peers[successor]
        row = OwnerRow(runner_id, successor, peer.row.incarnation, owned.fence + 1)
        transaction = Transaction(
            new_id("op"), {owner_key(runner_id): version}, {owner_key(runner_id): to_value(row)}
        )
        result = context.table.commit(transaction)
        if not isinstance(result, Committed):
            _LOGGER.warning("%s", pairs(event="hand_over_failed", runner=runner_id))
            owned.is_handing_over = False
            return
        context.take_owner(row, result.version)
        request = pb.HandOverRequest(
            from_incarnation=context.me.incarnation, runner_id=runner_id, fence=row.fence
        )
        for run_id, adapter in owned.runner.adapter_by_run_id.items():
            request.runs.append(pb.Run(run_id=run_id, adapter=str(adapter)))
        accepted = self._client.hand_over(peer.row.rpc, request)
        context.core.release_runner(runner_id)
        _LOGGER.info(
            "%s",
            pairs(
                event="runner_handed_over",
                runner=runner_id,
                to=successor,
                runs=len(request.runs),
                accepted=accepted,
            ),
        )

    def _outlast_addresses(self, started_ms: int) -> None:
        """Go on to refuse until no caller can have an address answer that names this node.

        A caller that connects while the port closes has sent its request and gets no answer: it
        would have to count the request as unknown, where "not run" is the truth.
        """
        until_ms = started_ms + self._context.settings["address-ttl-ms"] + LINGER_MS
        while self._context.now_ms() < until_ms or self._active():
            self._context.tasks.sleep(POLL_MS)

    def _await_orders(self, runner_id: str) -> None:
        """Wait until no load or unload of ours is under way.

        An unload that arrived after the new owner has read what is resident would take an adapter
        from under its requests, where the engine ignores fencing numbers.
        """
        deadline_ms = self._context.now_ms() + ORDERS_WAIT_MS
        while self._context.now_ms() < deadline_ms:
            if self._dispatcher.order_mark(runner_id) is not None:
                return
            self._context.tasks.sleep(POLL_MS)

    def _current_version(self, runner_id: str, fence: int) -> int | None:
        """Return the version of our ownership row, or ``None`` when it is no longer ours."""
        row = self._context.table.get(owner_key(runner_id))
        if not isinstance(row, Row) or to_owner(row).fence != fence:
            return None
        return row.version
