"""A fleet of real processes whose connections to the store are lost."""

from __future__ import annotations

import time

import pytest

from soak.faults import SERVES_MS
from soak.fleet import Fleet
from soak.outcome import late_of
from stand_ins.links import Mode

pytestmark = pytest.mark.processes
NODES = 3


@pytest.mark.parametrize("without_word", [False, True])
def test_nothing_reaches_a_leaving_server_late_after_connections_to_the_store_fell_silent(
    tmp_path, without_word
):
    """Guards against nodes deaf to leaves: they ask on connections that will never answer."""
    fleet = Fleet(tmp_path)
    try:
        fleet.start(NODES, plain=3, engines=0, per_s=60.0, seed=1)
        time.sleep(1.5)
        for node in fleet.nodes:
            fleet.set_link(node, Mode.OLD_SILENT)
        time.sleep(0.3)
        fleet.leave(fleet.servers[0], SERVES_MS, without_word)
        time.sleep(SERVES_MS / 1_000)
    finally:
        fleet.close()
    late = late_of(fleet, ())
    assert not late, [found.line() for found in late]
