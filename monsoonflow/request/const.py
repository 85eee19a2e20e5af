"""Constants of a request's life."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

MAX_RESUMES: Final = 4
MAX_ATTEMPTS: Final = 3
MAX_DEADLINE_MS: Final = 3_600_000
MAX_PRIORITY: Final = 3
MAX_KEY_LENGTH: Final = 256
PRIORITY_BY_NAME: Final = {"interactive": 0, "normal": 1, "batch": 2, "background": 3}


class State(StrEnum):
    """Names the states of a request."""

    ADMITTED = "admitted"
    OFFERED = "offered"
    STREAMING = "streaming"
    ENDED = "ended"
