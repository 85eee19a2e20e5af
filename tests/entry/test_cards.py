"""What a node tells of itself, before real entry nodes."""

from __future__ import annotations

import attrs
import orjson

from monsoonflow.entry.node_registration import CHECK_INTERVAL_MS
from monsoonflow.entry.store_follower import decode_node_record
from tests.entry.conftest import wait_for


def test_a_changed_machine_is_told_to_the_others_and_to_the_store(fleet):
    """The settings change while the process runs: reports tell it at once, the row when it is due.

    Ranked by what each has read long ago, nodes would disagree on who should hold a duty.
    """
    one, two = fleet.node(), fleet.node()
    name = one.daemon.settings.name
    wait_for(lambda: two.daemon.view.heartbeat_of(name))
    assert two.daemon.view.cores_of(name) == 1.0
    one.daemon._reread_settings = lambda: attrs.evolve(one.daemon.settings, cores=4.0)
    one.daemon.reload()
    assert one.daemon.view.cores_of(name) == 4.0
    wait_for(lambda: two.daemon.view.cores_of(name) == 4.0, within_s=1.0)

    def stored() -> float:
        (row,) = [row for row in one.daemon.store_table.scan("node/") if row.key == f"node/{name}"]
        return decode_node_record(orjson.dumps(row.value)).cores

    wait_for(lambda: stored() == 4.0, within_s=CHECK_INTERVAL_MS / 1000 + 2)
