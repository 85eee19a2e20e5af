"""Checks the engines of the runners that this node owns, and reads the VM list."""

from __future__ import annotations

import logging

from ..backend.models import EngineState
from ..helpers.logfmt import pairs
from ..serving.models import OwnedRunner
from ..storage.models import Unavailable
from .const import HEALTH_EVERY_MS, VM_LIST_EVERY_MS
from .context import NodeContext
from .dispatcher import Dispatcher

_LOGGER = logging.getLogger(__name__)


class HealthLoop:
    """Learns that an engine has restarted, leaves or is gone."""

    def __init__(self, context: NodeContext, dispatcher: Dispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher

    def run(self) -> None:
        """Check all owned runners side by side until the process ends."""
        while True:
            self._context.tasks.sleep(HEALTH_EVERY_MS)
            owned = list(self._context.core.owned_by_runner.values())
            self._context.tasks.join(
                [self._context.tasks.spawn(self._check, entry) for entry in owned], 2000
            )

    def run_vm_list(self) -> None:
        """Read the VM list until the process ends."""
        while True:
            self.read_vm_list()
            self._context.tasks.sleep(VM_LIST_EVERY_MS)

    def read_vm_list(self) -> None:
        """Read the VM list once and apply it to the runners of this node."""
        context = self._context
        listed = context.vms.read()
        if isinstance(listed, Unavailable):
            return
        context.leaving.update_vm_list(set(listed.leaving))
        # Left to the next health check, a leaving runner would get work for a second longer.
        for owned in list(context.core.owned_by_runner.values()):
            self._apply_availability(owned)

    def _check(self, owned: OwnedRunner) -> None:
        context = self._context
        runner_id = owned.runner.runner_id
        entry = context.config.runner_by_id.get(runner_id)
        if entry is None:
            return
        asked_ms = context.now_ms()
        mark = self._dispatcher.order_mark(runner_id)
        state = context.engine(runner_id).state()
        if context.core.owned_by_runner.get(runner_id) is not owned:
            return
        if state is None:
            context.leaving.record_failed_check(entry.address)
        else:
            context.leaving.record_answer(entry.address, state.boot_id, state.leaving)
            if mark is not None and mark == self._dispatcher.order_mark(runner_id):
                resident = set(state.resident)
                context.core.reconcile(runner_id, owned.fence, state.boot_id, resident)
            self._end_foreign_runs(owned, state, asked_ms)
        self._apply_availability(owned)

    def _apply_availability(self, owned: OwnedRunner) -> None:
        """Give a leaving runner no new work, and a runner that is back work again."""
        context = self._context
        runner_id = owned.runner.runner_id
        entry = context.config.runner_by_id.get(runner_id)
        if entry is None:
            return
        reason = context.leaving.leave_reason(entry.address)
        if owned.takes_new_work != (reason is None):
            context.journal.record(
                runner_id, "takes new work" if reason is None else "takes no new work", cause=reason
            )
            _LOGGER.info(
                "%s", pairs(event="runner_availability", runner=runner_id, cause=reason or "back")
            )
        owned.takes_new_work = reason is None
        if reason is not None:
            self._move_waiting(owned)
        self._dispatcher.kick()

    def _end_foreign_runs(self, owned: OwnedRunner, state: EngineState, asked_ms: int) -> None:
        """Release the pins of an earlier owner's runs that the engine no longer reports.

        A run sent just before the runner changed hands is missing from reports that are older than
        its start; its pin stays until reports have caught up.
        """
        settled_ms = owned.owned_since_ms + 2 * self._context.settings["report-lag-ms"]
        if asked_ms < settled_ms:
            return
        for run_id in sorted(owned.foreign_runs - set(state.running)):
            self._context.core.handle_run_end(owned.runner.runner_id, run_id, asked_ms)

    def _move_waiting(self, owned: OwnedRunner) -> None:
        """Send the requests that wait at a leaving runner elsewhere; none of them was offered."""
        if owned.runner.queued:
            self._context.core.reassign_waiting(owned.runner.runner_id)
