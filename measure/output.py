"""Prints figures under headings."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


def show(title: str, figures: Mapping[str, Any]) -> None:
    """Print a heading and its figures; numbers with two decimals."""
    print(title)
    for name, value in figures.items():
        told = f"{value:,.2f}" if isinstance(value, int | float) else str(value)
        print(f"  {name:<58} {told:>12}")
