"""Constants of the clients of the table service, object store and VM list."""

from __future__ import annotations

from typing import Final

CALL_TIMEOUT_MS: Final = 1_500
MAX_COMMIT_ATTEMPTS: Final = 3
COMMIT_RETRY_PAUSE_MS: Final = 50

UNREADABLE: Final = "unreadable answer"
"""Reason for an answer that is no JSON object, as one that broke off."""
