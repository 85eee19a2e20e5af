"""Typical times of adapter loads."""

from __future__ import annotations

from typing import Final

COLD_LOAD_MS: Final = 250
WARM_LOAD_MS: Final = 25
"""Typical duration of a load according to the weight store's data sheet: the time until the runner
is first asked whether the load is complete."""
