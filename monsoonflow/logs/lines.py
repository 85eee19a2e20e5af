"""Writes log lines to standard output without blocking the process."""

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
MAX_QUEUED_BYTES: Final = 1 << 20
"""What is kept for a slow reader of standard output."""

WRITE_INTERVAL_S: Final = 0.2
"""Pause between writes, which batches lines into few system calls. On the busiest days logging
takes 2.7 % of a node's processor time; with 0.05 s it took 7.7 %. A process that is killed loses
the lines of this time."""

MAX_PIPE_WRITE_BYTES: Final = 4_096
"""Bytes that a pipe reported as writable accepts without blocking (``PIPE_BUF``)."""


class QueueHandler(logging.Handler):
    """Queues lines for the writer; when the queue is full, drops and counts them by level.

    Errors are never dropped.
    """

    def __init__(self) -> None:
        super().__init__()
        self.queued_lines: deque[bytes] = deque()
        self.queued_bytes = 0
        self.dropped_by_level: Counter[str] = Counter()
        self.on_drop: Callable[[], None] = lambda: None

    def createLock(self) -> None:  # noqa: N802
        """Use no lock: all lines come from greenlets of one thread."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line."""
        if self._is_full() and record.levelno < logging.ERROR:
            self.dropped_by_level[record.levelname.lower()] += 1
            self.on_drop()
            return
        line = (self.format(record) + "\n").encode("utf-8", "replace")
        self.queued_lines.append(line)
        self.queued_bytes += len(line)

    def clear(self) -> None:
        """Drop all lines."""
        self.queued_lines.clear()
        self.queued_bytes = 0

    def _is_full(self) -> bool:
        return len(self.queued_lines) >= MAX_QUEUED_LINES or self.queued_bytes >= MAX_QUEUED_BYTES

    def _pop_line(self) -> bytes:
        line = self.queued_lines.popleft()
        self.queued_bytes -= len(line)
        return line

    def write_available(self, file_descriptor: int) -> bool:
        """Write what the file accepts without blocking; return whether all lines are written."""
        while self.queued_lines:
            if not select.select([], [file_descriptor], [], 0)[1]:
                return False
            chunk = bytearray()
            while (
                self.queued_lines and len(chunk) + len(self.queued_lines[0]) <= MAX_PIPE_WRITE_BYTES
            ):
                chunk += self._pop_line()
            if not chunk:
                chunk += self._pop_line()[: MAX_PIPE_WRITE_BYTES - 1] + b"\n"
            os.write(file_descriptor, chunk)
        return True


def start_logging(level: str) -> QueueHandler:
    """Send all log lines to standard output through a queue.

    :param level: a level name of :mod:`logging`.
    """
    handler = QueueHandler()
    handler.setFormatter(LineFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    _collect_only_what_lines_contain()
    gevent.spawn(_write_loop, handler)
    return handler


def _collect_only_what_lines_contain() -> None:
    """Let records have no source line, thread, process or task, as the manual of logging describes.

    Finding them takes a sixth of the time for a line.
    """
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False


def _write_loop(handler: QueueHandler) -> None:
    file_descriptor = sys.stdout.fileno()
    logger = logging.getLogger(__name__)
    while True:
        gevent.sleep(WRITE_INTERVAL_S)
        try:
            is_all_written = handler.write_available(file_descriptor)
        except OSError:
            # The reader has closed the pipe; the process continues without its log.
            handler.clear()
            continue
        if is_all_written and handler.dropped_by_level:
            dropped_by_level, handler.dropped_by_level = handler.dropped_by_level, Counter()
            levels = ",".join(
                f"{level}:{count}" for level, count in sorted(dropped_by_level.items())
            )
            log(logger, events.LogLinesDropped(sum(dropped_by_level.values()), levels))


def flush(handler: QueueHandler) -> None:
    """Write the remaining lines before the process exits, as far as that does not block."""
    try:
        handler.write_available(sys.stdout.fileno())
    except OSError:
        handler.clear()
