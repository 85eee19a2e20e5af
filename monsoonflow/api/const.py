"""Constants of the HTTP surface."""

from __future__ import annotations

from typing import Final

MAX_HEADER_BYTES: Final = 32_768
MAX_DEADLINE_MS: Final = 3_600_000
MAX_PRIORITY: Final = 3
MAX_KEY_LENGTH: Final = 256
PRIORITY_BY_NAME: Final = {"interactive": 0, "normal": 1, "batch": 2, "background": 3}
HEADER_HOME: Final = "X-Monsoonflow-Home"
HEADER_TRY: Final = "X-Monsoonflow-Try"
"""1 for a caller's first sending of a key, 2 and up for its repetitions."""
