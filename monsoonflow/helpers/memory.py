"""Gives memory that is no longer used back to the system."""

from __future__ import annotations

import ctypes
import gc
from typing import Final

M_ARENA_MAX: Final = -8
"""The option of ``mallopt`` that bounds the allocator's arenas (glibc's ``malloc.h``)."""

_C_LIBRARY: Final = ctypes.CDLL(None)


def bound_arenas() -> None:
    """Let the process use one arena.

    gRPC's threads would each get their own and keep what they once needed: several megabytes of a
    node's 64. Only one thread runs Python code, so the shared arena costs nothing.
    """
    mallopt = getattr(_C_LIBRARY, "mallopt", None)
    if mallopt is not None:
        mallopt(M_ARENA_MAX, 1)


def give_back() -> None:
    """Collect garbage and return free pages: reading a large plan leaves megabytes behind."""
    gc.collect()
    trim = getattr(_C_LIBRARY, "malloc_trim", None)
    if trim is not None:
        trim(0)
