"""The policies that are compared: the product's own, baselines, and the product's less a part."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import attrs

from monsoonflow.core.adapter import AdapterRef, short_hash
from monsoonflow.placement.models import PlacementTuning, RunnerView
from monsoonflow.placement.runner_selection import choose_runner
from monsoonflow.placement.spread import SpreadTuning
from monsoonflow.runner.aggregate import Runner
from monsoonflow.runner.models import AdapterQueue, LoadCandidate, LoadWeights, Slot, WaitingRequest

Choose = Callable[[AdapterRef, Mapping[str, RunnerView], random.Random], str]
OPEN_ENDED_MS = 10**9


class LruRunner(Runner):
    """Evicts what was used longest ago."""

    def _choose_victim(self, now_ms: int) -> Slot | None:
        idle = [slot for slot in self.slot_by_adapter.values() if self._is_evictable(slot)]
        return min(idle, key=lambda slot: slot.last_used_ms, default=None)


class FcfsRunner(Runner):
    """Serves and loads in the order of arrival."""

    def _load_candidate(
        self, adapter: AdapterRef, queue: AdapterQueue, now_ms: int
    ) -> LoadCandidate:
        score = float(now_ms - queue.oldest_enqueued_ms())
        return LoadCandidate(self.runner_id, adapter, score, False, queue.count)

    def _next_waiting(self) -> WaitingRequest | None:
        heads = [
            head
            for adapter in self.resident()
            if (queue := self.queue_by_adapter.get(adapter)) and (head := queue.head())
        ]
        return min(heads, key=lambda head: (head.enqueued_ms, head.request_id), default=None)


class LruFcfsRunner(FcfsRunner, LruRunner):
    """The usual way: first come first served, least recently used goes."""


def random_choice(_: AdapterRef, views: Mapping[str, RunnerView], rng: random.Random) -> str:
    """Take any runner."""
    return rng.choice(sorted(views))


def shortest_reported(_: AdapterRef, views: Mapping[str, RunnerView], rng: random.Random) -> str:
    """Take the runner with the shortest queue by its last report."""
    least = min(view.queued + view.running for view in views.values())
    return rng.choice(
        [name for name, view in sorted(views.items()) if view.queued + view.running == least]
    )


def resident_first(adapter: AdapterRef, views: Mapping[str, RunnerView], rng: random.Random) -> str:
    """Take a runner that holds the adapter by its last report, else the shortest queue."""
    holders = {name: view for name, view in views.items() if short_hash(adapter) in view.resident}
    return shortest_reported(adapter, holders or views, rng)


def ours(tuning: PlacementTuning) -> Choose:
    """Return the product's choice."""

    def choose(adapter: AdapterRef, views: Mapping[str, RunnerView], _: random.Random) -> str:
        chosen = choose_runner(adapter, "base", views, tuning)
        assert chosen is not None
        return chosen

    return choose


@attrs.frozen(slots=True)
class Policy:
    """One way to decide.

    :param ordered: whether one queue orders the loads of all runners.
    :param background_every: of so many loads, one is a newcomer's while others wait; 1 for no
        such bound.
    :param spread: how the work is packed onto fewer runners; the default uses all.
    """

    name: str
    choose: Choose
    runner: type[Runner] = Runner
    weights: LoadWeights = LoadWeights()
    ordered: bool = True
    spread: SpreadTuning = SpreadTuning()
    background_every: int = 1


def baselines() -> list[Policy]:
    """Return the baselines."""
    return [
        Policy("random, LRU, FCFS", random_choice, LruFcfsRunner, ordered=False),
        Policy("shortest queue, LRU, FCFS", shortest_reported, LruFcfsRunner, ordered=False),
        Policy("resident first, LRU, FCFS", resident_first, LruFcfsRunner, ordered=False),
    ]


def product(weights: LoadWeights, tuning: PlacementTuning, spread: SpreadTuning) -> Policy:
    """Return the product's policy."""
    return Policy("monsoonflow", ours(tuning), Runner, weights, spread=spread, background_every=4)


def ablations(weights: LoadWeights, tuning: PlacementTuning, spread: SpreadTuning) -> list[Policy]:
    """Return the product's policy less one part at a time."""
    full = product(weights, tuning, spread)
    never_close = attrs.evolve(weights, close_after_ms=OPEN_ENDED_MS)
    no_bound = attrs.evolve(weights, max_wait_ms=OPEN_ENDED_MS)
    one_home = attrs.evolve(tuning, max_replicas=1)
    return [
        attrs.evolve(full, name="less affinity", choose=resident_first),
        attrs.evolve(full, name="less load order", runner=FcfsRunner),
        attrs.evolve(full, name="less heat eviction", runner=LruRunner),
        attrs.evolve(full, name="less fleet order", ordered=False),
        attrs.evolve(full, name="less draining", weights=never_close),
        attrs.evolve(full, name="less replicas", choose=ours(one_home)),
        attrs.evolve(full, name="less wait bound", weights=no_bound),
        attrs.evolve(full, name="less packing", spread=SpreadTuning()),
        attrs.evolve(full, name="less newcomer bound", background_every=1),
    ]
