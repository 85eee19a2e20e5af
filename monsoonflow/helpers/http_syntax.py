"""What may stand in the head of an HTTP message (RFC 9110, section 5; RFC 9112, section 4)."""

from __future__ import annotations

import re
from typing import Final

TEXT: Final = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
"""A header's value, or the reason of a status: no control bytes but tabs."""
