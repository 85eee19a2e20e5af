"""What may stand in the head of an HTTP message (RFC 9110, section 5; RFC 9112, section 4)."""

from __future__ import annotations

import re
from typing import Final

STATUSES: Final = range(100, 600)
"""Statuses of answers (RFC 9110, section 15); a client can't tell what any other one means."""

FINAL_STATUSES: Final = range(200, 600)
"""Statuses of answers that no other one follows."""

NAME: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
"""A header's name: a token."""

TEXT: Final = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
"""A header's value, or the reason of a status: no control bytes but tabs."""
