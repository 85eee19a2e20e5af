"""Constants of a request's life."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

MAX_RESUMES: Final = 4
MAX_ATTEMPTS: Final = 3


class State(StrEnum):
    """Names the states of a request."""

    ADMITTED = "admitted"
    OFFERED = "offered"
    STREAMING = "streaming"
    ENDED = "ended"
