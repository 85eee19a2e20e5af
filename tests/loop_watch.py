"""Measures how long one task keeps the event loop from running others."""

from __future__ import annotations

import time

import gevent


class LoopWatch:
    """Measures for how long the event loop runs no other task, in processor time."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        self._task = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            began_s = time.process_time()
            gevent.sleep(0.002)
            self.worst_s = max(self.worst_s, time.process_time() - began_s)

    def stop(self) -> float:
        """Return the longest delay."""
        gevent.sleep(0.01)
        self._task.kill()
        return self.worst_s
