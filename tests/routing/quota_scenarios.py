"""What happens to nodes that share quotas, and to the customers' callers."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final, TypeAlias

from monsoonflow.routing.customers import Customer, Quota
from monsoonflow.routing.quota import QuotaTolerance
from tests.routing.quota_fleet import NewPolicy, QuotaFleet, SimulatedCustomer

RATES_PER_S: Final = (148_682, 61_740, 35_460, 21_835, 16_180, 4_200)
USUAL_SHARE: Final = 1 / 1.8
HOT_FACTOR: Final = 7.0
TOKENS_PER_CALLER: Final = 3_000
TOLERANCE: Final = QuotaTolerance(8_000, 0.1, 17_000)
DAY_MS: Final = 30_000

Scenario: TypeAlias = Callable[[QuotaFleet, list[str]], None]


def _nothing(fleet: QuotaFleet, names: list[str]) -> None:
    """Change nothing."""


def _kill_all(fleet: QuotaFleet, names: list[str]) -> None:
    fleet.on_tick[10_000] = lambda: fleet.kill(names)
    fleet.on_tick[16_000] = lambda: fleet.kill(names)


def _kill_half(fleet: QuotaFleet, names: list[str]) -> None:
    fleet.on_tick[10_000] = lambda: fleet.kill(names[: len(names) // 2])


def _restart_in_turn(fleet: QuotaFleet, names: list[str]) -> None:
    for index, name in enumerate(names):
        fleet.on_tick[5_000 + 1_000 * index] = lambda name=name: fleet.kill([name], 800)


def _freeze_half(fleet: QuotaFleet, names: list[str]) -> None:
    fleet.on_tick[10_000] = lambda: fleet.freeze(names[: len(names) // 2], 4_000)


def _cut_in_half(fleet: QuotaFleet, names: list[str]) -> None:
    fleet.on_tick[8_000] = lambda: fleet.cut(names[: len(names) // 2], 1)
    fleet.on_tick[20_000] = lambda: fleet.cut(names, 0)


def _cut_off_a_third(fleet: QuotaFleet, names: list[str]) -> None:
    def cut() -> None:
        for group, name in enumerate(names[: len(names) // 3], 1):
            fleet.cut([name], group)

    fleet.on_tick[8_000] = cut
    fleet.on_tick[20_000] = lambda: fleet.cut(names, 0)


def _move_callers(fleet: QuotaFleet, names: list[str]) -> None:
    chooser = random.Random(len(names))
    for at_ms in range(5_000, DAY_MS, 3_000):
        some = chooser.sample(names, max(1, len(names) // 6))
        fleet.on_tick[at_ms] = lambda some=some: fleet.move_callers(some)


def _lower_and_raise(fleet: QuotaFleet, names: list[str]) -> None:
    fleet.on_tick[8_000] = lambda: fleet.lower_quotas(0.2)
    fleet.on_tick[12_000] = lambda: fleet.lower_quotas(3.0)
    fleet.on_tick[13_000] = lambda: fleet.lower_quotas(0.5)


SCENARIOS: Final[dict[str, Scenario]] = {
    "nothing": _nothing,
    "all killed twice": _kill_all,
    "half killed": _kill_half,
    "restarted in turn": _restart_in_turn,
    "half frozen": _freeze_half,
    "cut in half": _cut_in_half,
    "a third cut off": _cut_off_a_third,
    "callers move": _move_callers,
    "quotas changed": _lower_and_raise,
}


def play(
    scenario: str,
    node_count: int,
    seed: int,
    is_hot: bool,
    new_policy: NewPolicy | None = None,
    on_created: Callable[[QuotaFleet], None] = lambda _fleet: None,
) -> QuotaFleet:
    """Play one scenario.

    :param is_hot: whether each customer sends several times its usual, else its usual.
    """
    customers = [
        SimulatedCustomer(
            Customer(f"c{index}"),
            Quota(rate, rate, True, 200),
            rate * USUAL_SHARE,
            max(2, rate // TOKENS_PER_CALLER),
            HOT_FACTOR if is_hot else 1.0,
        )
        for index, rate in enumerate(RATES_PER_S)
    ]
    fleet = QuotaFleet(node_count, customers, TOLERANCE, seed, new_policy)
    on_created(fleet)
    SCENARIOS[scenario](fleet, list(fleet.nodes))
    fleet.run(DAY_MS)
    return fleet
