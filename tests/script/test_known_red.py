"""The list of known faults: each line names a test and an open finding."""

from __future__ import annotations

import pytest

from script.known_red import is_command, problems

FINDINGS = "## F1: open: a fault\n\ntext\n\n## F2: a fault (mended)\n"


@pytest.mark.parametrize(
    ("line", "is_test", "cause"),
    [
        ("t.py::a, pytest, 1 of 2, issue 3 (F1)", False, "no such test"),
        ("t.py::a, pytest, 1 of 2, issue 3 (F2)", True, "no open finding F2"),
        ("t.py::a, pytest, 1 of 2, issue 3 (F9)", True, "no open finding F9"),
        ("t.py::a, pytest, 1 of 2, issue 3", True, "names no finding"),
        ("t.py::a, pytest, 1 of 2 (F1)", True, "names no issue"),
    ],
)
def test_a_line_without_a_test_or_an_open_finding_is_refused(line, is_test, cause):
    [problem] = problems([line], FINDINGS, {"t.py::a": is_test})
    assert problem.startswith(cause)


def test_a_test_may_be_listed_once():
    line = "t.py::a, pytest, 1 of 2, issue 3 (F1)"
    assert problems([line, line], FINDINGS, {"t.py::a": True}) == ["listed twice: t.py::a"]


def test_any_number_of_lines_is_accepted_if_each_is_complete():
    lines = [f"t.py::test_{number}, pytest, seen, issue 3 (F1)" for number in range(5)]
    is_test = {line.partition(",")[0]: True for line in lines}
    assert not problems(lines, FINDINGS, is_test)


@pytest.mark.parametrize(
    "command",
    [
        "script/soak --processes --seed 7051 --count 1 --kinds part-turns-bad",
        "script/days further --only review/2/day.toml",
    ],
)
def test_a_line_may_name_a_command(command):
    assert is_command(command)
    line = f"{command}, 331 of 508 refused, issue 3 (F1)"
    assert problems([line], FINDINGS, {command: True}) == []


@pytest.mark.parametrize(
    "command",
    [
        "script/none --seed 1",
        "script/soak --processes --seed 7051 --kinds part-turns-good",
        "script/soak --processes --kinds part-turns-bad",
        "script/days further --only review/2/none.toml",
    ],
)
def test_a_command_that_does_not_exist_is_refused(command):
    assert not is_command(command)
    line = f"{command}, 331 of 508 refused, issue 3 (F1)"
    assert problems([line], FINDINGS, {command: False}) == [f"no such command: {command}"]
