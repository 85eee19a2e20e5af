"""Compares ways to share customers' quotas among nodes, on the scenarios of the tests.

For each: the smallest distance to the bound in any window, what was owed and not admitted, and the
messages that a node sends for it. Negative distances break the bound.
"""

from __future__ import annotations

import argparse
import random

import attrs

from measure.quota_policies import Accountants, EqualShares
from monsoonflow.routing.quota import QuotaTolerance
from tests.routing.quota_fleet import NewPolicy, QuotaFleet
from tests.routing.quota_scenarios import DAY_MS, SCENARIOS, TOLERANCE, play

WAYS = ("equal shares", "one accountant a customer", "heartbeats and datagrams")


@attrs.define
class _Accountants:
    """Makes policies that reach each other through the fleet that they are part of."""

    fleet: QuotaFleet | None = None
    made: list[Accountants] = attrs.Factory(list)

    def new_policy(
        self,
        name: str,
        tolerance: QuotaTolerance,
        _rng: random.Random,
        starts_full: bool,
        started_ms: int,
    ) -> Accountants:
        policy = Accountants(name, tolerance, starts_full, started_ms, self._reach)
        self.made.append(policy)
        return policy

    def _reach(self, asker: str, name: str) -> Accountants | None:
        return self.fleet.reach(asker, name)


def _equal_shares(nodes: int) -> NewPolicy:
    return lambda _name, tolerance, _rng, starts_full, started_ms: EqualShares(
        nodes, tolerance, starts_full, started_ms
    )


def measure(way: str, scenario: str, nodes: int, seed: int, is_hot: bool) -> list[float]:
    """Return the smallest margin, the share of what was owed and lost, and messages per second."""
    accountants = _Accountants()
    if way == "equal shares":
        fleet = play(scenario, nodes, seed, is_hot, _equal_shares(nodes))
    elif way == "heartbeats and datagrams":
        fleet = play(scenario, nodes, seed, is_hot)
    else:
        fleet = play(
            scenario,
            nodes,
            seed,
            is_hot,
            accountants.new_policy,
            lambda made: setattr(accountants, "fleet", made),
        )
    from_ms = 13_000 + TOLERANCE.window_ms if scenario == "quotas changed" else 0
    margin = min(fleet.margin(known, from_ms) for known in fleet.customers)
    questions = 2 * sum(policy.questions for policy in accountants.made)
    messages = questions or (fleet.delta_datagrams if way == WAYS[-1] else 0)
    return [margin, fleet.lost_share(), messages * 1000 / DAY_MS / nodes]


def main() -> None:
    """Print one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=18)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print(f"{'scenario':<18} {'load':<12} {'way':<26} margin    lost messages/s a node")
    for scenario in SCENARIOS:
        for is_hot in (True, False):
            for way in WAYS:
                figures = [
                    measure(way, scenario, options.nodes, seed, is_hot)
                    for seed in range(1, options.seeds + 1)
                ]
                load = "seven times" if is_hot else "usual"
                margin = min(one[0] for one in figures)
                lost = sum(one[1] for one in figures) / len(figures)
                messages = sum(one[2] for one in figures) / len(figures)
                print(
                    f"{scenario:<18} {load:<12} {way:<26} {margin:>7.3f} {lost:>7.1%}"
                    f" {messages:>6.1f}"
                )


if __name__ == "__main__":
    main()
