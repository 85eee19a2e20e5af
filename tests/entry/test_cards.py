"""How changes of a node's own record reach its peers and the store, with real entry nodes."""

from __future__ import annotations

import attrs
import orjson

from monsoonflow.entry.node_registration import CHECK_INTERVAL_MS
from monsoonflow.entry.store_follower import decode_node_record
from tests.entry.conftest import wait_for


def test_changed_cores_reach_the_peers_and_the_store(fleet):
    """The settings change while the process runs.

    Heartbeats announce it at once, and the stored node record changes when its next check is due.
    With outdated cores, nodes would rank the candidates for a cell lease differently.
    """
    changed_node, peer = fleet.node(), fleet.node()
    name = changed_node.daemon.settings.name
    wait_for(lambda: peer.daemon.view.heartbeat_of(name))
    assert peer.daemon.view.cores_of(name) == 1.0
    changed_node.daemon._reread_settings = lambda: attrs.evolve(
        changed_node.daemon.settings, cores=4.0
    )
    changed_node.daemon.reload()
    assert changed_node.daemon.view.cores_of(name) == 4.0
    wait_for(lambda: peer.daemon.view.cores_of(name) == 4.0, within_s=1.0)

    def stored_cores() -> float:
        (row,) = [
            row
            for row in changed_node.daemon.store_table.scan("node/")
            if row.key == f"node/{name}"
        ]
        return decode_node_record(orjson.dumps(row.value)).cores

    wait_for(lambda: stored_cores() == 4.0, within_s=CHECK_INTERVAL_MS / 1000 + 2)
