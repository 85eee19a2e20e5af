"""Constants of the ownership component."""

from __future__ import annotations

from typing import Final

LEASE_PREFIX: Final = "lease/"
OWNER_PREFIX: Final = "owner/"
MAX_OUTAGE_MS: Final = 300_000
