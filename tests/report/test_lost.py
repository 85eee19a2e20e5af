"""Tests of the table that tells where service was lost."""

from __future__ import annotations

import pytest

from monsoonflow.report import lost, timeline

LOG = """
time=2026-04-04T20:09:10.000 level=info logger=m event=request_accepted request=r1 adapter=m/a1 priority=0 tried_before_ms=0
time=2026-04-04T20:09:10.000 level=info logger=m event=order server=i-1 operation=load
time=2026-04-04T20:09:10.300 level=info logger=m event=request_waited request=r1 result=placed waited_ms=300
time=2026-04-04T20:09:10.300 level=info logger=m event=request_sent request=r1 server=i-1
time=2026-04-04T20:09:12.300 level=info logger=m event=request_ended request=r1 outcome=passed first_ms=450 took_ms=2300
time=2026-04-04T20:09:11.000 level=info logger=m event=request_accepted request=r2 adapter=m/a2 priority=2 tried_before_ms=900
time=2026-04-04T20:09:11.700 level=info logger=m event=request_waited request=r2 result=refused waited_ms=700
time=2026-04-04T20:09:11.700 level=info logger=m event=request_ended request=r2 outcome=refused took_ms=700
time=2026-04-04T20:09:11.000 level=info logger=m event=request_accepted request=plain priority=2
time=2026-04-04T20:09:12.500 level=info logger=m event=order server=i-1 operation=load
time=2026-04-04T20:09:11.500 level=info logger=m event=seats places=16 taken=12 in_use=6 loading=2 dropping=1 waiting=4 requests=9
time=2026-04-04T20:09:13.500 level=info logger=m event=seats places=16 taken=0 in_use=0 loading=0 dropping=0 waiting=0 requests=0
"""  # noqa: E501


@pytest.fixture
def entries():
    return timeline.read(LOG.splitlines(), "n1")


def test_a_request_is_followed_from_arrival_to_end(entries):
    found = lost.generations(entries)
    assert set(found) == {"r1", "r2"}
    assert (found["r1"].waited_ms, found["r1"].reading_ms(), found["r1"].held_ms()) == (
        300,
        150,
        2_000,
    )
    assert (found["r2"].outcome, found["r2"].held_ms()) == ("refused", None)


def test_places_are_told_by_state_while_there_is_work(entries):
    told = lost.places(entries)
    assert (told["idle"], told["untaken"]) == (3.0, 4.0)


def test_a_time_without_orders_is_told_when_somebody_waited(entries):
    assert [length for _, length in lost.gaps(entries)] == [2_500]


def test_the_table_tells_it_all(entries):
    text = "\n".join(lost.table(entries))
    assert "priority 2: 1 requests, 1 came back, refused=1" in text
    assert "nobody ordered for 2500 ms in 1 gaps" in text
    assert lost.table([])[-1] == "nobody ordered for 0 ms in 0 gaps"
