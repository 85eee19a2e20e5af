"""Tests of keeping loads of base models under the rate that the weight store allows."""

from __future__ import annotations

import pytest

from monsoonflow.placement.model_load_limit import ModelLoadLimit

WINDOW_MS = 5_000
STEP_MS = 20


def began_by(holders_ms: list[int], loads_per_s: float, end_ms: int) -> list[int]:
    """Return when loads begin that are wanted all the time, by holders one after the other.

    :param holders_ms: when each of them takes over.
    """
    began = []
    for from_ms, until_ms in zip(holders_ms, [*holders_ms[1:], end_ms], strict=True):
        loads = ModelLoadLimit(loads_per_s, WINDOW_MS, from_ms)
        for now_ms in range(from_ms, until_ms, STEP_MS):
            if loads.allows(now_ms):
                loads.record_start(now_ms)
                began.append(now_ms)
    return began


@pytest.mark.parametrize("loads_per_s", [0.2, 0.5, 2.1, 2.8])
@pytest.mark.parametrize("every_ms", [200, 700, 1_500, 2_400, 4_900])
def test_holders_in_series_begin_no_more_loads_than_the_store_allows(loads_per_s, every_ms):
    """Guards against a share of the window for each of many holders within it."""
    began = began_by([0, *range(20_000, 30_000, every_ms)], loads_per_s, 40_000)
    most = max(sum(0 <= at - start < WINDOW_MS for at in began) for start in began)
    assert most <= loads_per_s * WINDOW_MS / 1_000 + 1


def test_a_holder_of_a_while_has_its_whole_share_at_once():
    loads = ModelLoadLimit(2.8, WINDOW_MS, 0)
    assert not loads.allows(100)
    began = 0
    while loads.allows(WINDOW_MS):
        loads.record_start(WINDOW_MS)
        began += 1
    assert began == 7


def test_a_load_that_is_wanted_rarely_is_begun_at_the_lowest_rate():
    assert ModelLoadLimit(0.01, WINDOW_MS, 0).allows(WINDOW_MS)
