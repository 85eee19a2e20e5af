"""Writes log lines to standard output without ever holding up the process."""

from __future__ import annotations

import logging
import os
import select
import sys
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

import gevent

from ..helpers.logfmt import LineFormatter
from . import events
from .write import log

MAX_QUEUED_LINES: Final = 4_000
"""Lines that wait for a slow reader; about a megabyte."""

WRITE_INTERVAL_S: Final = 0.2
"""Pause between writes: lines of that time leave in few system calls. Of a node's processor time on
the busiest days logging takes 2.7 %; with 0.05 s it took 7.7 %. A process that is killed takes the
lines of that time with it."""

MAX_PIPE_WRITE_BYTES: Final = 4_096
"""A pipe that says it is writable takes this much without blocking (``PIPE_BUF``)."""


class QueueHandler(logging.Handler):
    """Keeps lines until the writer has time; drops them, counted by level, when too many wait."""

    def __init__(self) -> None:
        super().__init__()
        self.queued_lines: deque[bytes] = deque()
        self.dropped_by_level: Counter[str] = Counter()
        self.on_drop: Callable[[], None] = lambda: None

    def createLock(self) -> None:  # noqa: N802
        """Use no lock: all lines come from greenlets of one thread."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line."""
        if len(self.queued_lines) >= MAX_QUEUED_LINES and record.levelno < logging.ERROR:
            self.dropped_by_level[record.levelname.lower()] += 1
            self.on_drop()
            return
        self.queued_lines.append((self.format(record) + "\n").encode("utf-8", "replace"))

    def write_available(self, file_descriptor: int) -> bool:
        """Write what the reader takes now; return whether all is written."""
        while self.queued_lines:
            if not select.select([], [file_descriptor], [], 0)[1]:
                return False
            chunk = bytearray()
            while (
                self.queued_lines and len(chunk) + len(self.queued_lines[0]) <= MAX_PIPE_WRITE_BYTES
            ):
                chunk += self.queued_lines.popleft()
            if not chunk:
                chunk += self.queued_lines.popleft()[: MAX_PIPE_WRITE_BYTES - 1] + b"\n"
            os.write(file_descriptor, chunk)
        return True


def start_logging(level: str) -> QueueHandler:
    """Send all log lines to standard output through a queue."""
    handler = QueueHandler()
    handler.setFormatter(LineFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    gevent.spawn(_write_loop, handler)
    return handler


def _write_loop(handler: QueueHandler) -> None:
    file = sys.stdout.fileno()
    logger = logging.getLogger(__name__)
    while True:
        gevent.sleep(WRITE_INTERVAL_S)
        try:
            written = handler.write_available(file)
        except OSError:
            # Nobody reads any more; the process goes on without its log.
            handler.queued_lines.clear()
            continue
        if written and handler.dropped_by_level:
            dropped, handler.dropped_by_level = handler.dropped_by_level, Counter()
            levels = ",".join(f"{level}:{count}" for level, count in sorted(dropped.items()))
            log(logger, events.LogLinesDropped(sum(dropped.values()), levels))


def flush(handler: QueueHandler) -> None:
    """Write the last lines before the process ends, as far as the reader takes them."""
    try:
        handler.write_available(sys.stdout.fileno())
    except OSError:
        handler.queued_lines.clear()
