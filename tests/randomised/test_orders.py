"""Runs a fixed set of seeds of orders to runners; ``script/soak --part orders`` runs long ones."""

from __future__ import annotations

import pytest

from .orders import OrdersRun


@pytest.mark.parametrize("seed", range(1, 13))
def test_runners_are_never_ordered_to_do_what_they_may_not(seed):
    """Lost and late orders, crashes, changes of holder and new versions, two and more at once."""
    assert OrdersRun(seed).run() == []
