"""Chooses the runner that serves a request."""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache

from ..core.adapter import AdapterRef, short_hash
from ..helpers.hashing import rank
from ..runner.aggregate import Runner
from .models import PlacementTuning, RunnerView


def build_runner_view(
    runner: Runner, base_model: str, now_ms: int, takes_new_work: bool
) -> RunnerView:
    """Return the exact view of a runner, from the state that its owner has."""
    return RunnerView(
        runner_id=runner.runner_id,
        base_model=base_model,
        slots=runner.limits.slots,
        max_batch=runner.limits.max_batch,
        queued=runner.queued,
        running=runner.running,
        ready=runner.ready,
        stall_total_ms=runner.stall.total_ms(now_ms),
        stall_weight=runner.stall.weight(now_ms),
        oldest_wait_ms=runner.oldest_wait_ms(now_ms),
        resident=frozenset(map(short_hash, runner.slot_by_adapter)),
        takes_new_work=takes_new_work,
    )


@lru_cache(maxsize=65_536)
def _rank_runners(adapter_name: str, runner_ids: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(rank(adapter_name, runner_ids))


def choose_runner(
    adapter: AdapterRef,
    base_model: str,
    view_by_id: Mapping[str, RunnerView],
    tuning: PlacementTuning,
) -> str | None:
    """Return the runner to send a new request to, or ``None`` when none accepts new work.

    Requests for one adapter go to one runner as long as that runner keeps up: one load serves them
    all, and they fill its batches. When the runner's backlog grows, the adapter spreads to the next
    runners in rendezvous order, which is the same on all nodes without communication.
    """
    usable = tuple(
        sorted(
            view.runner_id
            for view in view_by_id.values()
            if view.takes_new_work and view.base_model == base_model
        )
    )
    if not usable:
        return None
    ranked = _rank_runners(adapter.name, usable)[: tuning.max_replicas]
    adapter_hash = short_hash(adapter)
    best_id = ranked[0]
    best_cost = float("inf")
    for position, runner_id in enumerate(ranked):
        view = view_by_id[runner_id]
        cost = view.backlog() + position * tuning.replica_backlog
        if adapter_hash not in view.resident:
            cost += tuning.load_cost
        if cost < best_cost:
            best_id, best_cost = runner_id, cost
    return best_id
