"""Every exclusion of a server and every wait stands in docs/design/exclusions-and-waits.md.

An exclusion whose end nobody has thought of starves a service; a wait without the end of its
process loses requests.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "design" / "exclusions-and-waits.md").read_text()
EXCLUDING_PACKAGES = (
    "discovery",
    "routing",
    "gateway",
    "entry",
    "quarantine",
    "fleet",
    "placement",
)
EXCLUDING_NAME = re.compile(
    r"until_ms|paused|departure|unreadable|earlier_life|owner_by|refused|missing|rest_by"
    r"|quarantined|avoided|full_lives|unreachable|lost_since"
)
WAITING_PACKAGES = ("gateway", "entry", "quarantine")
ROW_CELLS = 5


def modules(packages: tuple[str, ...]) -> Iterator[tuple[str, ast.Module]]:
    for package in packages:
        for path in sorted((ROOT / "monsoonflow" / package).glob("*.py")):
            yield f"{package}/{path.name}", ast.parse(path.read_text())


def excluding_attributes() -> set[str]:
    """Return ``Class.attribute`` for each attribute that may keep something out."""
    found = set()
    for _, module in modules(EXCLUDING_PACKAGES):
        for owner in ast.walk(module):
            if isinstance(owner, ast.ClassDef):
                found.update(f"{owner.name}.{name}" for name in declared_attributes(owner))
    return {name for name in found if EXCLUDING_NAME.search(name.partition(".")[2])}


def declared_attributes(owner: ast.ClassDef) -> Iterator[str]:
    for node in ast.walk(owner):
        if not isinstance(node, ast.AnnAssign):
            continue
        if isinstance(node.target, ast.Attribute):
            yield node.target.attr
        elif isinstance(node.target, ast.Name) and node in owner.body:
            yield node.target.id


def waiting_functions() -> set[tuple[str, str]]:
    """Return module and name of each function that waits."""
    found = set()
    for name, module in modules(WAITING_PACKAGES):
        for function in ast.walk(module):
            if isinstance(function, ast.FunctionDef) and any(map(is_wait, ast.walk(function))):
                found.add((name, function.name))
    return found


def is_wait(node: ast.AST) -> bool:
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in ("wait", "sleep")
    )


def exclusion_rows() -> list[list[str]]:
    section = PAGE.partition("## Exclusions")[2].partition("## Waits")[0]
    rows = [line.strip("| ").split(" | ") for line in section.splitlines() if line[:1] == "|"]
    return rows[2:]


@pytest.mark.parametrize("attribute", sorted(excluding_attributes()))
def test_each_exclusion_stands_on_the_page(attribute):
    named = [cell for cell, *_ in exclusion_rows() if f"`{attribute}`" in cell]
    assert named, f"{attribute}: say what sets it, what ends it and how long it can stand"


def test_each_exclusion_says_what_ends_it_and_how_long_it_can_stand():
    incomplete = [row for row in exclusion_rows() if len(row) != ROW_CELLS or not all(row)]
    assert incomplete == []


@pytest.mark.parametrize(("module", "function"), sorted(waiting_functions()))
def test_each_wait_stands_on_the_page(module, function):
    section = PAGE.partition("## Waits")[2]
    mentions = [text for text in re.split(r"[|;:]", section) if f"`{module}`" in text]
    assert any(f"`{function}`" in text for text in mentions), f"{module} {function}: what bounds it"


def test_the_page_names_only_what_exists():
    known = excluding_attributes()
    stale = [
        name
        for row in exclusion_rows()
        for name in re.findall(r"`(\w+\.\w+)`", row[0])
        if EXCLUDING_NAME.search(name.partition(".")[2]) and name not in known
    ]
    assert stale == []
