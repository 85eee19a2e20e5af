"""Compares ways to share quotas of customers, or limits of servers, on the scenarios of the tests.

For each: the smallest distance to the bound in any window, what was owed and not admitted, and the
messages that a node sends for it. Negative distances break the bound.
"""

from __future__ import annotations

import argparse
import random

import attrs

from measure.quota_policies import Accountants, EqualShares
from monsoonflow.routing.quota import QuotaTolerance
from tests.routing import limit_scenarios, quota_scenarios
from tests.routing.quota_fleet import NewPolicy, QuotaFleet
from tests.routing.quota_scenarios import DAY_MS, SCENARIOS

WAYS = ("each for itself", "equal shares", "one accountant", "heartbeats and datagrams")

PLAYS = {"customers": quota_scenarios.play, "servers": limit_scenarios.play}
"""Plays a scenario, by what the quotas are of."""


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


def measure(
    of: str, way: str, scenario: str, nodes: int, seed: int, is_hot: bool
) -> tuple[float, float, float]:
    """Return the smallest margin, the mean share of what was owed and lost, and messages."""
    accountants = _Accountants()
    play = PLAYS[of]
    match way:
        case "each for itself":
            fleet = play(scenario, nodes, seed, is_hot, _equal_shares(1))
        case "equal shares":
            fleet = play(scenario, nodes, seed, is_hot, _equal_shares(nodes))
        case "heartbeats and datagrams":
            fleet = play(scenario, nodes, seed, is_hot)
        case _:
            fleet = play(
                scenario,
                nodes,
                seed,
                is_hot,
                accountants.new_policy,
                lambda made: setattr(accountants, "fleet", made),
            )
    from_ms = 13_000 + fleet.tolerance.window_ms if scenario == "quotas changed" else 0
    margin = min(fleet.margin(known, from_ms) for known in fleet.customers)
    questions = 2 * sum(policy.questions for policy in accountants.made)
    messages = questions or (fleet.delta_datagrams if way == WAYS[-1] else 0)
    return margin, fleet.mean_lost_share(), messages * 1000 / DAY_MS / nodes


def main() -> None:
    """Print one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--of", choices=PLAYS, default="customers")
    parser.add_argument("--nodes", type=int, default=18)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print(f"{'scenario':<18} {'load':<6} {'way':<26} margin    lost messages/s a node")
    for scenario in SCENARIOS:
        for is_hot in (True, False):
            for way in WAYS:
                figures = [
                    measure(options.of, way, scenario, options.nodes, seed, is_hot)
                    for seed in range(1, options.seeds + 1)
                ]
                margin = min(margin for margin, _, _ in figures)
                lost = sum(lost for _, lost, _ in figures) / len(figures)
                messages = sum(messages for _, _, messages in figures) / len(figures)
                print(
                    f"{scenario:<18} {'hot' if is_hot else 'usual':<6} {way:<26}"
                    f" {margin:>7.3f} {lost:>7.1%} {messages:>6.1f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
