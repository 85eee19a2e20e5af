"""Takes a runner over: fences its engine, reads what it holds, and only then orders anything."""

from __future__ import annotations

import logging

from ..backend.models import EngineState, OrderDone, OrderRefused
from ..core.adapter import AdapterRef
from ..helpers.logfmt import pairs
from ..ownership.models import OwnerRow
from ..ownership.takeover_guard import TakeoverGuard
from ..runner.aggregate import Runner
from ..runner.models import RunnerLimits
from ..serving.models import OwnedRunner
from .context import NodeContext
from .dispatcher import Dispatcher

_LOGGER = logging.getLogger(__name__)
FENCE_PAUSE_MS = 200


class Takeover:
    """Runs one greenlet per runner that is being taken."""

    def __init__(self, context: NodeContext, dispatcher: Dispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._under_way: dict[str, int] = {}

    def begin(self, row: OwnerRow, first: bool, runs: dict[str, AdapterRef] | None = None) -> None:
        """Begin to take a runner.

        :param first: whether nobody ever owned it.
        :param runs: the earlier owner's runs, when it handed them over itself.
        """
        owned = self._context.core.owned_by_runner.get(row.runner_id)
        if owned is not None and owned.fence >= row.fence:
            return
        if self._under_way.get(row.runner_id, 0) >= row.fence:
            return
        self._under_way[row.runner_id] = row.fence
        self._context.tasks.spawn(self._take, row, first, runs)

    def _take(self, row: OwnerRow, first: bool, runs: dict[str, AdapterRef] | None) -> None:
        context = self._context
        claimed_ms = context.now_ms()
        while self._still_ours(row):
            if self._fence(row):
                break
            self._context.tasks.sleep(FENCE_PAUSE_MS)
        if not self._still_ours(row):
            self._under_way.pop(row.runner_id, None)
            return
        if not first and runs is None:
            # Runs that the earlier owner sent just before the fence show in the engine's report
            # only after its lag; read too early, they would not be pinned and their adapters could
            # be evicted under them.
            self._context.tasks.sleep(context.settings["report-lag-ms"])
        state = self._read_state(row)
        self._under_way.pop(row.runner_id, None)
        owned = self._context.core.owned_by_runner.get(row.runner_id)
        if state is None or (owned is not None and owned.fence >= row.fence):
            return
        self._adopt(row, state, runs or {}, claimed_ms if not first else None)

    def _still_ours(self, row: OwnerRow) -> bool:
        context = self._context
        known = context.owners.get(row.runner_id)
        return (
            context.me.incarnation == row.incarnation
            and row.runner_id in context.config.runner_by_id
            and (known is None or known[0].fence <= row.fence)
        )

    def _fence(self, row: OwnerRow) -> bool:
        context = self._context
        if not context.config.runner_by_id[row.runner_id].checks_fencing:
            return True
        match context.engine(row.runner_id).fence(row.fence):
            case OrderDone():
                return True
            case OrderRefused(stale_fence=True):
                context.owners.pop(row.runner_id, None)
        return False

    def _read_state(self, row: OwnerRow) -> EngineState | None:
        context = self._context
        while self._still_ours(row):
            state = context.engine(row.runner_id).state()
            if state is not None:
                return state
            self._context.tasks.sleep(FENCE_PAUSE_MS)
        return None

    def _adopt(
        self,
        row: OwnerRow,
        state: EngineState,
        runs: dict[str, AdapterRef],
        claimed_ms: int | None,
    ) -> None:
        context = self._context
        entry = context.config.runner_by_id[row.runner_id]
        limits = RunnerLimits(state.slots, state.max_batch)
        runner = Runner(row.runner_id, limits, context.weights, state.boot_id)
        pins: dict[AdapterRef, set[str]] = {adapter: set() for adapter in state.resident}
        for run_id, adapter in {**state.running, **runs}.items():
            if adapter in pins:
                pins[adapter].add(run_id)
        now_ms = context.now_ms()
        runner.adopt(pins, now_ms)
        context.leaving.record_answer(entry.address, state.boot_id, state.leaving)
        leave_reason = context.leaving.leave_reason(entry.address)
        until_ms = 0
        if claimed_ms is not None:
            until_ms = claimed_ms + context.timing.claim_after_ms + context.settings["silence-ms"]
        owned = OwnedRunner(
            runner,
            entry.base_model,
            row.fence,
            TakeoverGuard(entry.checks_fencing, until_ms, is_fenced=True),
            foreign_runs=set(runner.adapter_by_run_id),
            owned_since_ms=now_ms,
            takes_new_work=leave_reason is None,
        )
        context.core.add_runner(owned)
        _LOGGER.info(
            "%s",
            pairs(
                event="runner_taken",
                runner=row.runner_id,
                fence=row.fence,
                resident=len(pins),
                running=runner.running,
                leaving=leave_reason,
            ),
        )
        self._dispatcher.kick()
