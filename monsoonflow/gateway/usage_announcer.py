"""Announces to peers what this node has used of shared quotas, soon after it has used it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..core.tasks import Tasks

BATCH_DELAY_MS: Final = 20
"""How long an announcement is delayed, so that further usage is sent with it."""

INTERVAL_PER_PEER_MS: Final = 5
"""Limits the datagrams with changed usage that a node sends to 200 a second."""


def announcement_delay_ms(peers: int, since_last_ms: int) -> int:
    """Return how long to wait with an announcement.

    :param peers: the number of peers that get it.
    :param since_last_ms: the time since the last announcement.

    >>> [announcement_delay_ms(17, since_ms) for since_ms in (10, 60, 10_000)]
    [75, 25, 20]
    """
    return max(BATCH_DELAY_MS, INTERVAL_PER_PEER_MS * peers - since_last_ms)


class UsageAnnouncer:
    """Schedules announcements.

    :param send: sends what has changed since the last call to the peers with callers.
    """

    def __init__(self, clock: Clock, tasks: Tasks, send: Callable[[], None]) -> None:
        self._clock = clock
        self._tasks = tasks
        self._send = send
        self._is_scheduled = False
        self._sent_ms = clock.now_ms()

    def schedule(self, peers: int) -> None:
        """Schedule an announcement, which collects more changes until then.

        :param peers: the number of peers that get it.
        """
        if not self._is_scheduled and peers:
            self._is_scheduled = True
            delay_ms = announcement_delay_ms(peers, self._clock.now_ms() - self._sent_ms)
            self._tasks.spawn(self._send_later, delay_ms)

    def _send_later(self, delay_ms: int) -> None:
        self._tasks.sleep(delay_ms)
        self._is_scheduled = False
        self._sent_ms = self._clock.now_ms()
        self._send()
