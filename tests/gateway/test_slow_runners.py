"""A runner that turns slow gets less at once, and as much as before once it is quick again."""

from __future__ import annotations

import pytest

from monsoonflow.core.server_life import ServerLife
from tests.gateway.runner_simulation import Crowd, NoPlaces
from tests.gateway.test_overloaded_runners import arrivals

LIVES = tuple(ServerLife(f"i-{number}") for number in range(12))
SLOW = LIVES[:3]
SLOWER = 5.0
A_SECOND = 110
"""Generations in a rush; twelve runners read 97 of them."""


def play(nodes: int, seed: int) -> tuple[Crowd, int]:
    """Return a crowd whose three runners have been slow for a while, and what they had read before.

    The figures begin two and a half seconds after they turned slow.
    """
    crowd = Crowd(NoPlaces({"a": dict.fromkeys(LIVES, 1)}), nodes, LIVES)
    crowd.rng.seed(seed)
    crowd.run(6_000, arrivals(crowd, "a", A_SECOND))
    before = sum(crowd.read_by_life[life] for life in SLOW)
    crowd.slow = dict.fromkeys(SLOW, SLOWER)
    crowd.run(2_500, arrivals(crowd, "a", A_SECOND))
    crowd.lost_by_life.clear()
    crowd.sent = crowd.lost = 0
    return crowd, before


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_do_not_leave_while_they_wait_at_a_runner_that_has_turned_slow(seed: int):
    """Three of twelve runners read at a fifth of their pace, for seven seconds.

    A node of ninety sends to each of them once a second or less, and hears of its pace when the
    first event comes, or in vain when the caller has left after 4 s: ``expected_ms=815`` where a
    request waited 3.2 s until its caller left. 10 of 14 callers left while such a runner still had
    their requests, which goes on with them a while after.
    """
    crowd, _ = play(89, seed)
    crowd.run(4_500, arrivals(crowd, "a", A_SECOND))
    assert crowd.lost <= crowd.sent * 0.02, (crowd.sent, crowd.lost, crowd.lost_by_life)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_runner_that_is_quick_again_is_used_again(seed: int):
    """What was seen of a slow runner is soon forgotten: it would stand idle in the next rush."""
    crowd, before = play(89, seed)
    crowd.run(4_500, arrivals(crowd, "a", A_SECOND))
    crowd.slow = {}
    crowd.run(5_000, arrivals(crowd, "a", A_SECOND))
    crowd.read_by_life.clear()
    crowd.run(6_000, arrivals(crowd, "a", A_SECOND))
    assert sum(crowd.read_by_life[life] for life in SLOW) >= 0.6 * before
