"""Runs a short fixed set of seeds; ``script/soak`` runs long ones."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("first", [1, 4, 7, 10])
def test_promises_hold_under_random_faults(first):
    """Nodes die, freeze and stop, engines restart and leave, the table and connections fail.

    Two and more of these overlap. No request may run twice that may not, nor run after "not run",
    nor get a wrong text, and no adapter in use may be evicted; after healing all must serve.
    """
    command = [sys.executable, "-m", "tests.randomised.soak", "--seed", str(first), "--count", "3"]
    done = subprocess.run(
        command,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        timeout=240,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
