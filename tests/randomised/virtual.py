"""Virtual time: tasks are greenlets that one heap of events wakes, in the same order each run."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from typing import Any

from greenlet import getcurrent, greenlet


class World:
    """Holds the time and everything that is to happen."""

    def __init__(self) -> None:
        self.time_ms = 0.0
        self.hub = getcurrent()
        self.steps = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def now_ms(self) -> int:
        """Return the virtual time; a world is also a clock."""
        return int(self.time_ms)

    def later(self, wait_ms: float, action: Callable[[], None]) -> None:
        """Let something happen after a time."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.time_ms + max(0.0, wait_ms), self._sequence, action))

    def run(self, until_ms: float) -> None:
        """Let everything happen up to a time."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.time_ms, _, action = heapq.heappop(self._heap)
            self.steps += 1
            action()
        self.time_ms = until_ms


class VirtualFlag:
    """A flag in virtual time."""

    def __init__(self, tasks: VirtualTasks) -> None:
        self._tasks = tasks
        self._raised = False
        self._waiters: list[Callable[[], None]] = []

    def set(self) -> None:
        """Raise the flag and wake all that wait."""
        self._raised = True
        waiters, self._waiters = self._waiters, []
        for wake in waiters:
            self._tasks.world.later(0, wake)

    def clear(self) -> None:
        """Lower the flag."""
        self._raised = False

    def wait(self, timeout_ms: int | None = None) -> bool:
        """Wait until the flag is raised; return whether it is."""
        if self._raised:
            return True
        wake = self._tasks.waker()
        self._waiters.append(wake)
        if timeout_ms is not None:
            self._tasks.world.later(timeout_ms, wake)
        self._tasks.give_way()
        if wake in self._waiters:
            self._waiters.remove(wake)
        return self._raised


class VirtualTasks:
    """The tasks of one process, which can be frozen and killed."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.frozen = False
        self.dead = False
        self._held: list[Callable[[], None]] = []
        self._kept: list[greenlet] = []

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> VirtualFlag:
        """Start a task; the flag that is returned is raised when it ends."""
        ended = VirtualFlag(self)

        def run() -> None:
            function(*arguments)
            ended.set()

        task = greenlet(run, parent=self.world.hub)
        self._kept.append(task)
        self.world.later(0, lambda: self.deliver(task.switch))
        return ended

    def deliver(self, action: Callable[[], Any]) -> None:
        """Let something happen in this process: now, once it is thawed, or never."""
        if self.dead:
            return
        if self.frozen:
            self._held.append(action)
        else:
            action()

    def freeze(self) -> None:
        """Stop the process; what reaches it waits."""
        self.frozen = True

    def thaw(self) -> None:
        """Let the process go on."""
        self.frozen = False
        held, self._held = self._held, []
        for action in held:
            self.world.later(0, lambda action=action: self.deliver(action))

    def kill(self) -> None:
        """End the process without a word."""
        self.dead = True

    def waker(self) -> Callable[[], None]:
        """Return what wakes the current task, once."""
        task = getcurrent()
        woken = False

        def resume() -> None:
            nonlocal woken
            if not woken:
                woken = True
                task.switch()

        def wake() -> None:
            if not woken:
                self.deliver(resume)

        return wake

    def give_way(self) -> None:
        """Let others run until the current task is woken."""
        self.world.hub.switch()

    def sleep(self, wait_ms: float) -> None:
        """Let a time pass."""
        self.world.later(wait_ms, self.waker())
        self.give_way()

    def flag(self) -> VirtualFlag:
        """Return a new, lowered flag."""
        return VirtualFlag(self)

    def join(self, tasks: Iterable[VirtualFlag], timeout_ms: int) -> None:
        """Wait until tasks have ended, at most so long."""
        deadline_ms = self.world.time_ms + timeout_ms
        for task in list(tasks):
            left_ms = deadline_ms - self.world.time_ms
            if left_ms <= 0 or not task.wait(int(left_ms) + 1):
                return
