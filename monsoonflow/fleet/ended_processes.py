"""Remembers the retries that processes had counted when they ended."""

from __future__ import annotations

import attrs

from .models import Heartbeat


@attrs.frozen(slots=True)
class _EndedProcess:
    ended_ms: int
    last_heartbeat: Heartbeat


@attrs.define(slots=True)
class EndedProcesses:
    """The last heartbeats of processes that have ended.

    Their requests and retries have reached servers, so they still count against the retry budget.
    The new process of the same node counts from zero; with its count alone, the whole budget would
    be available a second time.
    """

    _processes: list[_EndedProcess] = attrs.Factory(list)

    def add(self, last_heartbeat: Heartbeat, now_ms: int) -> None:
        """Record the last heartbeat of a process that another process of its node has replaced."""
        self._processes.append(_EndedProcess(now_ms, last_heartbeat))

    def last_heartbeats(self, window_ms: int, now_ms: int) -> list[Heartbeat]:
        """Return the last heartbeats of the processes that ended within a window."""
        self._processes = [
            ended for ended in self._processes if ended.ended_ms > now_ms - window_ms
        ]
        return [ended.last_heartbeat for ended in self._processes]
