"""Checks KNOWN-RED.txt and prints the pytest options that pass over its tests.

Each line begins with a test or a command that exists, and names an issue and the open finding that
describes its fault. Without that, a line could outlive its test or its fault, and pass over a test
that nobody looks at. Commands are not run in CI; they reproduce what no test does.
"""

from __future__ import annotations

import os
import re
import shlex
import subprocess
import sys
from pathlib import Path
from typing import Final

from soak.faults import KINDS

ROOT: Final = Path(__file__).resolve().parent.parent
FINDING: Final = re.compile(r"\((F\d+)\)$")
ISSUE: Final = re.compile(r"\bissue \d+\b")
COMMAND_PREFIX: Final = "script/"
OPEN_FINDING: Final = re.compile(r"^## (F\d+): open\b", re.MULTILINE)


def problems(lines: list[str], findings: str, is_test: dict[str, bool]) -> list[str]:
    """Return what is wrong with the list of known faults.

    :param lines: one for each test or command.
    :param findings: text of the page of findings.
    :param is_test: for each name that a line begins with, whether there is such a test or command.

    >>> problems(["t.py::a, seen, issue 1 (F1)"], "## F1: open: x", {"t.py::a": True})
    []
    >>> problems(["t.py::a, seen, issue 1 (F1)"], "## F1: x (mended)", {"t.py::a": False})
    ['no such test: t.py::a', 'no open finding F1: t.py::a']
    """
    open_findings = set(OPEN_FINDING.findall(findings))
    found, seen = [], set()
    for line in lines:
        test = named_test(line)
        if test in seen:
            found.append(f"listed twice: {test}")
        seen.add(test)
        if not is_test[test]:
            kind = "command" if test.startswith(COMMAND_PREFIX) else "test"
            found.append(f"no such {kind}: {test}")
        if ISSUE.search(line) is None:
            found.append(f"names no issue: {test}")
        finding = FINDING.search(line.strip())
        if finding is None:
            found.append(f"names no finding: {test}")
        elif finding[1] not in open_findings:
            found.append(f"no open finding {finding[1]}: {test}")
    return found


def named_test(line: str) -> str:
    """Return the test or command that a line names."""
    return line.partition(",")[0].strip()


def is_command(command: str, root: Path = ROOT) -> bool:
    """Return whether a command can be run: its script, the files and the soak kinds that it names.

    >>> is_command("script/soak --processes --seed 7 --count 1 --kinds leaves node-killed")
    True
    >>> is_command("script/soak --processes --kinds leaves"), is_command("script/none --seed 7")
    (False, False)
    """
    script, *words = shlex.split(command)
    if not os.access(root / script, os.X_OK):
        return False
    if not all((root / word).exists() for word in words if word.endswith(".toml")):
        return False
    if script != "script/soak":
        return True
    kinds = words[words.index("--kinds") + 1 :] if "--kinds" in words else []
    return "--seed" in words and set(kinds) <= KINDS.keys()


def _exists(test: str) -> bool:
    if test.startswith(COMMAND_PREFIX):
        return is_command(test)
    if "::" not in test:
        return False
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", test]
    return subprocess.run(command, cwd=ROOT, capture_output=True, check=False).returncode == 0


def main() -> int:
    """Print the options, or what is wrong."""
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    findings = (ROOT / "docs" / "FINDINGS.md").read_text()
    is_test = {named_test(line): _exists(named_test(line)) for line in lines}
    found = problems(lines, findings, is_test)
    for problem in found:
        print(f"KNOWN-RED.txt: {problem}", file=sys.stderr)
    if found:
        return 1
    for test in is_test:
        if not test.startswith(COMMAND_PREFIX):
            print(f"--deselect={test}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
