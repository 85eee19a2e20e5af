"""Drops answers that nobody will ask for again and cancels what nobody reads."""

from __future__ import annotations

from .context import NodeContext
from .served import Served

EVERY_MS = 500
UNREAD_MS = 8_000


class Reaper:
    """Bounds the memory of ended requests and the work done for callers who are gone."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def run(self) -> None:
        """Sweep until the process ends."""
        while True:
            self._context.tasks.sleep(EVERY_MS)
            self.sweep()

    def sweep(self) -> None:
        """Look at every request once."""
        now_ms = self._context.now_ms()
        for served in list(self._context.served_by_id.values()):
            if served.ended_ms is not None:
                if now_ms - served.ended_ms > self._context.settings["keep-answers-ms"]:
                    del self._context.served_by_id[served.request_id]
            elif self._abandoned(served, now_ms):
                self._context.core.withdraw(served.request_id)
                served.life.give_up("the caller is gone")
                served.signal.notify()

    def _abandoned(self, served: Served, now_ms: int) -> bool:
        """Tell whether a repeatable request has had no reader for long.

        One that may not be repeated runs to its end: its caller may ask for the answer by key.
        """
        if served.readers or not served.life.terms.repeatable:
            return False
        return now_ms - served.last_read_ms > UNREAD_MS
