"""Which adapters a node believes runners hold, between two reports of the lease holder."""

from __future__ import annotations

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.entry.residency import MISSING_REPORT_MS, Residency
from monsoonflow.fleet.models import ResidentAdapters

LIFE = ServerLife("i-1")
REF = AdapterRef("m/a1", 2)


def test_a_residency_report_is_applied_only_once():
    """A lease holder reports once a second what its runners hold; nodes check every 100 ms.

    A request is granted an adapter that the last report does not name. Applied again, that report
    hid the adapter from the next request, which then asked the holder for what was loaded already.
    """
    residency = Residency(ManualClock(0))
    report = (ResidentAdapters(LIFE, ()),)
    residency.apply_peer_report("s", report)
    residency.record_granted(LIFE, REF)
    residency.apply_peer_report("s", report)
    assert residency.holders("m/a1") == {LIFE: 2}


def test_a_newer_residency_report_is_applied():
    clock = ManualClock(0)
    residency = Residency(clock)
    residency.apply_peer_report("s", (ResidentAdapters(LIFE, (REF,)),))
    residency.record_missing(LIFE, "m/a1")
    clock.advance(MISSING_REPORT_MS + 1)
    assert residency.holders("m/a1") == {}
    residency.apply_peer_report("s", (ResidentAdapters(LIFE, (REF,)),))
    assert residency.holders("m/a1") == {LIFE: 2}
