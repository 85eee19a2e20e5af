"""Carries out the core's commands."""

from __future__ import annotations

import logging

from ..backend.models import OrderDone, OrderRefused, OrderResult, OrderStamp, OrderUnclear
from ..helpers.logfmt import pairs
from ..serving.models import Command, SendCancel, SendLoad, SendRun, SendUnload
from .const import IDLE_TICK_MS, TICK_MS
from .context import NodeContext

_LOGGER = logging.getLogger(__name__)
ORDER_TRIES = 5
ORDER_PAUSE_MS = 200


class Dispatcher:
    """Polls the core after each event and at least every tick."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._event = context.tasks.flag()
        self.load_wanted = context.tasks.flag()
        self._cancelling: set[str] = set()
        self._orders_by_runner: dict[str, int] = {}
        self._ended_by_runner: dict[str, int] = {}

    def kick(self) -> None:
        """Ask for a poll soon; several kicks make one poll."""
        self._event.set()

    def order_mark(self, runner_id: str) -> int | None:
        """Return a number that changes with each order to a runner; ``None`` while one is out.

        Two equal marks tell that what the engine said in between is no older than any order.
        """
        sent = self._orders_by_runner.get(runner_id, 0)
        return sent if sent == self._ended_by_runner.get(runner_id, 0) else None

    def run(self) -> None:
        """Poll until the process ends."""
        while True:
            queued = self._context.core.queued_count()
            if queued:
                self.load_wanted.set()
            self._event.wait(TICK_MS if queued else IDLE_TICK_MS)
            self._event.clear()
            for command in self._context.core.poll(self._context.now_ms()):
                self._carry_out(command)
            for cancel in self._context.core.pending_cancels():
                self._cancel(cancel)

    def _carry_out(self, command: Command) -> None:
        match command:
            case SendRun(request_id=request_id):
                served = self._context.served_by_id[request_id]
                served.send = command
                served.signal.notify()
            case SendLoad():
                self._context.tasks.spawn(self._load, command)
            case SendUnload():
                self._context.tasks.spawn(self._unload, command)
            case SendCancel():
                self._cancel(command)

    def _load(self, command: SendLoad) -> None:
        context = self._context
        started_ms = context.now_ms()
        result = self._order(command, lambda engine: engine.load(command.adapter, command.fence))
        now_ms = context.now_ms()
        ok = isinstance(result, OrderDone)
        if ok:
            context.core.handle_loaded(command.runner_id, command.adapter, now_ms)
        else:
            context.core.handle_load_failure(
                command.runner_id, command.adapter, result.reason, now_ms
            )
        context.metrics.loads.labels(command.runner_id, "done" if ok else "failed").inc()
        _LOGGER.info(
            "%s",
            pairs(
                event="adapter_loaded" if ok else "adapter_load_failed",
                runner=command.runner_id,
                adapter=command.adapter,
                took_ms=now_ms - started_ms,
                cause=None if ok else result.reason,
            ),
        )
        self.load_wanted.set()
        self.kick()

    def _unload(self, command: SendUnload) -> None:
        """Unload an adapter; its slot counts as taken until the engine confirms."""
        while True:
            result = self._order(
                command, lambda engine: engine.unload(command.adapter, command.fence)
            )
            if isinstance(result, OrderDone):
                self._context.core.handle_unloaded(command.runner_id, command.adapter)
                self.kick()
                return
            owned = self._context.core.owned_by_runner.get(command.runner_id)
            if owned is None or owned.fence != command.fence:
                return
            if command.adapter not in owned.runner.slot_by_adapter:
                return
            self._context.tasks.sleep(ORDER_PAUSE_MS)

    def _order(self, command: SendLoad | SendUnload, send: object) -> OrderResult:
        """Send an order until its result is clear; loads and unloads are idempotent."""
        runner_id = command.runner_id
        self._orders_by_runner[runner_id] = self._orders_by_runner.get(runner_id, 0) + 1
        try:
            return self._order_until_clear(command, send)
        finally:
            self._ended_by_runner[runner_id] = self._ended_by_runner.get(runner_id, 0) + 1

    def _order_until_clear(self, command: SendLoad | SendUnload, send: object) -> OrderResult:
        context = self._context
        result: OrderResult = OrderRefused("not sent")
        for _ in range(ORDER_TRIES):
            if command.runner_id not in context.config.runner_by_id:
                return OrderRefused("the runner was removed")
            engine = context.engine(command.runner_id)
            if not context.core.may_send(command.runner_id, command.fence, context.now_ms()):
                return OrderRefused("this node no longer owns the runner")
            result = send(engine)
            if not isinstance(result, OrderUnclear):
                return result
            self._context.tasks.sleep(ORDER_PAUSE_MS)
        return result

    def _cancel(self, command: SendCancel) -> None:
        if command.run_id not in self._cancelling:
            self._cancelling.add(command.run_id)
            self._context.tasks.spawn(self._cancel_until_done, command)

    def _cancel_until_done(self, command: SendCancel) -> None:
        """Cancel a run until its engine confirms: only then may its pin go."""
        context = self._context
        try:
            if command.runner_id not in context.config.runner_by_id:
                context.core.handle_run_end(command.runner_id, command.run_id, context.now_ms())
                return
            engine = context.engine(command.runner_id)
            result = engine.cancel(OrderStamp(command.run_id, command.fence))
            if isinstance(result, OrderDone):
                context.core.handle_run_end(command.runner_id, command.run_id, context.now_ms())
                self.kick()
            else:
                self._context.tasks.sleep(ORDER_PAUSE_MS)
        finally:
            self._cancelling.discard(command.run_id)
