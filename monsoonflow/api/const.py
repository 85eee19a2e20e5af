"""Constants of the HTTP surface."""

from __future__ import annotations

from typing import Final

MAX_HEADER_BYTES: Final = 32_768
HEADER_HOME: Final = "X-Monsoonflow-Home"
HEADER_TRY: Final = "X-Monsoonflow-Try"
"""1 for a caller's first sending of a key, 2 and up for its repetitions."""
