"""A request in the daemon: its life, and the signal that those who wait for it listen to."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ..core.clock import Clock
from ..core.outcome import Outcome
from ..core.tasks import Flag, Tasks
from ..membership.view import Peer
from ..request.const import State
from ..request.life import RequestLife
from ..serving.models import ActiveRequest, SendRun


class Signal:
    """Wakes every greenlet that waits for a change.

    A waiter that has looked at the state and then waits misses nothing: no other greenlet runs
    between the look and the wait.
    """

    def __init__(self, tasks: Tasks) -> None:
        self._tasks = tasks
        self._flag: Flag | None = None

    def notify(self) -> None:
        """Wake all waiters; without any, this costs next to nothing."""
        if self._flag is not None:
            flag, self._flag = self._flag, None
            flag.set()

    def wait(self, timeout_ms: int) -> bool:
        """Wait for the next change.

        :returns: whether there was one.
        """
        if self._flag is None:
            self._flag = self._tasks.flag()
        return self._flag.wait(timeout_ms)


class Served:
    """One request that this node drives for its callers.

    :param data: the decoded completion request.
    """

    def __init__(
        self, life: RequestLife, data: dict[str, Any], created_ms: int, tasks: Tasks
    ) -> None:
        self.life = life
        self.data = data
        self.key: str | None = None
        self.created_ms = created_ms
        self.ended_ms: int | None = None
        self.first_chunk_ms: int | None = None
        self.unplaced_since_ms: int | None = None
        self.stall_ms = 0
        self.readers = 0
        self.last_read_ms = created_ms
        self.signal = Signal(tasks)
        self.active = ActiveRequest(life, self.signal.notify)
        self.send: SendRun | None = None
        self.home_peer: Peer | None = None
        self.keyed_headers: dict[str, str] = {}
        self.remote_id = ""

    @property
    def request_id(self) -> str:
        """Return the request's identifier."""
        return self.life.terms.request_id

    def awaits_version(self) -> bool:
        """Tell whether another node has still to say which version serves."""
        return (
            self.home_peer is not None
            and self.life.terms.any_version
            and self.life.state is not State.STREAMING
        )

    @property
    def outcome(self) -> Outcome | None:
        """Return how the request ended, or ``None`` while it goes on."""
        return self.life.outcome

    def read(
        self, from_index: int, clock: Clock, pause_ms: int
    ) -> Iterator[tuple[int, str] | None]:
        """Yield chunks from an index on until the request ends; ``None`` after a quiet pause."""
        index = from_index
        self.readers += 1
        try:
            while True:
                while index < len(self.life.chunks):
                    yield index, self.life.chunks[index]
                    index += 1
                if self.life.ended:
                    return
                if not self.signal.wait(pause_ms):
                    yield None
        finally:
            self.readers -= 1
            self.last_read_ms = clock.now_ms()
