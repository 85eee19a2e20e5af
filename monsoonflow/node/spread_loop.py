"""Agrees with the other nodes over how many runners the work is spread."""

from __future__ import annotations

from ..helpers.hashing import best
from ..placement.spread import Spread, demand_of
from .context import NodeContext
from .router import runner_view

EVERY_MS = 1_000


class SpreadLoop:
    """Decides where this node leads, and follows the leader otherwise.

    The leader is the serving node that all agree on by hashing; two leaders for a moment, or none,
    cost batch efficiency only.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._spread_by_model: dict[str, Spread] = {}
        self._counts_by_incarnation: dict[str, dict[str, int]] = {}

    def run(self) -> None:
        """Decide or follow until the process ends."""
        while True:
            self._context.tasks.sleep(EVERY_MS)
            self.step()

    def step(self) -> None:
        """Decide or follow once."""
        context = self._context
        leader = best("spread", [entry.incarnation for entry in context.serving_nodes()])
        if leader == context.me.incarnation:
            context.runners_in_use = self._decide()
        else:
            context.runners_in_use = self._counts_by_incarnation.get(leader or "", {})
        live = context.membership.peer_by_incarnation
        self._counts_by_incarnation = {
            name: counts for name, counts in self._counts_by_incarnation.items() if name in live
        }

    def take(self, incarnation: str, counts: dict[str, int]) -> None:
        """Take what another node uses."""
        self._counts_by_incarnation[incarnation] = counts

    def own_counts(self) -> dict[str, int]:
        """Return what this node uses."""
        return self._context.runners_in_use

    def _decide(self) -> dict[str, int]:
        context = self._context
        if context.spread_tuning.fill <= 0:
            return {}
        models = {entry.base_model for entry in context.config.runner_by_id.values()}
        return {model: self._decide_one(model) for model in sorted(models)}

    def _decide_one(self, base_model: str) -> int:
        context = self._context
        spread = self._spread_by_model.get(base_model)
        if spread is None:
            spread = self._spread_by_model[base_model] = Spread(context.spread_tuning)
        views = [
            runner_view(context, runner_id) for runner_id in sorted(context.config.runner_by_id)
        ]
        usable = [view for view in views if view.takes_new_work and view.base_model == base_model]
        return spread.update(demand_of(usable), context.now_ms())
