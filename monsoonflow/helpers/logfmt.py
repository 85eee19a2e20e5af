"""Formats log records as one line of key=value pairs."""

from __future__ import annotations

import logging
import re
import sys
import time
from typing import Any, Final

PLAIN: Final = re.compile(r"[\w.:/@+-]+")
"""Values that need no quotes."""

SECRET_KEYS: Final = frozenset({"token", "key", "authorization", "secret"})


MAX_VALUE_CHARS: Final = 1_000
"""Longer values are cut: those of callers may have 16 KB, in several lines for each request."""


def _quote(value: Any) -> str:
    if type(value) is int:
        return str(value)
    text = value if isinstance(value, str) else str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    return _escape(text)


def _escape(text: str) -> str:
    if PLAIN.fullmatch(text):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def pairs(**fields: Any) -> str:
    r"""Return fields as key=value pairs; values that could be secrets are withheld.

    >>> pairs(event="request_done", adapter="a@1", cause="two words", token="abc")
    'event=request_done adapter=a@1 cause="two words" token=withheld'
    """
    return " ".join(
        f"{name}={'withheld' if name in SECRET_KEYS else _quote(value)}"
        for name, value in fields.items()
        if value is not None
    )


class LineFormatter(logging.Formatter):
    """Prefixes the record's time, level and logger as pairs."""

    _second = -1
    _stamp = ""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.localtime(second))
        millis = int(record.created % 1 * 1000)
        head = f"time={self._stamp}.{millis:03d} level={record.levelname.lower()}"
        text = f"{head} logger={record.name} {record.getMessage()}"
        if record.exc_info:
            text += " trace=" + _escape(self.formatException(record.exc_info))
        return text


def configure(level: str) -> None:
    """Send all log lines to standard error in this format.

    :param level: a level name of :mod:`logging`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(LineFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
