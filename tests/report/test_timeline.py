"""Tests of explaining a failure afterwards, from recorded log lines."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from monsoonflow.report import timeline
from monsoonflow.report.entry_burn import burns

RECORDED = Path(__file__).parent / "recorded"
FILES = sorted(RECORDED.glob("*.log"))


@pytest.fixture
def entries():
    return [
        entry for path in FILES for entry in timeline.read(path.read_text().splitlines(), path.stem)
    ]


def test_a_request_is_followed_over_nodes_with_what_was_believed(entries):
    text = "\n".join(timeline.of_request(entries, "r1"))
    assert "configuration      version=7" in text
    assert "in_use=18 waiting=31" in text
    assert text.index("request_accepted") < text.index("server_leaves") < text.index("try_failed")
    assert "server=i-9" not in text
    last = text.splitlines()[-1]
    assert last.startswith("cause: cut after 1500 ms; too many wait for a place")
    assert 'i-1: it said "no"' in last
    assert "waited 800 ms" in last


def test_a_request_that_is_quarantined_is_told_with_the_servers_that_ended_under_it():
    lines = [
        'event=server_ended server=i-1 had=2 requests="f1,f2"',
        "event=server_ended server=i-2 had=1 requests=f3",
        'event=request_quarantined fingerprint=f1 servers="i-1,i-4,i-5" source=n2',
        "event=request_accepted request=r9 route=a fingerprint=f1",
        'event=request_ended request=r9 outcome=refused took_ms=1 cause="servers end"',
    ]
    stamped = [
        f"time=2026-08-05T11:13:{10 + 3 * n}.000 level=info {line}" for n, line in enumerate(lines)
    ]
    told = "\n".join(timeline.of_request(timeline.read(stamped, "n1"), "r9"))
    assert "server=i-1" in told
    assert "server=i-2" not in told
    assert "servers=i-1,i-4,i-5" in told


def test_a_request_with_a_quarantined_part_is_told_with_the_servers_that_ended_under_the_part():
    lines = [
        "event=server_ended server=i-1 had=1 requests=f1",
        "event=server_ended server=i-2 had=1 requests=f3",
        'event=request_quarantined fingerprint=part:a+b servers="i-1,i-4" source=n2',
        "event=request_quarantined fingerprint=part:z servers=i-2 source=n2",
        'event=request_accepted request=r9 route=a fingerprint=f8 parts="b,a,c"',
        'event=request_ended request=r9 outcome=refused took_ms=1 cause="servers end"',
    ]
    stamped = [
        f"time=2026-08-05T11:13:{10 + 3 * n}.000 level=info {line}" for n, line in enumerate(lines)
    ]
    told = "\n".join(timeline.of_request(timeline.read(stamped, "n1"), "r9"))
    assert "server=i-1" in told
    assert "part:a+b" in told
    assert "server=i-2" not in told
    assert "part:z" not in told


def test_an_unknown_request_has_no_timeline(entries):
    assert timeline.of_request(entries, "r2") == []


def test_what_happened_around_a_moment(entries):
    at_ms = next(e.at_ms for e in entries if e.event == "seats")
    lines = timeline.around(entries, at_ms)
    assert any("duty_won" in text for text in lines)
    assert not any("i-9" in text for text in lines)
    assert len(timeline.around(entries, at_ms + 17_000, "i-9")) == 1


def test_a_name_before_the_line_is_the_nodes():
    text = "  4.21 front-a-1 time=2026-04-04T20:09:12.181 level=info event=stopping in_progress=2"
    assert timeline.read([text], "file")[0].node == "front-a-1"


def test_failed_requests_are_found(entries):
    assert timeline.failed_requests(entries) == ["r1"]


def test_the_command_line_explains_from_files(tmp_path):
    files = [f"--logs={path}" for path in FILES]
    command = [sys.executable, "-m", "monsoonflow.cli.main", "explain"]
    good = subprocess.run([*command, "r1", *files], capture_output=True, text=True, check=False)
    assert good.returncode == 0
    assert "cause: cut after 1500 ms" in good.stdout
    for words in (["r1", "--around=x", *files], [f"--logs={tmp_path / 'none'}", "r1"], files):
        bad = subprocess.run([*command, *words], capture_output=True, text=True, check=False)
        assert bad.returncode == 2
        assert len(bad.stderr.splitlines()) == 1


def test_the_burn_follows_from_the_metrics_of_all_nodes():
    text = """# TYPE monsoonflow_entry_objectives_total counter
monsoonflow_entry_objectives_total{kind="stream",priority="0",result="met"} 45
monsoonflow_entry_objectives_total{kind="stream",priority="0",result="late"} 5
monsoonflow_entry_objectives_total{kind="stream",priority="0",result="left"} 7
"""
    (burn,) = burns([text, text], 0.95)
    assert burn.by_result == {"met": 90, "late": 10, "left": 14}
    assert burn.rate == 2.0
