"""Metrics of an entry node."""

from __future__ import annotations

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.client import ConnectionPools, call


def test_metrics_count_served_requests_and_name_no_adapter_or_server(fleet):
    fleet.plain("i-1")
    fleet.runner("i-2")
    node = fleet.node()
    fleet.holder()
    fleet.ask(node, "/look/x", "r1")
    fleet.generate(node, "a1", "r2")
    address = node.daemon.settings.metrics_address
    answer = call(ConnectionPools(MonotonicClock()), address, "GET", "/metrics", b"", 2_000)
    text = answer.body.decode()
    assert 'requests_total{kind="idempotent",outcome="answered",priority="0"} 1.0' in text
    assert 'objectives_total{kind="stream",priority="0",result="met"} 1.0' in text
    assert 'orders_total{answer="accepted",operation="load"}' in text
    assert "monsoonflow_entry_config_version 1.0" in text
    assert "a1" not in text
    assert "i-1" not in text
    missing = call(ConnectionPools(MonotonicClock()), address, "GET", "/other", b"", 2_000)
    assert missing.head.status == 404
