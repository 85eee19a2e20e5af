"""What a node takes to be held by runners, between two words of their holder."""

from __future__ import annotations

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.entry.residency import MISSING_REPORT_MS, Residency
from monsoonflow.fleet.models import ResidentAdapters

LIFE = ServerLife("i-1")
REF = AdapterRef("m/a1", 2)


def test_a_word_that_was_taken_is_not_taken_again():
    """A holder tells once a second what its runners hold; its word is looked for each 100 ms.

    A request is granted an adapter that the last word does not name. Taken again, that word hid the
    adapter from the next request, which asked the holder for what was there.
    """
    residency = Residency(ManualClock(0))
    told = (ResidentAdapters(LIFE, ()),)
    residency.apply_peer_report("s", told)
    residency.record_granted(LIFE, REF)
    residency.apply_peer_report("s", told)
    assert residency.holders("m/a1") == {LIFE: 2}


def test_a_newer_word_is_taken():
    clock = ManualClock(0)
    residency = Residency(clock)
    residency.apply_peer_report("s", (ResidentAdapters(LIFE, (REF,)),))
    residency.record_missing(LIFE, "m/a1")
    clock.advance(MISSING_REPORT_MS + 1)
    assert residency.holders("m/a1") == {}
    residency.apply_peer_report("s", (ResidentAdapters(LIFE, (REF,)),))
    assert residency.holders("m/a1") == {LIFE: 2}
