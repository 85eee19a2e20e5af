"""Remembers what processes had spent when they ended."""

from __future__ import annotations

import attrs

from .models import Heartbeat


@attrs.frozen(slots=True)
class _EndedProcess:
    ended_ms: int
    last_heartbeat: Heartbeat


@attrs.define(slots=True)
class EndedProcesses:
    """The last reports of processes that have ended.

    Their requests and retries have reached servers: a new process of the same node counts from
    zero, and taken for all that the node has spent, that would free the whole budget once more.
    """

    _processes: list[_EndedProcess] = attrs.Factory(list)

    def add(self, last_heartbeat: Heartbeat, now_ms: int) -> None:
        """Take the last report of a process that was followed by another one."""
        self._processes.append(_EndedProcess(now_ms, last_heartbeat))

    def last_heartbeats(self, window_ms: int, now_ms: int) -> list[Heartbeat]:
        """Return the reports of those that ended within a window."""
        self._processes = [
            ended for ended in self._processes if ended.ended_ms > now_ms - window_ms
        ]
        return [ended.last_heartbeat for ended in self._processes]
